package chiverelay

import (
	"errors"
	"fmt"
	"io"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
)

const (
	// maxAnswerSize bounds an answer that is not a stream, in bytes.
	maxAnswerSize = 4 << 20
	// freeAnswerSize is the size in bytes up to which an answer is buffered without
	// regard to others, maxBufferedSize what the larger ones may have together.
	freeAnswerSize  = 16 << 10
	maxBufferedSize = 16 << 20
	// initialAnswerSize is the size of a new buffer in bytes.
	initialAnswerSize = 1 << 10
)

// errNoMemory is returned for an answer for which the budget leaves no memory.
var errNoMemory = errs.New("no memory for the answer")

// readAnswer reads an answer to its end. It returns an error that wraps chiverunner.ErrUnbounded
// if the answer is longer than maxAnswerSize, or if it is longer than freeAnswerSize and answers
// have used up what they may have together, and errNoMemory if the budget is spent or sets that
// bound. Without an error, release must be called when the answer is no longer needed.
func (h *holding) readAnswer(body io.Reader) (answer []byte, release func(), err error) {
	m, taken := h.memory, int64(0)
	giveBack := func() { m.answers.Add(-taken) }
	defer func() {
		if err != nil {
			giveBack()
			h.addAnswer(-taken)
		}
	}()
	answer = make([]byte, 0, initialAnswerSize)
	for {
		if len(answer) == cap(answer) {
			answer = append(answer, 0)[:len(answer)]
		}
		n, err := body.Read(answer[len(answer):cap(answer)])
		answer = answer[:len(answer)+n]
		if errors.Is(err, io.EOF) {
			if !m.Budget.Limited() {
				return answer, giveBack, nil
			}
			// The budget counts the answer until the end of the request.
			giveBack()
			return answer, func() {}, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if len(answer) > maxAnswerSize {
			return nil, nil, fmt.Errorf("answer is longer than %d bytes: %w", maxAnswerSize, chiverunner.ErrUnbounded)
		}
		if more := int64(len(answer)) - freeAnswerSize - taken; more > 0 {
			taken += more
			fits := h.take(more)
			if limit := m.maxAnswers(); m.answers.Add(more) > limit {
				if limit < maxBufferedSize {
					// The runner is not to blame for a small budget.
					return nil, nil, errNoMemory
				}
				return nil, nil, fmt.Errorf("answers take more than %d bytes of memory: %w", limit, chiverunner.ErrUnbounded)
			}
			if !fits {
				return nil, nil, errNoMemory
			}
		}
	}
}
