// Package chivechoice chooses the runner that a request is sent to.
package chivechoice

import "math/rand/v2"

// Candidate is a runner that may be chosen for a request.
type Candidate struct {
	// InFlight is the number of requests at the runner, sent by any entry VM.
	// Counts of other entry VMs are as last reported.
	InFlight int
	// Work is the work left of these requests, in usual requests. It matters only to a
	// Chooser with a WorkWeight.
	Work float64
	// Slots is the number of requests that the runner executes concurrently.
	Slots int
	// SameZone reports whether the runner is in the zone of the entry VM.
	SameZone bool
	// Suspect reports whether the runner failed recently.
	Suspect bool
	// Tried reports whether the request was already sent to the runner.
	Tried bool
}

// Chooser chooses the candidate with the lowest cost. The zero value uses the
// defaults.
//
// Load reports are some hundred milliseconds old. If every entry VM considered
// all runners, all would send to the one that looks idle until the next report
// (herding). A Chooser therefore compares a few candidates drawn at random, and
// all of them only if none of those has capacity.
type Chooser struct {
	// QueueLimit is the number of requests beyond its slots that a runner may
	// have.
	QueueLimit int
	// CrossZoneCost is the cost of a candidate in another zone, in requests; 0
	// means 1.5.
	CrossZoneCost float64
	// SampleSize is the number of candidates drawn in the zone of the entry VM, at most
	// all; 0 means 4.
	SampleSize int
	// WorkWeight is the weight, from 0 to 1, of the work left at a candidate against the number
	// of its requests.
	WorkWeight float64
}

const (
	// Costs of candidates, in requests.
	defaultCrossZoneCost = 1.5
	suspectCost          = 1000
	triedCost            = 5000
	// defaultSampleSize comes close to the least loaded runner where reports are
	// fresh and causes little herding where they are stale
	// (TestHerdingOnStaleReports).
	defaultSampleSize = 4
	// crossZoneSampleSize is the number of candidates drawn in other zones, whose
	// load reports are older.
	crossZoneSampleSize = 1
)

// Choose returns the index of the candidate with the lowest cost, or -1 if none
// has capacity.
func (c Chooser) Choose(list []Candidate, draw *rand.Rand) int {
	var buffer [defaultSampleSize + crossZoneSampleSize]int
	best := lowest{index: -1}
	for _, i := range c.sampleCandidates(buffer[:0], list, draw) {
		best.add(i, c.cost(list[i]), draw)
	}
	if best.index >= 0 {
		return best.index
	}
	for i := range list {
		if c.hasCapacity(list[i]) {
			best.add(i, c.cost(list[i]), draw)
		}
	}
	return best.index
}

// sampleCandidates appends the indices of candidates, drawn at random, that have capacity,
// did not fail recently and did not have the request before.
func (c Chooser) sampleCandidates(sample []int, list []Candidate, draw *rand.Rand) []int {
	size := c.SampleSize
	if size == 0 {
		size = defaultSampleSize
	}
	sameZone, otherZones, other := 0, 0, 0
	for i := range list {
		k := &list[i]
		switch {
		case !c.hasCapacity(*k) || k.Suspect || k.Tried:
		case k.SameZone:
			sameZone++
			if len(sample) < size {
				sample = append(sample, i)
			} else if j := draw.IntN(sameZone); j < size {
				sample[j] = i
			}
		default:
			otherZones++
			if draw.IntN(otherZones) < crossZoneSampleSize {
				other = i
			}
		}
	}
	if otherZones > 0 {
		sample = append(sample, other)
	}
	return sample
}

// lowest is the index of the candidate with the lowest cost so far, or -1.
type lowest struct {
	index, ties int
	cost        float64
}

// add compares a candidate with the lowest one. Ties are broken at random.
func (l *lowest) add(i int, cost float64, draw *rand.Rand) {
	switch {
	case l.index < 0 || cost < l.cost:
		*l = lowest{index: i, ties: 1, cost: cost}
	case cost == l.cost:
		l.ties++
		if draw.IntN(l.ties) == 0 {
			l.index = i
		}
	}
}

func (c Chooser) hasCapacity(k Candidate) bool {
	return k.InFlight < k.Slots+c.QueueLimit
}

// cost returns the cost of sending a request to the candidate, in requests.
func (c Chooser) cost(k Candidate) float64 {
	cost := float64(k.InFlight)
	if c.WorkWeight > 0 {
		cost = c.WorkWeight*k.Work + (1-c.WorkWeight)*cost
	}
	if !k.SameZone {
		cost += c.crossZoneCost()
	}
	if k.Suspect {
		cost += suspectCost
	}
	if k.Tried {
		cost += triedCost
	}
	return cost
}

func (c Chooser) crossZoneCost() float64 {
	if c.CrossZoneCost == 0 {
		return defaultCrossZoneCost
	}
	return c.CrossZoneCost
}
