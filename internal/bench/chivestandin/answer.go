package chivestandin

import (
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// TokenText returns the text of one token of the answer to a prompt.
func TokenText(prompt string, i uint64) string {
	return fmt.Sprintf("w%d-%04x ", i, xxh3.HashStringSeed(prompt, i)&0xffff)
}

// Answer returns the first n tokens of the answer to a prompt, so that callers
// can tell whether an answer is their own and whole.
func Answer(prompt string, n uint64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}
