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
	// movePace is the pace from which the streams at a rank go on elsewhere. All
	// ranks of its group wait for it in each pass, so that a few streams read
	// again cost less than all streams that are late.
	movePace = 2
	// maxSlow bounds the runners that get nothing because they are slow: one in so
	// many.
	maxSlow = 3
	// moveLeft is the least time that a stream must have left to be moved.
	moveLeft = time.Second
)

// A stay is the time of a request at a runner.
type stay struct {
	// reserve picks the runner at which the request would go on, or returns nil.
	reserve func() *chivefleet.Runner
	// leave ends the attempt.
	leave context.CancelFunc

	mu    sync.Mutex
	ended bool
	next  *chivefleet.Runner
}

// move has the request go on at another runner, where one has room.
func (s *stay) move() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.next != nil {
		return
	}
	if s.next = s.reserve(); s.next != nil {
		s.leave()
	}
}

// end ends the stay. It returns the runner that was reserved for the request, or
// nil.
func (s *stay) end() *chivefleet.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	return s.next
}

// enter notes a stay at a runner.
func (b *Board) enter(id string, s *stay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stays[id] == nil {
		b.stays[id] = map[*stay]bool{}
	}
	b.stays[id][s] = true
}

// exit ends a stay and the count of its request at the runner.
func (b *Board) exit(id string, s *stay) *chivefleet.Runner {
	next := s.end()
	b.mu.Lock()
	delete(b.stays[id], s)
	if len(b.stays[id]) == 0 {
		delete(b.stays, id)
	}
	b.mu.Unlock()
	b.Release(id)
	return next
}

// clear moves the streams away from runners that are much slower than others.
func (b *Board) clear(paces map[string]float64) {
	var leaving []*stay
	b.mu.Lock()
	for id, pace := range paces {
		if pace < movePace {
			continue
		}
		for s := range b.stays[id] {
			leaving = append(leaving, s)
		}
	}
	b.mu.Unlock()
	for _, s := range leaving {
		s.move()
	}
}

// verySlow reports whether a runner is one that streams leave.
func (b *Board) verySlow(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.slowFactor(id, chiveclock.Now()) >= movePace
}

// newStay returns the stay of the next attempt. It may be moved where the request
// is a stream that goes on at other runners, and the route and the retry budget
// allow one more.
func (x *exchange) newStay(runner *chivefleet.Runner, leave context.CancelFunc) *stay {
	s := &stay{leave: leave, reserve: func() *chivefleet.Runner { return nil }}
	// This attempt is counted when it is sent.
	if x.route.Kind != chivefleet.Streaming || !x.route.Resumable || x.attempts+1 >= x.route.MaxAttempts {
		return s
	}
	// The attempt goes on meanwhile, and notes its runner.
	tried := maps.Clone(x.tried)
	tried[runner.ID] = true
	s.reserve = func() *chivefleet.Runner {
		if chiveclock.Until(x.deadline) < moveLeft {
			return nil
		}
		want := x.want()
		want.Tried = tried
		next := x.relay.Board.Reserve(x.fleet.UsableRunners(x.service.Name), x.chooser(), want)
		if next == nil {
			return nil
		}
		if x.relay.Board.verySlow(next.ID) || !x.relay.Board.Retry(x.service.Name) {
			x.relay.Board.Release(next.ID)
			return nil
		}
		return next
	}
	return s
}

// want returns what the request asks of a runner.
func (x *exchange) want() Want {
	return Want{
		Service: x.service, Zone: x.relay.Zone, Tried: x.tried, Draw: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}
