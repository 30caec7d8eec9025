package chiverelay

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// fingerprintSize is the size of a fingerprint in bytes, before it is encoded.
const fingerprintSize = 16

// fingerprint returns what is the same for two requests only if they have the same caller,
// method, host, path, query and body. Callers cannot make a request of their own match that
// of another workspace; those without a workspace count as one caller.
func fingerprint(workspace, method, host, uri string, body []byte) string {
	h := sha256.New()
	var length [binary.MaxVarintLen64]byte
	// The lengths keep bytes from moving between two fields.
	for _, field := range []string{workspace, method, strings.ToLower(hostOnly(host)), uri} {
		// Writing to a hash never fails.
		_, _ = h.Write(binary.AppendUvarint(length[:0], uint64(len(field))))
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil)[:fingerprintSize])
}
