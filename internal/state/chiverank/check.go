package chiverank

import (
	"fmt"
	"math"
)

const (
	// maxNumber is the largest integer that all JSON decoders read exactly. Ranks and entry VMs
	// exchange no larger one.
	maxNumber = 1<<53 - 1
	// maxFence is the largest fencing token of a lease whose tokens are at most maxNumber.
	maxFence = maxNumber >> tokenSeqBits
	// maxFenceLead is how far the fencing token of a later leaseholder may be ahead: 64 returns
	// of the store from older copies, after each of which it skips 1<<20.
	maxFenceLead = 64 << 20
)

// Check returns an error for a report that no rank sends: one with a negative version or pass, or
// one above maxNumber, or a pace that is not a number.
func (r *Report) Check() error {
	for _, f := range []struct {
		name  string
		value int64
		least int64
	}{
		{"pass", r.Pass, 0},
		{"map", r.Map, 0},
		{"prepared", r.Prepared, 0},
		{"armed", r.Armed, 0},
		{"held", r.Held, -1},
	} {
		if f.value < f.least || f.value > maxNumber {
			return Error.New("report: %s is %d, want %d to %d", f.name, f.value, f.least, int64(maxNumber))
		}
	}
	if !(r.Pace >= 0) || math.IsInf(r.Pace, 1) {
		return Error.New("report: pace is %v, want 0 or more", r.Pace)
	}
	return nil
}

// Check returns an error for a count that is negative or above maxNumber.
func (c *ExpertCounts) Check() error {
	for i, n := range c.Chosen {
		if n < 0 || n > maxNumber {
			return Error.New("count %d is %d, want 0 to %d", i, n, int64(maxNumber))
		}
	}
	return nil
}

// newestFence returns the highest fencing token under which a version that the rank has was issued.
func (r *Report) newestFence() uint64 {
	return uint64(max(r.Map, r.Prepared, r.Armed)) >> tokenSeqBits
}

// checkFence returns an error for a fencing token from which no exact token can be made.
func checkFence(group string, fence uint64) error {
	if fence == 0 || fence > maxFence {
		return fmt.Errorf("lease on group %s has the fencing token %d, want 1 to %d", group, fence, uint64(maxFence))
	}
	return nil
}
