package chivelink

import (
	"fmt"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// FrameKind is the kind of a frame. Its values are part of the wire format.
type FrameKind uint8

// The kinds of frames. An agent sends FrameWait when it receives a call and
// FrameStart when the call begins to run. A generation request is then answered by
// any number of FrameDelta and one FrameEnd, a call to a plain service by one
// FrameAnswer. A replayed answer has no FrameStart. FrameFail may come at any time
// and is the last frame.
const (
	FrameWait FrameKind = iota + 1
	FrameStart
	FrameDelta
	FrameEnd
	FrameAnswer
	FrameFail
)

// Frame is one message of an agent's answer to a call.
type Frame struct {
	Kind FrameKind `cbor:"kind"`
	// Attempt is the number of the attempt, as in the call.
	Attempt uint32 `cbor:"attempt"`
	// Offset is the number of tokens of the answer before those of this frame.
	Offset uint64 `cbor:"offset,omitempty"`
	// TokenCount is the number of tokens in the frame.
	TokenCount uint32 `cbor:"count,omitempty"`
	// Text is the text of the tokens as a JSON string, including the quotes.
	Text    []byte                `cbor:"text,omitempty"`
	End     *End                  `cbor:"end,omitempty"`
	Answer  *Answer               `cbor:"answer,omitempty"`
	Failure *chiveverdict.Failure `cbor:"fail,omitempty"`
	Load    *Load                 `cbor:"load,omitempty"`
}

// Check returns an error if the kind is unknown or the field for it is not set.
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

// End describes the complete answer to a generation request.
type End struct {
	// TokenCount is the length of the whole answer, including the tokens before the
	// call's offset.
	TokenCount uint64 `cbor:"tokens"`
	// PromptTokens is the number of prompt tokens.
	PromptTokens uint64 `cbor:"prompt"`
	// Checksum is the XXH3 hash of the texts of this attempt's frames.
	Checksum uint64 `cbor:"sum"`
	// FinishReason is the engine's reason for the end, such as "stop" or "length".
	FinishReason string `cbor:"finish"`
}

// Answer is the HTTP response of a plain service.
type Answer struct {
	Status      int    `cbor:"status"`
	ContentType string `cbor:"type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	// Replayed is true if the answer was produced by an earlier call with the same key.
	Replayed bool `cbor:"replayed,omitempty"`
}
