// Package chiveroute implements the choice of the endpoint that a request is
// sent to, from load reports that are late.
package chiveroute

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// spread is the number of endpoints that share one prompt prefix.
	spread = 2
	// spill is the utilization above that of a random endpoint at which a
	// request leaves the endpoints that hold its prefix.
	spill = 0.25
	// farCost is the utilization that an endpoint in another zone is charged.
	farCost = 0.1
	// trustTime is how long a load report is believed in full.
	trustTime = 2 * time.Second
)

// A Candidate is what a gateway knows of one endpoint.
type Candidate struct {
	// Hash identifies the endpoint in the choice by prefix.
	Hash uint64
	// Excluded says that the endpoint takes no new work or had the request before.
	Excluded bool
	// CrossZone says that the endpoint is in another availability zone.
	CrossZone bool
	// Limit is what the endpoint bears, as it last reported or by the sheet.
	Limit int
	// ReportedRequests is the number of requests at the endpoint when it last reported.
	ReportedRequests int
	// ReportTime is the time of that report.
	ReportTime time.Time
	// UnreportedRequests is the number of this gateway's requests that the endpoint has and
	// that the report does not count.
	UnreportedRequests int
	// BlockedUntil is the time until which the endpoint is passed over after it
	// refused or was unreachable.
	BlockedUntil time.Time
}

// HashEndpoint returns the Hash of the endpoint of that name.
func HashEndpoint(name string) uint64 {
	return xxh3.HashString(name)
}

// HashPrefix returns the hash of a prompt prefix of a workspace.
func HashPrefix(workspace, prefix string) uint64 {
	return xxh3.HashStringSeed(prefix, xxh3.HashString(workspace))
}

// A Source gives random numbers, as *rand.Rand does.
type Source interface {
	Uint64() uint64
}

// Pick returns the position in views of the endpoint for a request, or -1
// where none may be used. Views holds the endpoints that serve the request.
// Pick does not allocate.
//
// Of the endpoints that hold the prompt's prefix by rendezvous hashing the less
// utilized one is chosen, unless the less utilized of two random ones is better
// by the spill.
func Pick(views []Candidate, prefix uint64, now time.Time, source Source) int {
	home := pickHome(views, prefix, now)
	other := pickRandom(views, now, source)
	if home < 0 || other < 0 {
		return max(home, other)
	}
	if views[home].utilization(now) > views[other].utilization(now)+spill {
		return other
	}
	return home
}

// usable reports whether the endpoint may be sent a request.
func (v *Candidate) usable(now time.Time) bool {
	return !v.Excluded && !now.Before(v.BlockedUntil)
}

// pickHome returns the less utilized of the endpoints that hold the prefix.
func pickHome(views []Candidate, prefix uint64, now time.Time) int {
	var best [spread]int
	var score [spread]uint64
	n := 0
	for i := range views {
		if !views[i].usable(now) {
			continue
		}
		h := mix(views[i].Hash ^ prefix)
		j := n
		for j > 0 && h > score[j-1] {
			if j < spread {
				best[j], score[j] = best[j-1], score[j-1]
			}
			j--
		}
		if j < spread {
			best[j], score[j] = i, h
			n = min(n+1, spread)
		}
	}
	if n == 0 {
		return -1
	}
	home := best[0]
	for _, i := range best[1:n] {
		if views[i].utilization(now) < views[home].utilization(now)-spill {
			home = i
		}
	}
	return home
}

// pickRandom returns the less utilized of two random endpoints.
func pickRandom(views []Candidate, now time.Time, source Source) int {
	best := -1
	for range 2 {
		i := probe(views, now, source.Uint64())
		if i < 0 {
			return best
		}
		if best < 0 || views[i].utilization(now) < views[best].utilization(now) {
			best = i
		}
	}
	return best
}

// probe returns the first usable endpoint from a random place on.
func probe(views []Candidate, now time.Time, random uint64) int {
	n := len(views)
	if n == 0 {
		return -1
	}
	first := int(random % uint64(n))
	for k := range n {
		i := (first + k) % n
		if views[i].usable(now) {
			return i
		}
	}
	return -1
}

// utilization estimates the endpoint's requests in relation to its limit. A
// report loses weight with its age.
func (v *Candidate) utilization(now time.Time) float64 {
	limit := float64(max(v.Limit, 1))
	reported := float64(v.ReportedRequests)
	if age := now.Sub(v.ReportTime); age > trustTime {
		reported *= float64(trustTime) / float64(age)
	}
	u := (reported + float64(v.UnreportedRequests)) / limit
	if v.CrossZone {
		u += farCost
	}
	return u
}

// mix is the finalizer of a 64-bit hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
