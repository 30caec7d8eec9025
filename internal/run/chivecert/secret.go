package chivecert

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// secretBytes is the length of a secret, in random bytes.
const secretBytes = 24

// A Secret is the key of a caller or the token of an operator.
type Secret struct {
	Value string `json:"secret"`
	// Digest is what sheets and settings hold.
	Digest string `json:"digest"`
}

// NewSecret returns a new random Secret.
func NewSecret() Secret {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	text := "cy-" + base64.RawURLEncoding.EncodeToString(b)
	return Secret{Value: text, Digest: DigestSecret(text)}
}

// DigestSecret returns the digest of a secret.
func DigestSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}
