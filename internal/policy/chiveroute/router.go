// Package chiveroute chooses the endpoint for a request. It weighs prefix cache
// affinity against utilization, which it estimates from delayed load reports.
package chiveroute

import (
	"time"

	"github.com/zeebo/xxh3"
)

const (
	// prefixEndpoints is the number of endpoints that share one prompt prefix.
	prefixEndpoints = 2
	// spillMargin is the difference in utilization above which a request goes to
	// the less utilized endpoint, though another one is preferred for its prefix.
	spillMargin = 0.25
	// crossZonePenalty is added to the utilization of an endpoint in another
	// availability zone.
	crossZonePenalty = 0.1
	// reportTrustTime is the age up to which a load report counts in full.
	reportTrustTime = 2 * time.Second
)

// Candidate is the state of an endpoint as known to a gateway.
type Candidate struct {
	// Hash is the hash of the endpoint's name, as returned by HashEndpoint.
	Hash uint64
	// Excluded is set if the endpoint accepts no new work or was already tried for
	// the request.
	Excluded bool
	// CrossZone is set if the endpoint is in another availability zone.
	CrossZone bool
	// Limit is the number of concurrent requests that the endpoint accepts, as
	// last reported or, before any report, as configured.
	Limit int
	// ReportedRequests is the number of requests at the endpoint, running or
	// waiting, as last reported.
	ReportedRequests int
	// ReportTime is the time of the last report.
	ReportTime time.Time
	// UnreportedRequests is the number of this gateway's requests at the endpoint
	// that the last report doesn't include.
	UnreportedRequests int
	// BlockedUntil is the time until which the endpoint is skipped because it
	// refused a request or was unreachable.
	BlockedUntil time.Time
}

// HashEndpoint returns the hash of an endpoint's name, for Candidate.Hash.
func HashEndpoint(name string) uint64 {
	return xxh3.HashString(name)
}

// HashPrefix returns the hash of a prompt prefix, for Pick. Equal prefixes of
// different workspaces have different hashes.
func HashPrefix(workspace, prefix string) uint64 {
	return xxh3.HashStringSeed(prefix, xxh3.HashString(workspace))
}

// Source generates random numbers. It is implemented by *rand.Rand.
type Source interface {
	// Uint64 returns a uniformly distributed random number.
	Uint64() uint64
}

// Pick returns the index of the endpoint for a request, or -1 if no candidate is
// usable. Candidates are the endpoints that serve the requested service. Pick
// does not allocate.
//
// Rendezvous hashing selects the endpoints that are likely to have the prompt's
// prefix cached. Pick prefers the one with the highest score, unless the utilization
// of another is lower by more than spillMargin. If the less utilized of two random
// endpoints is in turn below the preferred one by more than spillMargin, Pick returns
// that one.
func Pick(candidates []Candidate, prefix uint64, now time.Time, source Source) int {
	preferred := pickByPrefix(candidates, prefix, now)
	other := pickRandom(candidates, now, source)
	if preferred < 0 || other < 0 {
		return max(preferred, other)
	}
	if candidates[preferred].utilization(now) > candidates[other].utilization(now)+spillMargin {
		return other
	}
	return preferred
}

// usable reports whether a request may be sent to the endpoint.
func (c *Candidate) usable(now time.Time) bool {
	return !c.Excluded && !now.Before(c.BlockedUntil)
}

// pickByPrefix returns the usable endpoint with the highest rendezvous score for
// the prefix, or the one with the second highest if its utilization is lower by
// more than spillMargin. It returns -1 if no endpoint is usable.
func pickByPrefix(candidates []Candidate, prefix uint64, now time.Time) int {
	var best [prefixEndpoints]int
	var scores [prefixEndpoints]uint64
	n := 0
	for i := range candidates {
		if !candidates[i].usable(now) {
			continue
		}
		score := mix64(candidates[i].Hash ^ prefix)
		j := n
		for j > 0 && score > scores[j-1] {
			if j < prefixEndpoints {
				best[j], scores[j] = best[j-1], scores[j-1]
			}
			j--
		}
		if j < prefixEndpoints {
			best[j], scores[j] = i, score
			n = min(n+1, prefixEndpoints)
		}
	}
	if n == 0 {
		return -1
	}
	preferred := best[0]
	for _, i := range best[1:n] {
		if candidates[i].utilization(now) < candidates[preferred].utilization(now)-spillMargin {
			preferred = i
		}
	}
	return preferred
}

// pickRandom returns the less utilized of two random usable endpoints, or -1 if
// none is usable.
func pickRandom(candidates []Candidate, now time.Time, source Source) int {
	best := -1
	for range 2 {
		i := firstUsable(candidates, now, source.Uint64())
		if i < 0 {
			return best
		}
		if best < 0 || candidates[i].utilization(now) < candidates[best].utilization(now) {
			best = i
		}
	}
	return best
}

// firstUsable returns the index of the first usable endpoint, searching
// circularly from a random index, or -1 if none is usable.
func firstUsable(candidates []Candidate, now time.Time, random uint64) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	first := int(random % uint64(n))
	for k := range n {
		i := (first + k) % n
		if candidates[i].usable(now) {
			return i
		}
	}
	return -1
}

// utilization estimates the number of requests at the endpoint divided by its
// limit, plus the penalty for another availability zone. A report older than
// reportTrustTime loses weight in inverse proportion to its age.
func (c *Candidate) utilization(now time.Time) float64 {
	limit := float64(max(c.Limit, 1))
	reported := float64(c.ReportedRequests)
	if age := now.Sub(c.ReportTime); age > reportTrustTime {
		reported *= float64(reportTrustTime) / float64(age)
	}
	u := (reported + float64(c.UnreportedRequests)) / limit
	if c.CrossZone {
		u += crossZonePenalty
	}
	return u
}

// mix64 is the 64-bit finalizer of MurmurHash3.
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
