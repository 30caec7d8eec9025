package chiverelay

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivecap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// RateCaps keeps the requests of all entry VMs to a runner within the rate that it names in
// its answers. The zero value knows of no rate. It is safe for concurrent use.
type RateCaps struct {
	// known is set while the ledger holds facts, so that requests need not look into it
	// otherwise.
	known  atomic.Bool
	mu     sync.Mutex
	ledger chivecap.Ledger
}

// SetSenders sets the entry VMs that share the rates, and which of them this one is.
func (c *RateCaps) SetSenders(self string, senders []chivecap.Sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.SetSenders(self, senders)
}

// noteRate records the rate that a runner names in an answer, nil if it names none. It
// reports whether that differs from before.
func (c *RateCaps) noteRate(i chivefleet.Incarnation, rate *float64) bool {
	if rate == nil && !c.known.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.Store(true)
	return c.ledger.SetRate(runnerName(i), rate, moment())
}

// allows reports whether this entry VM may send a request to a runner.
func (c *RateCaps) allows(r *chivefleet.Runner) bool {
	if !c.known.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Allow(runnerName(r.Incarnation()), r.Zone, moment())
}

// take counts a request to a runner.
func (c *RateCaps) take(r *chivefleet.Runner) {
	if !c.known.Load() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.Take(runnerName(r.Incarnation()))
}

// Facts returns what other entry VMs are to be told.
func (c *RateCaps) Facts() []chivecap.Fact {
	c.mu.Lock()
	defer c.mu.Unlock()
	facts := c.ledger.Facts(moment())
	c.known.Store(len(facts) > 0)
	return facts
}

// Merge adds the facts that another entry VM stated the given time ago.
func (c *RateCaps) Merge(facts []chivecap.Fact, delay time.Duration) {
	if len(facts) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known.Store(true)
	c.ledger.Merge(facts, delay, moment())
}

// Count returns the number of runners that name a rate.
func (c *RateCaps) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Count(moment())
}
