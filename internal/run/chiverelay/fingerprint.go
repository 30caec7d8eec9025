package chiverelay

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// fingerprintSize is the size of a fingerprint in bytes, before it is encoded.
const fingerprintSize = 16

// withQuery begins the fingerprints that cover a query. They sort before those without: if the same
// crashes speak against both, the narrower one is to blame.
const withQuery = "!"

// fingerprints returns what is the same for two requests only if they have the same caller, method,
// host, path and body: first with the query if there is one, then without. Callers cannot make a request
// of their own match that of another workspace; those without a workspace count as one caller.
func fingerprints(workspace, method, host, target string, body []byte) []string {
	path, query, ok := strings.Cut(target, "?")
	h := sha256.New()
	var length [binary.MaxVarintLen64]byte
	// The lengths keep bytes from moving between two fields.
	for _, field := range []string{workspace, method, strings.ToLower(hostOnly(host)), path} {
		// Writing to a hash never fails.
		_, _ = h.Write(binary.AppendUvarint(length[:0], uint64(len(field))))
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	sum := h.Sum(nil)
	without := hex.EncodeToString(sum[:fingerprintSize])
	if !ok {
		return []string{without}
	}
	with := sha256.Sum256(append(sum, query...))
	return []string{withQuery + hex.EncodeToString(with[:fingerprintSize]), without}
}
