package chivemeasure

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
)

// groupSize is the size of a rank group.
type groupSize struct {
	ranks, slots, experts, layers int
}

// popularity holds two states of the experts' popularity between which it
// drifts.
type popularity struct {
	a, b chivemap.Loads
}

func newPopularity(r *rand.Rand, g groupSize) popularity {
	draw := func() chivemap.Loads {
		var loads chivemap.Loads
		for range g.layers {
			l := make([]float64, g.experts)
			for e := range l {
				l[e] = math.Exp(r.NormFloat64())
			}
			loads = append(loads, l)
		}
		return loads
	}
	return popularity{draw(), draw()}
}

// mixed returns the popularity at a place between a, at 0, and b, at 1.
func (p popularity) mixed(place float64) chivemap.Loads {
	loads := make(chivemap.Loads, len(p.a))
	for i := range p.a {
		loads[i] = make([]float64, len(p.a[i]))
		for e := range loads[i] {
			loads[i][e] = (1-place)*p.a[i][e] + place*p.b[i][e]
		}
	}
	return loads
}

// drift is a shape of change over the intervals of a run.
type drift struct {
	name string
	at   func(p popularity, r *rand.Rand, t, intervals int) chivemap.Loads
}

var drifts = []drift{
	{"slow turn", func(p popularity, _ *rand.Rand, t, n int) chivemap.Loads {
		return p.mixed(float64(t) / float64(n-1))
	}},
	{"sudden swap", func(p popularity, _ *rand.Rand, t, n int) chivemap.Loads {
		return p.mixed(float64(2 * t / n))
	}},
	{"noise", func(p popularity, r *rand.Rand, _, _ int) chivemap.Loads {
		loads := p.mixed(0)
		for i := range loads {
			for e := range loads[i] {
				loads[i][e] *= math.Exp(0.2 * r.NormFloat64())
			}
		}
		return loads
	}},
	{"two workspaces", func(p popularity, _ *rand.Rand, t, _ int) chivemap.Loads {
		return p.mixed(float64(t / 4 % 2))
	}},
}

// strategy decides on the next map, nil to keep the present one.
type strategy struct {
	name string
	next func(now *chivemap.Map, loads chivemap.Loads, smooth *chivemap.Forecaster) (next *chivemap.Map, from chivemap.Loads)
}

var strategies = []strategy{
	{"never", func(_ *chivemap.Map, loads chivemap.Loads, _ *chivemap.Forecaster) (*chivemap.Map, chivemap.Loads) {
		return nil, loads
	}},
	{"rebuild", func(now *chivemap.Map, loads chivemap.Loads, _ *chivemap.Forecaster) (*chivemap.Map, chivemap.Loads) {
		return chivemap.Build(now.Ranks, now.Slots, now.Experts, loads), loads
	}},
	{"planner, no smoothing", func(now *chivemap.Map, loads chivemap.Loads, _ *chivemap.Forecaster) (*chivemap.Map, chivemap.Loads) {
		return chivemap.Planner{}.Plan(now, loads), loads
	}},
	{"planner", func(now *chivemap.Map, loads chivemap.Loads, smooth *chivemap.Forecaster) (*chivemap.Map, chivemap.Loads) {
		from := smooth.Observe(loads)
		return chivemap.Planner{}.Plan(now, from), from
	}},
}

// mapResult is what one strategy came to under one drift.
type mapResult struct {
	skews   []float64
	excess  float64
	moves   int
	changes int
	slowest time.Duration
}

// runMaps lets a strategy plan from each interval's loads for the next one.
func runMaps(g groupSize, d drift, s strategy, intervals int, seed uint64) mapResult {
	r := rand.New(rand.NewPCG(seed, 1))
	p := newPopularity(r, g)
	loads := d.at(p, r, 0, intervals)
	now := chivemap.Build(g.ranks, g.slots, g.experts, loads)
	var result mapResult
	var smooth chivemap.Forecaster
	for t := 1; t < intervals; t++ {
		began := time.Now()
		next, from := s.next(now, loads, &smooth)
		result.slowest = max(result.slowest, time.Since(began))
		if next != nil {
			if moves := now.Moves(next); moves > 0 {
				result.moves += moves
				result.changes++
			}
			now = next
		}
		result.excess += excess(now, from) / float64(intervals-1)
		loads = d.at(p, r, t, intervals)
		result.skews = append(result.skews, now.StepSkew(loads))
	}
	sort.Float64s(result.skews)
	return result
}

// excess returns how far the step time is above the least that any map with the
// same slots could reach for the loads, as a part of it.
func excess(m *chivemap.Map, loads chivemap.Loads) float64 {
	var least float64
	for _, l := range loads {
		var sum float64
		for _, x := range l {
			sum += x
		}
		least += chivemap.LowerBound(m.Ranks, m.Slots, l) * float64(m.Ranks) / sum
	}
	return m.StepSkew(loads)*float64(len(loads))/least - 1
}

// Maps compares strategies for expert maps under drifts of several shapes.
func Maps(_ context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprint(out, "# Expert maps\n\nSkew is the step time in relation to a step in balance: the mean over layers of the hottest rank's load by the mean rank's. "+
		"A map is planned from one interval's loads and meets the next one's. Excess is how far the planned map is above the least that any map with the same slots reaches for the loads it was planned from.\n\n")
	_, _ = fmt.Fprintln(out, "| ranks × slots × layers | drift | strategy | skew p50 | skew p99 | excess % | slots moved | changes | slowest plan |")
	_, _ = fmt.Fprintln(out, "|--|--|--|--:|--:|--:|--:|--:|--:|")
	for _, g := range []groupSize{{16, 5, 64, 60}, {256, 1, 64, 60}, {256, 2, 64, 60}} {
		for _, d := range drifts {
			for _, st := range strategies {
				const intervals = 24
				m := runMaps(g, d, st, intervals, s.Seed)
				_, _ = fmt.Fprintf(out, "| %d × %d × %d | %s | %s | %.3f | %.3f | %.1f | %d | %d | %v |\n", g.ranks, g.slots, g.layers, d.name, st.name,
					m.skews[len(m.skews)/2], m.skews[len(m.skews)*99/100], 100*m.excess, m.moves, m.changes, m.slowest.Round(time.Millisecond))
			}
		}
	}
	return nil
}
