package chivecert

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// secretBytes is the number of random bytes in a secret.
const secretBytes = 24

// Secret is the key of a caller or the token of an operator, with its digest.
type Secret struct {
	// Value is the secret itself: "cy-" and random bytes in base64.
	Value string `json:"secret"`
	// Digest is the text that sheets and settings hold instead of the secret.
	Digest string `json:"digest"`
}

// NewSecret returns a Secret with a new random value.
func NewSecret() Secret {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b)
	text := "cy-" + base64.RawURLEncoding.EncodeToString(b)
	return Secret{Value: text, Digest: DigestSecret(text)}
}

// DigestSecret returns the digest of a secret, as "sha256:" and 64 hex digits.
func DigestSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return "sha256:" + hex.EncodeToString(sum[:])
}
