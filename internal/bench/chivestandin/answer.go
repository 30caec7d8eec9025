package chivestandin

import (
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// TokenText returns the text of token i of the answer to a prompt. It depends only
// on the prompt and i, so any engine can resume an answer.
func TokenText(prompt string, i uint64) string {
	return fmt.Sprintf("w%d-%04x ", i, xxh3.HashStringSeed(prompt, i)&0xffff)
}

// Answer returns the text of the first n tokens of the answer to a prompt. Callers
// compare it with the answer that they received.
func Answer(prompt string, n uint64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, i))
	}
	return b.String()
}
