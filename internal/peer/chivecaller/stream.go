package chivecaller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// writeTimeout is the maximum time for a write to a caller that reads slowly.
const writeTimeout = 10 * time.Second

// deadlineUpdatesPerTimeout is the maximum number of times that the write deadline
// is extended within writeTimeout.
const deadlineUpdatesPerTimeout = 8

// chunk is the JSON data of one server-sent event of an answer.
type chunk struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []chunkChoice      `json:"choices"`
	Usage   *chiveengine.Usage `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string          `json:"role,omitempty"`
	Content json.RawMessage `json:"content,omitempty"`
}

// Stream writes an answer as server-sent events.
type Stream struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	// chunk holds the fields that all events share.
	chunk chunk
	// eventPrefix and eventSuffix enclose the tokens in an event.
	eventPrefix []byte
	eventSuffix []byte
	buf         []byte
	begun       bool
	// deadlineSetAt is the last time that the write deadline was set.
	deadlineSetAt time.Time
}

// NewStream returns a new Stream for the answer to a request. The headers are not
// written before the first event, so that an error can still be answered with its
// own status.
func NewStream(w http.ResponseWriter, id, model string, now time.Time) (*Stream, error) {
	s := &Stream{w: w, controller: http.NewResponseController(w)}
	s.chunk = chunk{ID: id, Object: "chat.completion.chunk", Created: now.Unix(), Model: model}
	const placeholder = `"\u0000"`
	s.chunk.Choices = []chunkChoice{{Delta: chunkDelta{Content: json.RawMessage(placeholder)}}}
	data, err := json.Marshal(&s.chunk)
	if err != nil {
		return nil, err
	}
	prefix, suffix, _ := bytes.Cut(data, []byte(placeholder))
	s.eventPrefix = append([]byte("data: "), prefix...)
	s.eventSuffix = append(bytes.Clone(suffix), "\n\n"...)
	return s, nil
}

// Begun reports whether writing the answer to the caller has begun.
func (s *Stream) Begun() bool {
	return s.begun
}

// Text writes tokens, given as a JSON string, as one event.
func (s *Stream) Text(text []byte) error {
	s.buf = append(s.buf[:0], s.eventPrefix...)
	s.buf = append(s.buf, text...)
	s.buf = append(s.buf, s.eventSuffix...)
	return s.write(s.buf)
}

// End writes the event with the finish reason and the usage, which completes the
// answer, and the end event.
func (s *Stream) End(finish string, usage chiveengine.Usage) error {
	s.chunk.Choices = []chunkChoice{{FinishReason: &finish}}
	s.chunk.Usage = &usage
	data, err := json.Marshal(&s.chunk)
	if err != nil {
		return err
	}
	s.buf = append(s.buf[:0], "data: "...)
	s.buf = append(s.buf, data...)
	s.buf = append(s.buf, "\n\ndata: [DONE]\n\n"...)
	return s.write(s.buf)
}

// Fail writes an error event for an answer that failed midway. It writes no end
// event, so that clients do not take the answer for a complete one.
func (s *Stream) Fail(f *chiveverdict.Failure) {
	data, err := json.Marshal(NewErrorBody(f))
	if err != nil {
		return
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, data...)
	_ = s.write(append(s.buf, "\n\n"...))
}

// extendWriteDeadline moves the write deadline to now plus writeTimeout, but only
// deadlineUpdatesPerTimeout times in each writeTimeout: setting it costs more than
// writing a token.
func (s *Stream) extendWriteDeadline(now time.Time) {
	if now.Sub(s.deadlineSetAt) < writeTimeout/deadlineUpdatesPerTimeout {
		return
	}
	s.deadlineSetAt = now
	_ = s.controller.SetWriteDeadline(now.Add(writeTimeout))
}

// write writes one or more events and flushes them. It writes the headers first if
// it has not yet.
func (s *Stream) write(events []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	s.extendWriteDeadline(time.Now())
	if _, err := s.w.Write(events); err != nil {
		return err
	}
	return s.controller.Flush()
}
