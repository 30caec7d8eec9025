package chiveadmit

import (
	"slices"
	"time"
)

const (
	// firstTargetFraction is the part of the target of the first event that a runner may
	// use; the rest is for the way to the caller.
	firstTargetFraction = 0.7
	// lateQuantile is the quantile of the waits that is compared with the target.
	lateQuantile = 0.75
	// minWaits is the number of waits below which an interval changes nothing, maxWaits the
	// number that is kept.
	minWaits = 8
	maxWaits = 256
	// fillDecrease multiplies the factor when first events are late, fillIncrease is added to
	// it per second otherwise.
	fillDecrease = 5.0 / 6
	fillIncrease = 0.1
	// minFill is the lowest factor.
	minFill = 0.4
	// settleTime is how long after a decrease waits still belong to requests admitted before.
	settleTime = 500 * time.Millisecond
)

// FillLimiter limits the part of the runners' slots that is filled, by the time that first
// events take. The zero value allows all slots.
type FillLimiter struct {
	waits    []float64
	decrease float64
	// decreasedAt and changedAt are when the factor was last decreased and changed.
	decreasedAt, changedAt time.Duration
}

// AddFirst records the time from a request's attempt to its first event, and the target
// for it; without a target it does nothing.
func (l *FillLimiter) AddFirst(wait, target time.Duration) {
	if target > 0 && len(l.waits) < maxWaits {
		l.waits = append(l.waits, float64(wait)/float64(target))
	}
}

// Fill returns the part of the slots to be filled, between minFill and 1.
func (l *FillLimiter) Fill() float64 {
	return 1 - l.decrease
}

// EndInterval updates the factor from the waits recorded since the last call.
func (l *FillLimiter) EndInterval(now time.Duration) {
	if len(l.waits) < minWaits {
		return
	}
	slices.Sort(l.waits)
	late := l.waits[int(lateQuantile*float64(len(l.waits)))] > firstTargetFraction
	l.waits = l.waits[:0]
	switch {
	case !late:
		l.decrease = max(0, l.decrease-fillIncrease*(now-l.changedAt).Seconds())
		l.changedAt = now
	case l.decreasedAt == 0 || now-l.decreasedAt >= settleTime:
		l.decrease = min(1-minFill, 1-fillDecrease*(1-l.decrease))
		l.decreasedAt, l.changedAt = now, now
	}
}
