package chiverelay

import (
	"errors"
	"io"

	"github.com/zeebo/errs"
)

// initialBodySize is the size of a new buffer for a request body in bytes.
const initialBodySize = 512

// errBodyNoMemory is returned for a request body that does not fit the memory for requests.
var errBodyNoMemory = errs.New("no memory for the body")

// readBody reads a request body to its end. It counts the bytes as they arrive: a caller that
// states a length and sends little must not keep the memory from others.
func (h *holding) readBody(body io.Reader) ([]byte, error) {
	if !h.memory.Budget.Limited() {
		return io.ReadAll(body)
	}
	data := make([]byte, 0, initialBodySize)
	for {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data) < cap(data) {
			continue
		}
		before := cap(data)
		data = append(data, 0)[:len(data)]
		if !h.addBody(int64(cap(data) - before)) {
			return nil, errBodyNoMemory
		}
	}
}
