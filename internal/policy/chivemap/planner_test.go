package chivemap

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

func randomLoads(r *rand.Rand, layers, experts int, steep float64) Loads {
	var loads Loads
	for range layers {
		l := make([]float64, experts)
		for e := range l {
			l[e] = 1 + steep*r.ExpFloat64()*r.ExpFloat64()
		}
		loads = append(loads, l)
	}
	return loads
}

// naiveMost is a naive twin of the search's running sums.
func naiveMost(m *Map, layer int, loads []float64) float64 {
	var most float64
	for r := range m.Ranks {
		var sum float64
		for s := range m.Slots {
			e := m.Layers[layer][r*m.Slots+s]
			n := 0
			for _, o := range m.Layers[layer] {
				if o == e {
					n++
				}
			}
			sum += loads[e] / float64(n)
		}
		most = max(most, sum)
	}
	return most
}

func TestPlanIsValidAndNeverWorse(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 12).Draw(t, "ranks")
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		experts := rapid.IntRange(1, ranks*slots).Draw(t, "experts")
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		steep := rapid.Float64Range(0, 10).Draw(t, "steep")
		before := Build(ranks, slots, experts, randomLoads(r, 2, experts, steep))
		if err := before.Check(); err != nil {
			t.Fatalf("fresh map: %v", err)
		}
		loads := randomLoads(r, 2, experts, steep)
		next := Planner{}.Plan(before, loads)
		if next == nil {
			return
		}
		if err := next.Check(); err != nil {
			t.Fatalf("planned map: %v", err)
		}
		for i := range loads {
			was, is := naiveMost(before, i, loads[i]), naiveMost(next, i, loads[i])
			if is > was*(1+1e-9) {
				t.Fatalf("layer %d: hottest rank went from %g to %g", i, was, is)
			}
			if low := LowerBound(ranks, slots, loads[i]); is < low*(1-1e-9) {
				t.Fatalf("layer %d: hottest rank %g is below the bound %g", i, is, low)
			}
		}
	})
}

// TestReplicateIsOptimal compares with every other way to spread the slots.
func TestReplicateIsOptimal(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 4).Draw(t, "loads")
		slots := len(loads) + rapid.IntRange(0, 4).Draw(t, "spare")
		counts := Replicate(loads, slots, slots)
		var most float64
		for e, l := range loads {
			most = max(most, l/float64(counts[e]))
		}
		if best := bestSpread(loads, slots); most > best*(1+1e-9) {
			t.Fatalf("counts %v give %g, the best is %g", counts, most, best)
		}
	})
}

// bestSpread tries every number of slots for every expert.
func bestSpread(loads []float64, slots int) float64 {
	if len(loads) == 0 {
		return 0
	}
	best := -1.0
	for n := 1; n <= slots-len(loads)+1; n++ {
		most := max(loads[0]/float64(n), bestSpread(loads[1:], slots-n))
		if best < 0 || most < best {
			best = most
		}
	}
	return best
}

func TestPlanKeepsABalancedMap(t *testing.T) {
	loads := randomLoads(rand.New(rand.NewPCG(1, 2)), 4, 64, 0.3)
	m := Build(16, 5, 64, loads)
	if next := (Planner{Tolerance: 0.1}).Plan(m, loads); next != nil {
		t.Fatalf("a map in balance changes by %d slots", m.Moves(next))
	}
}

func TestCheckRefuses(t *testing.T) {
	cases := []struct {
		name string
		m    Map
	}{
		{"no layers", Map{Ranks: 1, Slots: 1, Experts: 1}},
		{"no ranks", Map{Slots: 1, Experts: 1, Layers: [][]uint16{{0}}}},
		{"missing expert", Map{Ranks: 2, Slots: 1, Experts: 2, Layers: [][]uint16{{0, 0}}}},
		{"unknown expert", Map{Ranks: 2, Slots: 1, Experts: 2, Layers: [][]uint16{{0, 2}}}},
		{"short layer", Map{Ranks: 2, Slots: 1, Experts: 2, Layers: [][]uint16{{0}}}},
		{"too many experts", Map{Ranks: 2, Slots: 1, Experts: 3, Layers: [][]uint16{{0, 1}}}},
	}
	for _, c := range cases {
		if err := c.m.Check(); err == nil {
			t.Errorf("%s: accepted", c.name)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	sizes := []struct {
		name                          string
		ranks, slots, experts, layers int
	}{
		{"ranks=16", 16, 5, 64, 60},
		{"ranks=256/slots=1", 256, 1, 64, 60},
		{"ranks=256/slots=2", 256, 2, 64, 60},
	}
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 2))
			old := Build(s.ranks, s.slots, s.experts, randomLoads(r, s.layers, s.experts, 2))
			loads := randomLoads(r, s.layers, s.experts, 2)
			for b.Loop() {
				Planner{}.Plan(old, loads)
			}
		})
	}
}
