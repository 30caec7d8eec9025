// Package chiveengine implements the client of model engines, which speak the
// usual chat-completions protocol over HTTP.
package chiveengine

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Limits of a generation request.
const (
	// MaxTokens is the largest max_tokens that is accepted.
	MaxTokens = 131_072
	// defaultMaxTokens stands in for a max_tokens that is not given.
	defaultMaxTokens = 512
	maxMessages      = 4096
)

// A ChatRequest is the part of a generation request that the system reads. The engine
// gets the request as the caller sent it.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens *int64        `json:"max_tokens"`
}

// A ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// UnmarshalChat reads and checks a generation request.
func UnmarshalChat(body []byte) (*ChatRequest, error) {
	c := &ChatRequest{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("body is not a chat request: %w", err)
	}
	return c, c.Check()
}

// Check returns an error where the request is not whole or absurd.
func (c *ChatRequest) Check() error {
	if c.Model == "" {
		return errors.New("model is missing")
	}
	if len(c.Messages) == 0 || len(c.Messages) > maxMessages {
		return fmt.Errorf("messages holds %d messages, not 1 to %d", len(c.Messages), maxMessages)
	}
	for i, m := range c.Messages {
		if m.Role == "" {
			return fmt.Errorf("messages[%d].role is missing", i)
		}
	}
	if c.MaxTokens != nil && (*c.MaxTokens < 1 || *c.MaxTokens > MaxTokens) {
		return fmt.Errorf("max_tokens is %d, not 1 to %d", *c.MaxTokens, MaxTokens)
	}
	return nil
}

// TokenLimit returns the number of tokens that may be generated.
func (c *ChatRequest) TokenLimit() int64 {
	if c.MaxTokens == nil {
		return defaultMaxTokens
	}
	return *c.MaxTokens
}

// PromptPrefix returns the text that the prompt begins with, for cache affinity.
func (c *ChatRequest) PromptPrefix() string {
	return string(c.Messages[0].Content)
}

// A Chunk is one event of a streamed answer.
type Chunk struct {
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// A Choice is one answer in a chunk. The system asks for one only.
type Choice struct {
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// A Delta holds the text that a chunk adds, as a JSON string.
type Delta struct {
	Content json.RawMessage `json:"content,omitempty"`
}

// A Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}
