package chiveadmit

import (
	"math"
	"time"
)

const (
	// urgencyLevels is the number of priorities; larger and negative ones count as the
	// least urgent.
	urgencyLevels = 10
	// classCount is the number of classes of requests, see classOf.
	classCount = 2 * urgencyLevels
	// floorFraction is the fraction of an even part of the room that each class gets, so that
	// the least urgent work is not starved.
	floorFraction = 0.5
	// demandMemory is the time constant of the demand of a class. It is short against a burst
	// and covers several requests of a class at an entry VM.
	demandMemory = 700 * time.Millisecond
	// roomHorizon is the time within which places that are free now are to be taken.
	roomHorizon = 400 * time.Millisecond
	// planInterval is how long the parts of a plan hold.
	planInterval = 40 * time.Millisecond
	// minDemand is the least work per second that a plan reckons with.
	minDemand = 1e-6
	// maxCredit bounds what a class is due from a time in which it had no requests.
	maxCredit = 1
)

// urgencyLevel returns the level of a priority. One that no configuration should hold must not
// go before others.
func urgencyLevel(priority int) int {
	if priority < 0 || priority >= urgencyLevels {
		return urgencyLevels - 1
	}
	return priority
}

// classOf returns the place of a request in the order in which requests are admitted: by
// urgency, and of one urgency those of workspaces within their share first.
func classOf(d Demand) int {
	class := 2 * urgencyLevel(d.Urgency)
	if d.OverShare {
		class++
	}
	return class
}

// ranking divides the room that becomes free among the classes. The zero value admits all.
type ranking struct {
	demand  [classCount]rate
	credit  [classCount]float64
	part    [classCount]float64
	planned time.Duration
}

// add counts a request that arrives.
func (k *ranking) add(now time.Duration, class int, work float64) {
	k.demand[class].add(now, work, demandMemory)
}

// total returns the work per second that arrives.
func (k *ranking) total(now time.Duration) float64 {
	sum := 0.0
	for i := range k.demand {
		sum += k.demand[i].perSecond(now, demandMemory)
	}
	return sum
}

// plan sets the part of each class that is admitted if room becomes free at a rate. All get
// their floor first, and the rest goes to the classes in order.
func (k *ranking) plan(now time.Duration, perSecond float64) {
	var demand [classCount]float64
	all := 0.0
	for i := range demand {
		demand[i] = k.demand[i].perSecond(now, demandMemory)
		all += demand[i]
	}
	floor := floorFraction * min(1, max(0, perSecond)/max(all, minDemand))
	left := max(0, perSecond-floor*all)
	for i, d := range demand {
		rest := (1 - floor) * d
		k.part[i] = 1
		if rest > left {
			k.part[i] = floor + (1-floor)*left/rest
		}
		left -= min(left, rest)
	}
	k.planned = now
}

// due reports whether the next request of a class is among those that are admitted, and
// charges it if so.
func (k *ranking) due(class int) bool {
	c := &k.credit[class]
	*c = min(*c+k.part[class], maxCredit+k.part[class])
	if *c < 1 {
		return false
	}
	*c--
	return true
}

// rate estimates work per second.
type rate struct {
	last  time.Duration
	value float64
}

// add counts work.
func (r *rate) add(now time.Duration, work float64, memory time.Duration) {
	r.value = r.perSecond(now, memory) + work/memory.Seconds()
	r.last = now
}

// perSecond returns the recent work per second.
func (r *rate) perSecond(now, memory time.Duration) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp(-max(0, (now-r.last).Seconds())/memory.Seconds())
}
