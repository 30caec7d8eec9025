package chivebalance

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

const (
	ranks   = 6
	experts = 12
	places  = 4
)

// group6 is a group of six ranks in three zones whose requests want a few experts
// much more than others.
type group6 struct {
	mu      sync.Mutex
	pass    int64
	version int64
	layout  [][][]int
	next    map[int]chiverank.Order
	armed   map[int]chiverank.Order
	held    int64
	counts  [ranks][]int64
	// serving tells which ranks get requests, slow which are slow.
	serving [ranks]bool
	slow    map[int]float64
	loads   []int64
	orders  int
}

func newGroup6() *group6 {
	g := &group6{next: map[int]chiverank.Order{}, armed: map[int]chiverank.Order{}, held: -1, slow: map[int]float64{}}
	for k := range ranks {
		g.counts[k], g.serving[k] = make([]int64, experts), true
	}
	for e := range experts {
		g.loads = append(g.loads, int64(100/(e+1)/(e+1)+2))
	}
	return g
}

// run begins passes until the context ends.
func (g *group6) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		g.mu.Lock()
		if g.held != g.pass+1 {
			g.pass++
			g.begin()
		}
		g.mu.Unlock()
	}
}

func (g *group6) begin() {
	if o, ok := g.armed[0]; ok && o.Pass == g.pass {
		g.version, g.layout, g.armed = o.Version, g.next[0].Map, map[int]chiverank.Order{}
	}
	for k := range ranks {
		for e := range experts {
			if g.serving[k] {
				g.counts[k][e] += g.loads[e]
			}
		}
	}
}

func (g *group6) Order(_ context.Context, m chiverank.Member, o chiverank.Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders++
	switch o.Op {
	case chiverank.Prepare:
		g.next[m.Rank] = o
	case chiverank.Arm:
		if o.Pass <= g.pass {
			return chiverank.ErrConflict
		}
		g.armed[m.Rank] = o
	case chiverank.Hold:
		if o.Pass <= g.pass {
			return chiverank.ErrConflict
		}
		g.held = o.Pass
	case chiverank.Go:
		g.held = -1
	case chiverank.Disarm:
		delete(g.armed, m.Rank)
	}
	return nil
}

func (g *group6) Report(_ context.Context, m chiverank.Member) (chiverank.Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	pace := max(1, g.slow[m.Rank])
	return chiverank.Report{
		Epoch: 1, Rank: m.Rank, Open: true, Pass: g.pass, Map: g.version, Prepared: g.next[m.Rank].Version,
		Armed: g.armed[m.Rank].Version, Held: g.held, Pace: pace,
	}, nil
}

func (g *group6) Counts(_ context.Context, m chiverank.Member) (chiverank.ExpertCounts, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return chiverank.ExpertCounts{Epoch: 1, Chosen: append([]int64(nil), g.counts[m.Rank]...)}, nil
}

func (g *group6) Experts(context.Context, chiverank.Member) (chiverank.HeldExperts, error) {
	return chiverank.HeldExperts{}, fmt.Errorf("not read in these tests")
}

// load returns the skew under the map in use.
func (g *group6) load() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := chivemap.InTurn(ranks, places, experts, 1)
	if g.layout != nil {
		m = chivemap.Blank(ranks, places, experts, 1)
		for k, list := range g.layout[0] {
			for i, e := range list {
				m.Layers[0][k*places+i] = uint16(e)
			}
		}
	}
	var loads []float64
	for _, l := range g.loads {
		loads = append(loads, float64(l))
	}
	return m.Skew(0, loads)
}

func fleet() *chivefleet.Fleet {
	runners := map[string]*chivefleet.Runner{}
	for k := range ranks {
		id := fmt.Sprint("r", k)
		runners[id] = &chivefleet.Runner{
			ID: id, Service: "llm", Address: id + ":1", Zone: string(rune('a' + k/2)), Slots: 4,
			Group: &chivefleet.Rank{Name: "g", Epoch: 1, Rank: k, Size: ranks, Open: true},
		}
	}
	return &chivefleet.Fleet{
		Config: &chivefleet.Config{Services: map[string]*chivefleet.Service{
			"llm": {Name: "llm", Engine: &chivefleet.Engine{Sets: 1, Experts: experts, Places: places, Spare: 2, Copy: 10 * time.Millisecond}},
		}},
		Runners: chivefleet.Group(runners),
	}
}

// TestBalance balances a group whose experts are in uneven demand, also where the
// zone of the holder serves nothing and where a rank is slow.
func TestBalance(t *testing.T) {
	tests := []struct {
		give  string
		setup func(*group6)
		slow  int
	}{
		{"uneven demand", func(*group6) {}, 0},
		{"the holder's zone is evacuated", func(g *group6) { g.serving[0], g.serving[1] = false, false }, 0},
		{"a rank is slow", func(g *group6) { g.slow[3] = 4 }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { balance(t, tt.setup, tt.slow) })
		})
	}
}

func balance(t *testing.T, setup func(*group6), slow int) {
	g := newGroup6()
	setup(g)
	before := g.load()
	var mu sync.Mutex
	told := map[string]float64{}
	b := &Balancer{
		Engine: g, Table: &chiverow.Memory{}, Name: "e/1", Zone: "a", Fleet: fleet, Candidate: func() bool { return true },
		HasEnded: func(string) bool { return false }, Log: log.New(io.Discard),
		ReportSlow: func(_ string, paces map[string]float64) {
			mu.Lock()
			defer mu.Unlock()
			told = paces
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { g.run(ctx) })
	running.Go(func() { _ = b.Run(ctx) })
	time.Sleep(8 * time.Second)
	after := g.load()
	mu.Lock()
	defer mu.Unlock()
	if len(told) != slow {
		t.Errorf("slow runners are %v", told)
	}
	if slow == 0 && after > 0.7*before {
		t.Errorf("skew went from %v to %v", before, after)
	}
	if slow > 0 {
		checkSlow(t, g, 3)
	}
	if !b.HoldsDuty() {
		t.Error("the duty is not held")
	}
	cancel()
	running.Wait()
}

// checkSlow checks that a slow rank has less to do than the others.
func checkSlow(t *testing.T, g *group6, rank int) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.layout == nil {
		t.Fatal("the map was never changed")
	}
	holders := map[int]float64{}
	for _, list := range g.layout[0] {
		for _, e := range list {
			holders[e]++
		}
	}
	loads := make([]float64, ranks)
	var sum float64
	for k, list := range g.layout[0] {
		for _, e := range list {
			loads[k] += float64(g.loads[e]) / holders[e]
			sum += float64(g.loads[e]) / holders[e]
		}
	}
	if loads[rank] > sum/ranks {
		t.Errorf("the slow rank has %v of %v", loads[rank], loads)
	}
}
