package chiverelay

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// migrationSlowdown is the slowdown from which streams at a rank are migrated
	// to other runners. All ranks of a group wait for the slowest one in each
	// forward pass, so that repeating the prompts of a few streams costs less than
	// delaying all streams of the group.
	migrationSlowdown = 2
	// minRunnersPerSlow limits the exclusion of very slow runners: they are
	// excluded only if they are at most one in minRunnersPerSlow.
	minRunnersPerSlow = 3
	// minMigrationTime is the shortest time until its deadline at which a stream
	// is still migrated.
	minMigrationTime = time.Second
)

// inflightAttempt is an attempt of a request at a runner that may be migrated to
// another runner.
type inflightAttempt struct {
	// reserveNext reserves the runner to which the request migrates, or returns
	// nil if it cannot be migrated.
	reserveNext func() *chivefleet.Runner
	// cancel aborts the attempt.
	cancel context.CancelFunc
	// left is the work that is left of the request, 0 if it is not estimated.
	left workLeft
	// startedAt is when the attempt began.
	startedAt chiveclock.Moment

	mu    sync.Mutex
	ended bool
	// next is the runner that is reserved for the request, or nil.
	next *chivefleet.Runner
}

// migrate reserves another runner for the request and cancels the attempt. It
// does nothing if the attempt has ended, is being migrated or no runner can be
// reserved.
func (a *inflightAttempt) migrate() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.next != nil {
		return
	}
	if a.next = a.reserveNext(); a.next != nil {
		a.cancel()
	}
}

// finish marks the attempt as ended, so that it is no longer migrated. It returns
// the runner that was reserved for the request, or nil.
func (a *inflightAttempt) finish() *chivefleet.Runner {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.next
}

// addInflight registers an attempt at a runner.
func (rs *RunnerState) addInflight(id string, a *inflightAttempt) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.inflight[id] == nil {
		rs.inflight[id] = map[*inflightAttempt]bool{}
	}
	rs.inflight[id][a] = true
}

// removeInflight ends an attempt and releases its runner. It returns the runner to
// which the request migrates, or nil.
func (rs *RunnerState) removeInflight(id string, a *inflightAttempt) *chivefleet.Runner {
	next := a.finish()
	rs.mu.Lock()
	delete(rs.inflight[id], a)
	if len(rs.inflight[id]) == 0 {
		delete(rs.inflight, id)
	}
	rs.mu.Unlock()
	rs.Release(id)
	return next
}

// migrateStreams migrates streams away from the runners whose slowdown reaches
// migrationSlowdown.
func (rs *RunnerState) migrateStreams(slowdowns map[string]float64) {
	var attempts []*inflightAttempt
	rs.mu.Lock()
	for id, slowdown := range slowdowns {
		if slowdown < migrationSlowdown {
			continue
		}
		for a := range rs.inflight[id] {
			attempts = append(attempts, a)
		}
	}
	rs.mu.Unlock()
	for _, a := range attempts {
		a.migrate()
	}
}

// verySlow reports whether the slowdown of a runner reaches migrationSlowdown.
func (rs *RunnerState) verySlow(id string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.slowdown(id, chiveclock.Now()) >= migrationSlowdown
}

// newInflightAttempt returns the next attempt of the request, at a runner. It can
// be migrated if the request is a resumable stream and both the route and the retry
// budget allow another attempt.
func (x *exchange) newInflightAttempt(runner *chivefleet.Runner, cancel context.CancelFunc) *inflightAttempt {
	a := &inflightAttempt{startedAt: chiveclock.Now(), cancel: cancel, reserveNext: func() *chivefleet.Runner { return nil }}
	// x.attempts does not include this attempt until it is sent.
	if x.route.Kind != chivefleet.Streaming || !x.route.Resumable || x.attempts+1 >= x.route.MaxAttempts {
		return a
	}
	// reserveNext runs while the attempt may modify x.tried, so it uses a copy.
	tried := maps.Clone(x.tried)
	tried[runner.ID] = true
	a.reserveNext = func() *chivefleet.Runner {
		if chiveclock.Until(x.deadline) < minMigrationTime {
			return nil
		}
		options := x.reserveOptions()
		options.Tried, options.Choice = tried, nil
		next := x.relay.State.Reserve(x.fleet.UsableRunners(x.service.Name), x.chooser(), options)
		if next == nil {
			return nil
		}
		if x.relay.State.verySlow(next.ID) || !x.relay.State.TakeRetry(x.service.Name) {
			x.relay.State.Release(next.ID)
			return nil
		}
		return next
	}
	return a
}

// reserveOptions returns the options with which a runner is reserved for the
// request.
func (x *exchange) reserveOptions() ReserveOptions {
	return ReserveOptions{
		Service: x.service, Zone: x.relay.Zone, Tried: x.tried, Rates: &x.relay.Rates, Choice: &x.choice, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
