package chiverunner

import (
	"errors"
	"fmt"
	"io"
)

// ErrUnbounded is returned for an answer that exceeds a bound on its size and may have no
// end. Its connection must not be used again.
var ErrUnbounded = errors.New("answer may have no end")

const (
	// maxHeadSize bounds the head of an answer, with all answers of status 1xx before it,
	// in bytes.
	maxHeadSize = 64 << 10
	// maxSkippedSize bounds the body of an answer to another request, which is skipped, in
	// bytes.
	maxSkippedSize = 1 << 20
)

// headReader reads from a connection. While a head is read it returns an error after
// maxHeadSize bytes.
type headReader struct {
	source io.Reader
	// inHead is set while a head is read; left is the number of bytes that it may still
	// have.
	inHead bool
	left   int
}

// begin starts the head of an answer.
func (h *headReader) begin() {
	h.inHead, h.left = true, maxHeadSize
}

// end ends the head.
func (h *headReader) end() {
	h.inHead = false
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if !h.inHead {
		return h.source.Read(b)
	}
	if h.left == 0 {
		return 0, fmt.Errorf("head is longer than %d bytes: %w", maxHeadSize, ErrUnbounded)
	}
	n, err := h.source.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

// skip reads a body to its end, and returns an error if it is longer than maxSkippedSize.
func skip(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedSize+1))
	if err == nil && n > maxSkippedSize {
		err = fmt.Errorf("body is longer than %d bytes: %w", maxSkippedSize, ErrUnbounded)
	}
	return err
}
