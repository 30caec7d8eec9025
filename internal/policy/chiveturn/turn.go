// Package chiveturn decides in which order entry VMs take over a control duty.
package chiveturn

import (
	"cmp"
	"time"
)

// Delay is the time between the turns of two candidates: enough to acquire the lease and
// to tell the others.
const Delay = 150 * time.Millisecond

// maxPlace bounds the wait of the last candidates.
const maxPlace = 6

// Candidate is an entry VM that may take over a duty.
type Candidate struct {
	Name string
	// LinkRate is the rate of its link in Mbit/s and Cores its share of processor cores; 0
	// if they are not known.
	LinkRate, Cores float64
}

// Compare orders candidates: those with a faster link first, then those with more cores,
// then by name. A duty that sends orders to every rank of a group takes as long as the link
// of its holder needs for them.
func Compare(a, b Candidate) int {
	return cmp.Or(cmp.Compare(b.LinkRate, a.LinkRate), cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
}

// Wait returns how long after a duty has become vacant a candidate tries to take it: the
// first at once, each other one a Delay after the one before it. Candidates that all tried at
// once would all call the store, and the fastest would win instead of the most suitable.
func Wait(self Candidate, others []Candidate) time.Duration {
	place := 0
	for _, o := range others {
		if Compare(o, self) < 0 {
			place++
		}
	}
	return time.Duration(min(place, maxPlace)) * Delay
}
