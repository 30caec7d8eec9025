package chiveentry

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// minSameZone is the number of entry VMs in the caller's zone below which those of
// other zones are listed as well.
const minSameZone = 2

// maxAddresses is the largest number of addresses that callers read from a directory
// response.
const maxAddresses = 64

// directoryCandidate is an entry VM that the directory may list.
type directoryCandidate struct {
	entry chivefleet.Entry
	// fresh reports whether its configuration is fresh.
	fresh bool
}

// addresses returns the addresses to which callers in a zone should connect. It lists
// entry VMs that are not leaving, restricted to those with a fresh configuration if
// there are any, and to those in the zone if there are at least minSameZone.
func addresses(self chivefleet.Entry, leaving bool, fleet *chivefleet.Fleet, peers []chivemesh.Peer, zone string, maxAge time.Duration) []string {
	now := chiveclock.Now()
	var candidates []directoryCandidate
	if !leaving {
		candidates = append(candidates, directoryCandidate{entry: self, fresh: fleet.IsConfigFresh(now, maxAge)})
	}
	for _, p := range peers {
		if p.Leaving {
			continue
		}
		candidates = append(candidates, directoryCandidate{entry: p.Entry, fresh: p.ConfigConfirmedAt != 0 && now.Sub(p.ConfigConfirmedAt) < maxAge})
	}
	candidates = filter(candidates, func(c directoryCandidate) bool { return c.fresh }, 1)
	candidates = filter(candidates, func(c directoryCandidate) bool { return c.entry.Zone == zone }, minSameZone)
	list := make([]string, 0, len(candidates))
	for _, c := range candidates[:min(len(candidates), maxAddresses)] {
		list = append(list, c.entry.CallerAddr)
	}
	return list
}

// filter returns the candidates for which keep returns true, or all candidates if
// these are fewer than minKept.
func filter(candidates []directoryCandidate, keep func(directoryCandidate) bool, minKept int) []directoryCandidate {
	var kept []directoryCandidate
	for _, c := range candidates {
		if keep(c) {
			kept = append(kept, c)
		}
	}
	if len(kept) < minKept {
		return candidates
	}
	return kept
}
