package chivestandin

import (
	"context"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// group plays ranks that run in lock-step on an expert map: no rank steps while
// one is held.
type group struct {
	name    string
	step    time.Duration
	weights *weights

	mu      sync.Mutex
	engines []*engine
	count   GroupReport
}

func newGroup(name string, step time.Duration, w *weights) *group {
	return &group{name: name, step: step, weights: w}
}

func (g *group) add(e chivesheet.Endpoint) *engine {
	en := &engine{group: g, sheet: e}
	en.reset()
	g.engines = append(g.engines, en)
	return en
}

// run steps until the context ends.
func (g *group) run(ctx context.Context) {
	tick := time.NewTicker(g.step)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.advance()
		}
	}
}

// advance makes one step of all ranks, unless one is held.
func (g *group) advance() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		if e.held {
			g.count.HeldSteps++
			return
		}
	}
	g.count.Steps++
	for _, e := range g.engines {
		if e.expertMap != g.engines[0].expertMap {
			g.count.MismatchedSteps++
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
	return g.count
}
