// Package chivewarm implements the slow start of an endpoint: a limit on
// concurrent requests that grows as requests complete at normal speed.
package chivewarm

import "time"

const (
	// growth is the increase of the limit per request that completes at normal
	// speed, in requests.
	growth = 0.5
	// shrinkRatio is the slowdown from which the limit shrinks.
	shrinkRatio = 2.0
	// shrinkFactor is the factor by which the limit shrinks.
	shrinkFactor = 0.8
	// coldRatio is the slowdown from which the endpoint counts as cold and the slow
	// start restarts.
	coldRatio = 4.0
	// meanWeight is the weight of a new step time in the moving average.
	meanWeight = 0.1
	// minSamples is the number of step times before a slowdown has an effect.
	minSamples = 5
)

// Limiter limits the concurrent requests of one endpoint. It is not safe for
// concurrent use.
type Limiter struct {
	// ColdLimit is the number of concurrent requests that the endpoint supports
	// after a start.
	ColdLimit int
	// FullLimit is the number of concurrent requests that it supports when warm.
	FullLimit int

	limit   float64
	running int
	samples int
	// mean is the moving average of step times, in nanoseconds.
	mean float64
}

// NewLimiter returns a Limiter for an endpoint that has just started.
func NewLimiter(coldLimit, fullLimit int) *Limiter {
	return &Limiter{ColdLimit: coldLimit, FullLimit: fullLimit, limit: float64(coldLimit)}
}

// Limit returns the current limit of concurrent requests.
func (l *Limiter) Limit() int {
	return int(min(max(l.limit, float64(l.ColdLimit)), float64(l.FullLimit)))
}

// Running returns the number of requests that have begun and not ended.
func (l *Limiter) Running() int {
	return l.running
}

// MeanStepTime returns the moving average of step times, or 0 if none is known.
func (l *Limiter) MeanStepTime() time.Duration {
	return time.Duration(l.mean)
}

// Begin counts a new request and returns true, or returns false if the limit is
// reached.
func (l *Limiter) Begin() bool {
	if l.running >= l.Limit() {
		return false
	}
	l.running++
	return true
}

// End ends a request that completed with the given mean step time and adjusts the
// limit, which grows only while at least half of it is in use. End returns true if
// the step time shows that the endpoint is cold again, which restarts the slow
// start.
func (l *Limiter) End(stepTime time.Duration) bool {
	busy := 2*l.running >= l.Limit()
	l.running--
	slowdown := l.slowdown(stepTime)
	switch {
	case slowdown >= coldRatio:
		l.Reset()
		return true
	case slowdown >= shrinkRatio:
		l.limit = max(float64(l.ColdLimit), l.limit*shrinkFactor)
	case busy:
		l.limit = min(float64(l.FullLimit), l.limit+growth)
	}
	return false
}

// Fail ends a request that failed midway. It leaves the limit as it is.
func (l *Limiter) Fail() {
	l.running--
}

// Reset restarts the slow start. Running requests remain counted.
func (l *Limiter) Reset() {
	l.limit = float64(l.ColdLimit)
	l.samples = 0
	l.mean = 0
}

// Resize sets ColdLimit and FullLimit and clamps the current limit to them.
func (l *Limiter) Resize(coldLimit, fullLimit int) {
	l.ColdLimit, l.FullLimit = coldLimit, fullLimit
	l.limit = min(max(l.limit, float64(coldLimit)), float64(fullLimit))
}

// slowdown returns the ratio of a step time to the moving average and then adds
// the step time to the average. It returns 1 for a step time that is not positive
// and until more than minSamples step times are known.
func (l *Limiter) slowdown(stepTime time.Duration) float64 {
	if stepTime <= 0 {
		return 1
	}
	l.samples++
	if l.samples == 1 {
		l.mean = float64(stepTime)
		return 1
	}
	ratio := float64(stepTime) / l.mean
	l.mean += meanWeight * (float64(stepTime) - l.mean)
	if l.samples <= minSamples {
		return 1
	}
	return ratio
}
