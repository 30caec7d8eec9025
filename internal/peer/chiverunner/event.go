package chiverunner

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// ErrTruncatedEvent is returned if a stream ends within an event.
var ErrTruncatedEvent = errors.New("answer ends within an event")

// maxEventSize is the size of the largest event in bytes.
const maxEventSize = 128 << 10

// ErrNoEvent is returned if bytes of a stream are no event, such as the head of another answer.
var ErrNoEvent = errors.New("not an event")

// Event is a server-sent event.
type Event struct {
	// ID is the id of the event, or -1 if it has none.
	ID int64
	// Comment reports whether it has nothing but comments.
	Comment bool
	// Raw holds the event as received, with the blank line that ends it.
	Raw []byte
}

// EventReader splits a stream into complete events.
type EventReader struct {
	reader *bufio.Reader
	// arrivals watches how the bytes of an event arrive.
	arrivals *arrivalReader
	// raw holds the bytes of the current event.
	raw []byte
}

// NewEventReader returns an EventReader of the stream r.
func NewEventReader(r io.Reader) *EventReader {
	a := &arrivalReader{source: r}
	return &EventReader{reader: bufio.NewReaderSize(a, bufferSize), arrivals: a}
}

// Detach leaves the Raw of the last event to its user: the following calls of Next do not
// overwrite it.
func (e *EventReader) Detach() {
	e.raw = nil
}

// Next returns the next event. Its Raw is valid until the following call. Next returns
// io.EOF if the stream ends between events, ErrTruncatedEvent if it ends within one,
// ErrUnbounded if the event is too long, ErrStalled if fewer than minEventBytes of it arrive in
// eventTime, and ErrNoEvent if a line is no field of an event or an id is not an integer.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	e.arrivals.begin(e.reader.Buffered() > 0)
	event, lineStart := Event{ID: -1, Comment: true}, 0
	for {
		part, err := e.reader.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		if len(e.raw) > maxEventSize {
			return Event{}, Error.Wrap(fmt.Errorf("event is longer than %d bytes: %w", maxEventSize, ErrUnbounded))
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, e.endError(err)
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		if len(line) == 0 && lineStart == 0 {
			e.raw = e.raw[:0]
			continue
		}
		if len(line) == 0 {
			event.Raw = e.raw
			return event, nil
		}
		lineStart = len(e.raw)
		if err := event.addLine(line); err != nil {
			return Event{}, Error.Wrap(err)
		}
	}
}

// addLine adds a line without its end. Its error wraps ErrNoEvent.
func (e *Event) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return nil
	}
	e.Comment = false
	if !isFieldName(name) {
		return fmt.Errorf("line %.40q: %w", line, ErrNoEvent)
	}
	if string(name) != "id" {
		return nil
	}
	n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return fmt.Errorf("id %.40q: %w", value, ErrNoEvent)
	}
	e.ID = n
	return nil
}

// isFieldName reports whether a name may be that of a field. Those of the format and of its known
// extensions have no capital letters, unlike most names in heads of answers.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// Pending reports whether the end of another event is buffered already.
func (e *EventReader) Pending() bool {
	// It does not fail for bytes that are buffered.
	b, _ := e.reader.Peek(e.reader.Buffered())
	// Blank lines before an event do not end it.
	b = bytes.TrimLeft(b, "\r\n")
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\n\r\n"))
}

// endError replaces io.EOF within an event by ErrTruncatedEvent.
func (e *EventReader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(e.raw) > 0 {
		return ErrTruncatedEvent
	}
	return err
}
