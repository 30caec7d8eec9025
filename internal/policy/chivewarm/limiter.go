// Package chivewarm implements the slow start of an endpoint: a limit on
// concurrent requests that grows with work that was done at normal speed.
package chivewarm

import "time"

const (
	// growth is what one request completed at normal speed adds to the limit.
	growth = 0.5
	// shrinkRatio is the slowdown at which the limit shrinks.
	shrinkRatio = 2.0
	// shrinkFactor is what the limit is multiplied by on a slowdown.
	shrinkFactor = 0.8
	// coldRatio is the slowdown that means that the endpoint is cold again.
	coldRatio = 4.0
	// meanWeight is the weight of the newest step time in the mean.
	meanWeight = 0.1
	// minSamples is the number of step times before a slowdown is judged.
	minSamples = 5
)

// A Limiter bounds the concurrent requests of one endpoint. It is not safe for
// concurrent use.
type Limiter struct {
	// ColdLimit is the number of requests that the endpoint bears after a start.
	ColdLimit int
	// FullLimit is the number of requests that it bears when warm.
	FullLimit int

	limit   float64
	running int
	samples int
	mean    float64
}

// NewLimiter returns a new Limiter of an endpoint that has just started.
func NewLimiter(cold, full int) *Limiter {
	return &Limiter{ColdLimit: cold, FullLimit: full, limit: float64(cold)}
}

// Limit returns the number of requests that the endpoint bears now.
func (l *Limiter) Limit() int {
	return int(min(max(l.limit, float64(l.ColdLimit)), float64(l.FullLimit)))
}

// Running returns the number of requests that were begun and not ended.
func (l *Limiter) Running() int {
	return l.running
}

// MeanStepTime returns the mean step time.
func (l *Limiter) MeanStepTime() time.Duration {
	return time.Duration(l.mean)
}

// Begin counts a request in, or returns false where the limit is reached.
func (l *Limiter) Begin() bool {
	if l.running >= l.Limit() {
		return false
	}
	l.running++
	return true
}

// End counts a request out that was completed with that mean step time. It
// reports whether the step time shows that the endpoint is cold again.
func (l *Limiter) End(step time.Duration) bool {
	busy := 2*l.running >= l.Limit()
	l.running--
	slowdown := l.slowdown(step)
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

// Fail counts a request out that broke off.
func (l *Limiter) Fail() {
	l.running--
}

// Reset sends the endpoint back to the start of its ramp. Requests that run
// stay counted.
func (l *Limiter) Reset() {
	l.limit = float64(l.ColdLimit)
	l.samples = 0
	l.mean = 0
}

// Resize sets new bounds and keeps the limit within them.
func (l *Limiter) Resize(cold, full int) {
	l.ColdLimit, l.FullLimit = cold, full
	l.limit = min(max(l.limit, float64(cold)), float64(full))
}

// slowdown returns the ratio of a step time to the mean of those before it and
// takes it into the mean, or 1 while too few are known.
func (l *Limiter) slowdown(step time.Duration) float64 {
	if step <= 0 {
		return 1
	}
	l.samples++
	if l.samples == 1 {
		l.mean = float64(step)
		return 1
	}
	ratio := float64(step) / l.mean
	l.mean += meanWeight * (float64(step) - l.mean)
	if l.samples <= minSamples {
		return 1
	}
	return ratio
}
