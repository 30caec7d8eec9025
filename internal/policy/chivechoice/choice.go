// Package chivechoice implements the choice of a runner for a request.
package chivechoice

import "math/rand/v2"

// A Candidate is a runner that may take a request.
type Candidate struct {
	// InFlight is the number of requests that it has from all entry VMs, as far as
	// known.
	InFlight int
	// Slots is the number of requests that it runs at once.
	Slots int
	// SameZone says that it is in the zone of the entry VM.
	SameZone bool
	// Suspect says that it failed a short time ago.
	Suspect bool
	// Tried says that the request was sent to it before.
	Tried bool
}

// A Chooser weighs candidates. Its zero value uses the defaults.
//
// What is known of load is old by some hundred milliseconds, in which all entry
// VMs would send to the one runner that looks idle. So each request is weighed
// against a few candidates drawn at random, and only where none of them has room
// against all.
type Chooser struct {
	// QueueLimit is the number of requests beyond its slots that a runner may have.
	QueueLimit int
	// CrossZoneCost is what another zone weighs, in requests; 0 means 1.5.
	CrossZoneCost float64
	// SampleSize is the number of candidates drawn in the zone of the entry VM; 0 means
	// 4.
	SampleSize int
}

const (
	// The weights of candidates, in requests.
	defaultDistance = 1.5
	suspectWeight   = 1000
	triedWeight     = 5000
	// defaultSample loses little where load is known well, and herds little where
	// it is not (TestHerd).
	defaultSample = 4
	// farSample is the number of candidates drawn in other zones, of whose load less
	// is known.
	farSample = 1
)

// Choose returns the index of the best candidate, or -1 where none has room.
func (c Chooser) Choose(list []Candidate, draw *rand.Rand) int {
	sample := c.sample(list, draw)
	if i := c.best(list, sample, draw); i >= 0 {
		return i
	}
	all := make([]int, len(list))
	for i := range list {
		all[i] = i
	}
	return c.best(list, all, draw)
}

// sample draws candidates that have room and did not fail.
func (c Chooser) sample(list []Candidate, draw *rand.Rand) []int {
	size := c.SampleSize
	if size == 0 {
		size = defaultSample
	}
	var near, far []int
	for i, k := range list {
		switch {
		case !c.hasRoom(k) || k.Suspect || k.Tried:
		case k.SameZone:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	return append(some(near, size, draw), some(far, farSample, draw)...)
}

// some draws elements of a list, which it reorders.
func some(list []int, size int, draw *rand.Rand) []int {
	size = min(size, len(list))
	for i := range size {
		k := i + draw.IntN(len(list)-i)
		list[i], list[k] = list[k], list[i]
	}
	return list[:size]
}

// best returns the candidate with the least weight among those at some positions,
// one of them at random where several have it, or -1 where none has room.
func (c Chooser) best(list []Candidate, at []int, draw *rand.Rand) int {
	best, ties := -1, 0
	var least float64
	for _, i := range at {
		if !c.hasRoom(list[i]) {
			continue
		}
		w := c.weight(list[i])
		switch {
		case best < 0 || w < least:
			best, least, ties = i, w, 1
		case w == least:
			ties++
			if draw.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (c Chooser) hasRoom(k Candidate) bool {
	return k.InFlight < k.Slots+c.QueueLimit
}

func (c Chooser) weight(k Candidate) float64 {
	w := float64(k.InFlight)
	if !k.SameZone {
		w += c.distance()
	}
	if k.Suspect {
		w += suspectWeight
	}
	if k.Tried {
		w += triedWeight
	}
	return w
}

func (c Chooser) distance() float64 {
	if c.CrossZoneCost == 0 {
		return defaultDistance
	}
	return c.CrossZoneCost
}
