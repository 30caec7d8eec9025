package chivestandin

import (
	"context"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// group simulates the ranks of a group, which run in lockstep: no rank makes a step
// while one of them is held.
type group struct {
	name     string
	stepTime time.Duration
	weights  *weightStore

	mu       sync.Mutex
	engines  []*engine
	counters GroupReport
}

func newGroup(name string, step time.Duration, w *weightStore) *group {
	return &group{name: name, stepTime: step, weights: w}
}

// add adds the engine of an endpoint to the group.
func (g *group) add(endpoint chivesheet.Endpoint) *engine {
	e := &engine{group: g, sheet: endpoint}
	e.restart()
	g.engines = append(g.engines, e)
	return e
}

// run makes steps until the context ends.
func (g *group) run(ctx context.Context) {
	ticker := time.NewTicker(g.stepTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.advance()
		}
	}
}

// advance makes one step of all ranks, unless one of them is held.
func (g *group) advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		if e.held {
			g.counters.HeldSteps++
			return
		}
	}
	g.counters.Steps++
	for _, e := range g.engines {
		if e.mapDigest != g.engines[0].mapDigest {
			g.counters.MismatchedSteps++
			break
		}
	}
	for _, e := range g.engines {
		e.advance()
	}
}

func (g *group) report() GroupReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counters
}
