// Package chivelimit limits the concurrent requests of model runners, so that
// the pauses between the events of a stream stay below the maximum that its
// route allows. It also detects groups whose forward passes become slow.
package chivelimit

import (
	"sort"
	"time"
)

// The target fraction and the quantile leave headroom for variation between two
// forward passes: prompts that are prefilled and requests that begin.
const (
	// targetFraction is the fraction of the allowed pause that the limiter aims at.
	targetFraction = 0.85
	// pauseQuantile is the quantile of the pauses that is compared with the target.
	pauseQuantile = 0.85
	// minSamples is the number of pauses below which an interval is not evaluated.
	minSamples = 12
	// maxSamples is the number of pauses that are kept per interval.
	maxSamples = 512
	// minDecreaseFactor bounds a decrease: an interval multiplies the limit by at
	// least this factor.
	minDecreaseFactor = 0.75
	// maxIncrease bounds an increase per interval, in requests.
	maxIncrease = 0.7
	// recentPauseDecay is the factor by which the pauses of an interval count less in the
	// recent pause with each later one.
	recentPauseDecay = 0.8
	// minLimit is the lowest limit of a runner, in requests.
	minLimit = 3
)

// ConcurrencyLimiter limits the concurrent requests at each runner of a
// service. The duration of a forward pass is modeled as a constant that no limit
// can lower, plus a term proportional to the running requests. The slope depends
// on the balance of experts and on the prompts that are prefilled, so it is
// estimated from measured pauses. The zero value sets no limit.
type ConcurrencyLimiter struct {
	pauses []time.Duration
	limit  float64
	// recentPause is the pauseQuantile of the last interval, or of an earlier one that was
	// much longer; 0 if the last interval had too few samples.
	recentPause time.Duration
}

// RecentPause returns a high quantile of the recent pauses, or 0 if there were too few.
func (l *ConcurrencyLimiter) RecentPause() time.Duration {
	return l.recentPause
}

// AddPause records the pause between two events of a stream. Once an interval
// has maxSamples pauses, further ones are ignored.
func (l *ConcurrencyLimiter) AddPause(pause time.Duration) {
	if len(l.pauses) < maxSamples {
		l.pauses = append(l.pauses, pause)
	}
}

// Sparse reports whether the interval has too few pauses to be evaluated.
func (l *ConcurrencyLimiter) Sparse() bool {
	return len(l.pauses) < minSamples
}

// Limit returns the number of concurrent requests that a runner with the given
// number of slots may have.
func (l *ConcurrencyLimiter) Limit(slots int) float64 {
	if l.limit == 0 {
		return float64(slots)
	}
	return min(l.limit, float64(slots))
}

// Discard ends an interval without a change of the limit.
func (l *ConcurrencyLimiter) Discard() {
	l.pauses, l.recentPause = l.pauses[:0], 0
}

// EndInterval updates the limit from the pauses recorded since the last call and
// discards them. maxPause is the longest pause that the routes of the service
// allow, idlePause the pause at a runner without other load, running the mean
// number of running requests per runner, and slots the slots per runner. If there
// are fewer than minSamples pauses, or if maxPause is not above idlePause, the limit
// rises by maxIncrease.
func (l *ConcurrencyLimiter) EndInterval(maxPause, idlePause time.Duration, running float64, slots int) {
	defer func() { l.pauses = l.pauses[:0] }()
	current := l.Limit(slots)
	if l.Sparse() {
		l.recentPause = 0
		l.limit = min(current+maxIncrease, float64(slots))
		return
	}
	sort.Slice(l.pauses, func(i, j int) bool { return l.pauses[i] < l.pauses[j] })
	pause := l.pauses[int(pauseQuantile*float64(len(l.pauses)))]
	l.recentPause = max(pause, time.Duration(recentPauseDecay*float64(l.recentPause)))
	if maxPause <= idlePause {
		l.limit = min(current+maxIncrease, float64(slots))
		return
	}
	target := time.Duration(targetFraction * float64(maxPause))
	estimate := float64(slots)
	if pause > idlePause && running > 0 {
		estimate = running * float64(target-idlePause) / float64(pause-idlePause)
	}
	l.limit = max(minLimit, min(max(estimate, current*minDecreaseFactor), current+maxIncrease, float64(slots)))
}
