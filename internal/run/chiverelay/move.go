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
	// migrationSlowdown is the pace from which the streams at a rank go on elsewhere. All
	// ranks of its group wait for it in each pass, so that a few streams read
	// again cost less than all streams that are late.
	migrationSlowdown = 2
	// minRunnersPerSlow bounds the runners that get nothing because they are slow: one in so
	// many.
	minRunnersPerSlow = 3
	// minMigrationTime is the least time that a stream must have left to be moved.
	minMigrationTime = time.Second
)

// A inflightAttempt is the time of a request at a runner.
type inflightAttempt struct {
	// reserveNext picks the runner at which the request would go on, or returns nil.
	reserveNext func() *chivefleet.Runner
	// cancel ends the attempt.
	cancel context.CancelFunc

	mu    sync.Mutex
	ended bool
	next  *chivefleet.Runner
}

// migrate has the request go on at another runner, where one has room.
func (s *inflightAttempt) migrate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.next != nil {
		return
	}
	if s.next = s.reserveNext(); s.next != nil {
		s.cancel()
	}
}

// finish ends the stay. It returns the runner that was reserved for the request, or
// nil.
func (s *inflightAttempt) finish() *chivefleet.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.next
}

// addInflight notes a stay at a runner.
func (b *RunnerState) addInflight(id string, s *inflightAttempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inflight[id] == nil {
		b.inflight[id] = map[*inflightAttempt]bool{}
	}
	b.inflight[id][s] = true
}

// removeInflight ends a stay and the count of its request at the runner.
func (b *RunnerState) removeInflight(id string, s *inflightAttempt) *chivefleet.Runner {
	next := s.finish()
	b.mu.Lock()
	delete(b.inflight[id], s)
	if len(b.inflight[id]) == 0 {
		delete(b.inflight, id)
	}
	b.mu.Unlock()
	b.Release(id)
	return next
}

// migrateStreams moves the streams away from runners that are much slower than others.
func (b *RunnerState) migrateStreams(paces map[string]float64) {
	var leaving []*inflightAttempt
	b.mu.Lock()
	for id, pace := range paces {
		if pace < migrationSlowdown {
			continue
		}
		for s := range b.inflight[id] {
			leaving = append(leaving, s)
		}
	}
	b.mu.Unlock()
	for _, s := range leaving {
		s.migrate()
	}
}

// verySlow reports whether a runner is one that streams leave.
func (b *RunnerState) verySlow(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowdown(id, chiveclock.Now()) >= migrationSlowdown
}

// newInflightAttempt returns the stay of the next attempt. It may be moved where the request
// is a stream that goes on at other runners, and the route and the retry budget
// allow one more.
func (x *exchange) newInflightAttempt(runner *chivefleet.Runner, leave context.CancelFunc) *inflightAttempt {
	s := &inflightAttempt{cancel: leave, reserveNext: func() *chivefleet.Runner { return nil }}
	// This attempt is counted when it is sent.
	if x.route.Kind != chivefleet.Streaming || !x.route.Resumable || x.attempts+1 >= x.route.MaxAttempts {
		return s
	}
	// The attempt goes on meanwhile, and notes its runner.
	tried := maps.Clone(x.tried)
	tried[runner.ID] = true
	s.reserveNext = func() *chivefleet.Runner {
		if chiveclock.Until(x.deadline) < minMigrationTime {
			return nil
		}
		want := x.reserveOptions()
		want.Tried = tried
		next := x.relay.State.Reserve(x.fleet.UsableRunners(x.service.Name), x.chooser(), want)
		if next == nil {
			return nil
		}
		if x.relay.State.verySlow(next.ID) || !x.relay.State.TakeRetry(x.service.Name) {
			x.relay.State.Release(next.ID)
			return nil
		}
		return next
	}
	return s
}

// reserveOptions returns what the request asks of a runner.
func (x *exchange) reserveOptions() ReserveOptions {
	return ReserveOptions{
		Service: x.service, Zone: x.relay.Zone, Tried: x.tried, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
