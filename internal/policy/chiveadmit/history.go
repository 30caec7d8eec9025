package chiveadmit

import "time"

const (
	// historyStep is the resolution of a history.
	historyStep = 25 * time.Millisecond
	// historyLength is the number of steps that a history keeps.
	historyLength = 128
	// maxHistory is the age up to which a history is known.
	maxHistory = (historyLength - 1) * historyStep
)

// history keeps the recent values of a quantity. The zero value holds 0 at all times.
type history struct {
	// values is a ring that holds the last value of each step up to step.
	values [historyLength]float64
	step   int64
}

// add sets the value from now on.
func (h *history) add(now time.Duration, value float64) {
	step := int64(now / historyStep)
	previous := h.values[h.step%historyLength]
	for i := max(h.step+1, step-historyLength+1); i < step; i++ {
		h.values[i%historyLength] = previous
	}
	if step >= h.step {
		h.step = step
	}
	h.values[h.step%historyLength] = value
}

// at returns the value at a moment, or current if it has not changed since.
func (h *history) at(moment time.Duration, current float64) float64 {
	step := int64(moment / historyStep)
	if step >= h.step {
		return current
	}
	return h.values[max(step, h.step-historyLength+1, 0)%historyLength]
}
