package chiverelay

import (
	"maps"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// peerLoadMaxAge is the age from which load reports of peers are ignored.
const peerLoadMaxAge = 2500 * time.Millisecond

// loadBook counts the requests in flight at each runner: those of this entry VM and those
// that other entry VMs and zones have reported. It is not safe for concurrent use.
type loadBook struct {
	// local is keyed by runner ID, peers by the source of the report.
	local map[string]int
	peers map[string]peerLoad
}

// peerLoad holds the number of requests that another entry VM or availability zone
// has in flight at each runner, by runner ID.
type peerLoad struct {
	receivedAt chiveclock.Moment
	inFlight   map[string]int
	// work is the work left of these requests, in usual requests, by runner ID; nil if the
	// source does not report it.
	work map[string]float64
}

func newLoadBook() loadBook {
	return loadBook{local: map[string]int{}, peers: map[string]peerLoad{}}
}

// setPeer replaces the load that a source reported.
func (b *loadBook) setPeer(source string, inFlight map[string]int, work map[string]float64, now chiveclock.Moment) {
	b.peers[source] = peerLoad{receivedAt: now, inFlight: inFlight, work: work}
}

// reserve counts one more local request at a runner.
func (b *loadBook) reserve(id string) {
	b.local[id]++
}

// release counts one local request less at a runner.
func (b *loadBook) release(id string) {
	if b.local[id]--; b.local[id] <= 0 {
		delete(b.local, id)
	}
}

// locals returns a copy of the local requests by runner ID.
func (b *loadBook) locals() map[string]int {
	return maps.Clone(b.local)
}

// total returns the number of requests that all entry VMs have in flight at a runner.
func (b *loadBook) total(id string, now chiveclock.Moment) int {
	n := b.local[id]
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) < peerLoadMaxAge {
			n += p.inFlight[id]
		}
	}
	return n
}

// peerWork returns the work that other entry VMs have left at a runner. Each request of those
// that do not report it counts as a usual one.
func (b *loadBook) peerWork(id string, now chiveclock.Moment) float64 {
	work := 0.0
	for _, p := range b.peers {
		switch {
		case now.Sub(p.receivedAt) >= peerLoadMaxAge:
		case p.work != nil:
			work += p.work[id]
		default:
			work += float64(p.inFlight[id])
		}
	}
	return work
}

// prune drops outdated reports.
func (b *loadBook) prune(now chiveclock.Moment) {
	for source, p := range b.peers {
		if now.Sub(p.receivedAt) > peerLoadMaxAge {
			delete(b.peers, source)
		}
	}
}
