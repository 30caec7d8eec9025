// Package chivecost estimates the work of requests from what callers say of them and from
// what earlier requests took.
package chivecost

import "math"

// Scale converts the tokens of a request into work, in usual requests of a service.
type Scale struct {
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of prompts and answers.
	UsualPrompt, UsualAnswer float64
	// TokenTime is the time that a token of an answer adds to the passes of its runner, and
	// ContextTime what each 1,000 tokens of context add to that, in milliseconds.
	TokenTime, ContextTime float64
	// ReadTime is the time to read a token of a prompt, and PairTime what a million pairs
	// of a token and an earlier one add, in milliseconds.
	ReadTime, PairTime float64
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens float64
	// PieceTokens is the largest number of tokens of prompts that are read between two steps.
	PieceTokens float64
}

// maxSize is the largest size of a prompt or an answer that is believed, in usual ones.
const maxSize = 16

const (
	tokensPerContext = 1000
	pairsPerUnit     = 1e6
)

// Valid reports whether the scale describes requests that take time.
func (s *Scale) Valid() bool {
	for _, f := range [...]float64{s.UsualPrompt, s.UsualAnswer, s.TokenTime, s.ContextTime, s.ReadTime, s.PairTime, s.EventTokens, s.PieceTokens} {
		if !(f >= 0) || math.IsInf(f, 1) {
			return false
		}
	}
	return s.UsualPrompt > 0 && s.UsualAnswer > 0 && s.EventTokens > 0 && s.time(s.UsualPrompt, s.UsualAnswer) > 0
}

// Work returns the work of a request whose runner reads a prompt and then writes an answer.
func (s *Scale) Work(prompt, answer float64) float64 {
	return s.time(prompt, answer) / s.time(s.UsualPrompt, s.UsualAnswer)
}

// writeWork returns the work of writing tokens of an answer to a prompt that was read.
func (s *Scale) writeWork(prompt, tokens float64) float64 {
	return s.writeTime(prompt, tokens) / s.time(s.UsualPrompt, s.UsualAnswer)
}

func (s *Scale) time(prompt, answer float64) float64 {
	return prompt*s.ReadTime + prompt*prompt/2/pairsPerUnit*s.PairTime + s.writeTime(prompt, answer)
}

func (s *Scale) writeTime(prompt, tokens float64) float64 {
	return tokens * (s.TokenTime + s.ContextTime*(prompt+tokens/2)/tokensPerContext)
}

// size returns a stated number of tokens within what is believed, or 0 if it says nothing.
func size(tokens, usual float64) float64 {
	if !(tokens > 0) || math.IsInf(tokens, 1) {
		return 0
	}
	return min(tokens, maxSize*usual)
}
