package chiveadmit

import (
	"math"
	"time"
)

const (
	// urgencyLevels is the number of priorities; larger and negative ones count as the
	// least urgent.
	urgencyLevels = 10
	// surgeWindow is the time over which arrivals are compared with their mean. It covers
	// the age of most reports.
	surgeWindow = 300 * time.Millisecond
	// surgeMemory is the time constant at which a surge is forgotten, meanMemory that of the
	// mean of the arrivals.
	surgeMemory = 10 * time.Second
	meanMemory  = 3 * time.Second
	// rateWindow is the time constant of a rate.
	rateWindow = time.Second
)

// urgencyLevel returns the level of a priority. One that no configuration should hold must not
// go before others.
func urgencyLevel(priority int) int {
	if priority < 0 || priority >= urgencyLevels {
		return urgencyLevels - 1
	}
	return priority
}

// arrivals learns by how much the work that arrives in a short time exceeds its mean.
type arrivals struct {
	windowStart time.Duration
	count       float64
	// mean is the usual work per window, peak the largest recent excess over it.
	mean, peak float64
}

// add counts work that arrives.
func (a *arrivals) add(now time.Duration, work float64) {
	a.roll(now)
	a.count += work
	a.peak = max(a.peak, a.count-a.mean)
}

// surge returns the largest recent excess.
func (a *arrivals) surge(now time.Duration) float64 {
	a.roll(now)
	return a.peak
}

// roll ends the windows that have passed.
func (a *arrivals) roll(now time.Duration) {
	n := int64((now - a.windowStart) / surgeWindow)
	if n <= 0 {
		return
	}
	keep := decay(surgeWindow, meanMemory)
	a.mean += (1 - keep) * (a.count - a.mean)
	a.count = 0
	a.windowStart += time.Duration(n) * surgeWindow
	if n > 1 {
		a.mean *= decay(time.Duration(n-1)*surgeWindow, meanMemory)
	}
	a.peak *= decay(time.Duration(n)*surgeWindow, surgeMemory)
}

// rate estimates work per second.
type rate struct {
	last  time.Duration
	value float64
}

// add counts work.
func (r *rate) add(now time.Duration, work float64) {
	r.value = r.perSecond(now) + work/rateWindow.Seconds()
	r.last = now
}

// perSecond returns the recent work per second.
func (r *rate) perSecond(now time.Duration) float64 {
	return r.value * decay(now-r.last, rateWindow)
}

// decay returns what is left of a value after some time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, elapsed.Seconds()) / timeConstant.Seconds())
}
