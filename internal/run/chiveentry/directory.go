package chiveentry

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// minSameZone is the number of entry VMs in the caller's zone below which callers
// are sent to other zones, too.
const minSameZone = 2

// maxAddresses is the number of addresses that callers read.
const maxAddresses = 64

// directoryCandidate is an entry VM that a caller may be sent to.
type directoryCandidate struct {
	entry chivefleet.Entry
	fresh bool
}

// addresses returns where the callers of a zone should connect: to entry VMs
// that are alive and up to date, near ones first.
func addresses(self chivefleet.Entry, leaving bool, fleet *chivefleet.Fleet, peers []chivemesh.Peer, zone string, maxAge time.Duration) []string {
	now := chiveclock.Now()
	var places []directoryCandidate
	if !leaving {
		places = append(places, directoryCandidate{entry: self, fresh: fleet.IsConfigFresh(now, maxAge)})
	}
	for _, p := range peers {
		if p.Leaving {
			continue
		}
		places = append(places, directoryCandidate{entry: p.Entry, fresh: p.ConfigConfirmedAt != 0 && now.Sub(p.ConfigConfirmedAt) < maxAge})
	}
	places = filter(places, func(p directoryCandidate) bool { return p.fresh }, 1)
	places = filter(places, func(p directoryCandidate) bool { return p.entry.Zone == zone }, minSameZone)
	list := make([]string, 0, len(places))
	for _, p := range places[:min(len(places), maxAddresses)] {
		list = append(list, p.entry.CallerAddr)
	}
	return list
}

// filter returns the places that are kept, or all where fewer than least are.
func filter(places []directoryCandidate, keep func(directoryCandidate) bool, least int) []directoryCandidate {
	var kept []directoryCandidate
	for _, p := range places {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	if len(kept) < least {
		return places
	}
	return kept
}
