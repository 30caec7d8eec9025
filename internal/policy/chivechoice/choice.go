// Package chivechoice chooses the runner that a request is sent to.
package chivechoice

import "math/rand/v2"

// Candidate is a runner that may be chosen for a request.
type Candidate struct {
	// InFlight is the number of requests at the runner, sent by any entry VM.
	// Counts of other entry VMs are as last reported.
	InFlight int
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
	// SampleSize is the number of candidates drawn in the zone of the entry VM; 0
	// means 4.
	SampleSize int
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
	sample := c.sampleCandidates(list, draw)
	if i := c.lowestCost(list, sample, draw); i >= 0 {
		return i
	}
	all := make([]int, len(list))
	for i := range list {
		all[i] = i
	}
	return c.lowestCost(list, all, draw)
}

// sampleCandidates draws the indices of candidates that have capacity, did not
// fail recently and did not have the request before.
func (c Chooser) sampleCandidates(list []Candidate, draw *rand.Rand) []int {
	size := c.SampleSize
	if size == 0 {
		size = defaultSampleSize
	}
	var sameZone, otherZones []int
	for i, k := range list {
		switch {
		case !c.hasCapacity(k) || k.Suspect || k.Tried:
		case k.SameZone:
			sameZone = append(sameZone, i)
		default:
			otherZones = append(otherZones, i)
		}
	}
	return append(drawSample(sameZone, size, draw), drawSample(otherZones, crossZoneSampleSize, draw)...)
}

// drawSample draws up to size elements of the list without replacement. It
// reorders the list.
func drawSample(list []int, size int, draw *rand.Rand) []int {
	size = min(size, len(list))
	for i := range size {
		k := i + draw.IntN(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:size]
}

// lowestCost returns the index with the lowest cost among the given indices of
// candidates, or -1 if none has capacity. Ties are broken at random.
func (c Chooser) lowestCost(list []Candidate, indices []int, draw *rand.Rand) int {
	best, ties := -1, 0
	var lowest float64
	for _, i := range indices {
		if !c.hasCapacity(list[i]) {
			continue
		}
		cost := c.cost(list[i])
		switch {
		case best < 0 || cost < lowest:
			best, lowest, ties = i, cost, 1
		case cost == lowest:
			ties++
			if draw.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (c Chooser) hasCapacity(k Candidate) bool {
	return k.InFlight < k.Slots+c.QueueLimit
}

// cost returns the cost of sending a request to the candidate, in requests.
func (c Chooser) cost(k Candidate) float64 {
	cost := float64(k.InFlight)
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
