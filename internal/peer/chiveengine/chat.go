// Package chiveengine implements the client of model engines. It generates text through
// the chat-completions API, reads metrics, and changes the expert map of ranks.
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
	// defaultMaxTokens is the value of a missing max_tokens.
	defaultMaxTokens = 512
	maxMessages      = 4096
)

// ChatRequest holds the fields of a chat-completions request that this system reads.
// The engine also receives all other fields that the caller has sent.
type ChatRequest struct {
	Model     string        `json:"model"`
	Messages  []ChatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens *int64        `json:"max_tokens"`
}

// ChatMessage is one message of a conversation.
type ChatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// UnmarshalChat decodes and checks a request body.
func UnmarshalChat(body []byte) (*ChatRequest, error) {
	c := &ChatRequest{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("body is not a chat request: %w", err)
	}
	return c, c.Check()
}

// Check returns an error if the model, the messages or a role is missing, or if the
// number of messages or max_tokens is out of range.
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

// TokenLimit returns the maximum number of tokens to generate.
func (c *ChatRequest) TokenLimit() int64 {
	if c.MaxTokens == nil {
		return defaultMaxTokens
	}
	return *c.MaxTokens
}

// PromptPrefix returns the content of the first message as JSON. It identifies requests
// that can share a prefix cache.
func (c *ChatRequest) PromptPrefix() string {
	return string(c.Messages[0].Content)
}

// Chunk is the data of one event of a streamed response.
type Chunk struct {
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Error is set if the engine has failed.
	Error json.RawMessage `json:"error,omitempty"`
}

// failed reports whether the event is the report of a failure, not a part of a response.
func (c *Chunk) failed() bool {
	return len(c.Error) > 0 && string(c.Error) != "null" || c.Choices == nil && c.Usage == nil
}

// Choice is one of the alternative completions in a chunk. Only the first is used.
type Choice struct {
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta holds the text that a chunk adds to the completion, as a JSON string.
type Delta struct {
	Content json.RawMessage `json:"content,omitempty"`
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}
