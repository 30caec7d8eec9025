package chivecaller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// writeTimeout is how long a caller may take to read what is sent to it.
const writeTimeout = 10 * time.Second

// deadlineUpdatesPerTimeout is how often a deadline is set within its timeout.
const deadlineUpdatesPerTimeout = 8

// A chunk is one event of an answer as callers get it.
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

// A Stream writes an answer as server-sent events.
type Stream struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	chunk       chunk
	eventPrefix []byte
	eventSuffix []byte
	buf         []byte
	begun       bool
	// deadlineSetAt is when the write deadline was set last.
	deadlineSetAt time.Time
}

// NewStream returns a new Stream of a request's answer. Nothing is written
// before the first token.
func NewStream(w http.ResponseWriter, id, model string, now time.Time) (*Stream, error) {
	s := &Stream{w: w, controller: http.NewResponseController(w)}
	s.chunk = chunk{ID: id, Object: "chat.completion.chunk", Created: now.Unix(), Model: model}
	const mark = `"\u0000"`
	s.chunk.Choices = []chunkChoice{{Delta: chunkDelta{Content: json.RawMessage(mark)}}}
	data, err := json.Marshal(&s.chunk)
	if err != nil {
		return nil, err
	}
	before, after, _ := bytes.Cut(data, []byte(mark))
	s.eventPrefix = append([]byte("data: "), before...)
	s.eventSuffix = append(bytes.Clone(after), "\n\n"...)
	return s, nil
}

// Begun reports whether the caller has got a part of the answer.
func (s *Stream) Begun() bool {
	return s.begun
}

// Text writes tokens as a JSON string.
func (s *Stream) Text(text []byte) error {
	s.buf = append(s.buf[:0], s.eventPrefix...)
	s.buf = append(s.buf, text...)
	s.buf = append(s.buf, s.eventSuffix...)
	return s.write(s.buf)
}

// End writes the end of a whole answer.
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

// Fail writes the failure of an answer that has begun. The stream has no end
// event, so that no client takes it for whole.
func (s *Stream) Fail(f *chiveverdict.Failure) {
	data, err := json.Marshal(NewErrorBody(f))
	if err != nil {
		return
	}
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, data...)
	_ = s.write(append(s.buf, "\n\n"...))
}

// extendWriteDeadline sets the write deadline, which costs more than a token does, only a few
// times within the timeout.
func (s *Stream) extendWriteDeadline(now time.Time) {
	if now.Sub(s.deadlineSetAt) < writeTimeout/deadlineUpdatesPerTimeout {
		return
	}
	s.deadlineSetAt = now
	_ = s.controller.SetWriteDeadline(now.Add(writeTimeout))
}

func (s *Stream) write(line []byte) error {
	if !s.begun {
		s.begun = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	s.extendWriteDeadline(time.Now())
	if _, err := s.w.Write(line); err != nil {
		return err
	}
	return s.controller.Flush()
}
