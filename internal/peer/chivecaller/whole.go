package chivecaller

import (
	"encoding/json"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
)

// A Completion is an answer that is sent whole.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   chiveengine.Usage  `json:"usage"`
}

// A CompletionChoice is the one answer of a completion.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      CompletionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// A CompletionMessage is the text of an answer.
type CompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// A Collector gathers an answer that is sent whole.
type Collector struct {
	Completion Completion

	text []byte
}

// NewCollector returns a new Collector of a request's answer.
func NewCollector(id, model string, now time.Time) *Collector {
	return &Collector{Completion: Completion{ID: id, Object: "chat.completion", Created: now.Unix(), Model: model}}
}

// Begun reports whether the caller has got a part of the answer.
func (c *Collector) Begun() bool {
	return false
}

// Text adds tokens, as a JSON string.
func (c *Collector) Text(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	c.text = append(c.text, s...)
	return nil
}

// End completes the answer.
func (c *Collector) End(finish string, usage chiveengine.Usage) error {
	message := CompletionMessage{Role: "assistant", Content: string(c.text)}
	c.Completion.Choices = []CompletionChoice{{Message: message, FinishReason: finish}}
	c.Completion.Usage = usage
	return nil
}
