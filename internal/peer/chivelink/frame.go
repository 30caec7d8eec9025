package chivelink

import (
	"fmt"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// A FrameKind says what a frame holds.
type FrameKind uint8

// The kinds of frames. A call is answered by FrameWait at once, then FrameStart
// when it begins to run, any number of FrameDelta and one of FrameEnd,
// FrameAnswer and FrameFail. FrameFail may come at any place.
const (
	FrameWait FrameKind = iota + 1
	FrameStart
	FrameDelta
	FrameEnd
	FrameAnswer
	FrameFail
)

// A Frame is one message of an agent's answer to a call.
type Frame struct {
	Kind    FrameKind `cbor:"kind"`
	Attempt uint32    `cbor:"attempt"`
	// Offset is the number of tokens before this frame's.
	Offset uint64 `cbor:"offset,omitempty"`
	// TokenCount is the number of tokens in the frame.
	TokenCount uint32 `cbor:"count,omitempty"`
	// Text is a JSON string, with its quotes.
	Text    []byte                `cbor:"text,omitempty"`
	End     *End                  `cbor:"end,omitempty"`
	Answer  *Answer               `cbor:"answer,omitempty"`
	Failure *chiveverdict.Failure `cbor:"fail,omitempty"`
	Load    *Load                 `cbor:"load,omitempty"`
}

// Check returns an error where the frame lacks what its kind needs.
func (f *Frame) Check() error {
	switch f.Kind {
	case FrameWait, FrameStart, FrameDelta:
		return nil
	case FrameEnd:
		if f.End != nil {
			return nil
		}
	case FrameAnswer:
		if f.Answer != nil {
			return nil
		}
	case FrameFail:
		if f.Failure != nil {
			return nil
		}
	}
	return fmt.Errorf("frame of kind %d is not whole", f.Kind)
}

// An End closes a streamed answer.
type End struct {
	// TokenCount is the length of the whole answer, those before the offset
	// included.
	TokenCount uint64 `cbor:"tokens"`
	// PromptTokens is the number of prompt tokens.
	PromptTokens uint64 `cbor:"prompt"`
	// Checksum is the XXH3 digest of the texts of this attempt's frames.
	Checksum uint64 `cbor:"sum"`
	// FinishReason is the engine's reason, as "stop" or "length".
	FinishReason string `cbor:"finish"`
}

// An Answer is the answer of a plain service.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	// Replayed says that the answer is of an earlier run under the same key.
	Replayed bool `cbor:"replayed,omitempty"`
}
