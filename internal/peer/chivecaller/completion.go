package chivecaller

import (
	"encoding/json"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
)

// Completion is the JSON body of an answer that is not streamed.
type Completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   chiveengine.Usage  `json:"usage"`
}

// CompletionChoice is the only choice in a completion.
type CompletionChoice struct {
	Index        int               `json:"index"`
	Message      CompletionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

// CompletionMessage is the generated message.
type CompletionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Collector collects the tokens of an answer that is not streamed.
type Collector struct {
	// Completion is the answer, which is complete after End.
	Completion Completion

	text []byte
}

// NewCollector returns a new Collector for the answer to a request.
func NewCollector(id, model string, now time.Time) *Collector {
	return &Collector{Completion: Completion{ID: id, Object: "chat.completion", Created: now.Unix(), Model: model}}
}

// Begun returns false: a Collector writes nothing to the caller.
func (c *Collector) Begun() bool {
	return false
}

// Text appends tokens, given as a JSON string. It returns an error if that is not
// valid JSON.
func (c *Collector) Text(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	c.text = append(c.text, s...)
	return nil
}

// End completes the answer with its finish reason and usage. It always returns nil.
func (c *Collector) End(finish string, usage chiveengine.Usage) error {
	message := CompletionMessage{Role: "assistant", Content: string(c.text)}
	c.Completion.Choices = []CompletionChoice{{Message: message, FinishReason: finish}}
	c.Completion.Usage = usage
	return nil
}
