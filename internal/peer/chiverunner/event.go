package chiverunner

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrTruncatedEvent is returned for an answer that ends in the middle of an event.
var ErrTruncatedEvent = errors.New("answer ends within an event")

// maxEventSize is the largest event, in bytes.
const maxEventSize = 1 << 20

// An Event is one event of a stream, with the blank line that ends it.
type Event struct {
	// ID is -1 where the event has none.
	ID  int64
	Raw []byte
}

// An EventReader reads the whole events of a stream.
type EventReader struct {
	reader *bufio.Reader
	raw    []byte
}

// NewEventReader returns a new EventReader.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, bufferSize)}
}

// Next returns the next event, whose text is valid until the following call. It
// returns io.EOF at the end of the answer and ErrTorn within an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	id := int64(-1)
	for {
		start := len(e.raw)
		line, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(e.raw) > maxEventSize {
				return Event{}, Error.New("event is longer than %d bytes", maxEventSize)
			}
			continue
		}
		if err != nil {
			return Event{}, e.endError(err)
		}
		line = bytes.TrimRight(e.raw[start:], "\r\n")
		if len(line) == 0 {
			if start == 0 {
				e.raw = e.raw[:0]
				continue
			}
			return Event{ID: id, Raw: e.raw}, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return Event{}, Error.New("event has id %q", value)
			}
			id = n
		}
	}
}

// Pending reports whether more bytes have arrived already.
func (e *EventReader) Pending() bool {
	return e.reader.Buffered() > 0
}

func (e *EventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(e.raw) > 0 {
		return ErrTruncatedEvent
	}
	return err
}
