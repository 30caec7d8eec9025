package chivemap

import (
	"math/rand/v2"
	"testing"
)

// TestPlanSparse plans from maps with empty slots under a bound on the experts
// that a rank gets, and checks the bound and the gain against a naive count.
func TestPlanSparse(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		ranks, layers, experts := 4+r.IntN(16), 1+r.IntN(4), 16+r.IntN(64)
		slots := (experts+ranks-1)/ranks + 1 + r.IntN(3)
		now := NewRoundRobin(ranks, slots, experts, layers)
		if err := now.Check(); err != nil {
			t.Fatal(err)
		}
		for range 4 {
			loads := make(Loads, layers)
			for i := range loads {
				for range experts {
					loads[i] = append(loads[i], r.ExpFloat64()*r.ExpFloat64())
				}
			}
			next := Planner{MaxNewExperts: 2}.Plan(now, loads)
			if next == nil {
				continue
			}
			if err := next.Check(); err != nil {
				t.Fatal(err)
			}
			if next.StepSkew(loads) > now.StepSkew(loads) {
				t.Fatalf("skew grew from %v to %v", now.StepSkew(loads), next.StepSkew(loads))
			}
			checkFresh(t, now, next, 2)
			now = next
		}
	}
}

func checkFresh(t *testing.T, now, next *Map, limit int) {
	t.Helper()
	for l := range now.Layers {
		for k := range now.Ranks {
			held := map[int]bool{}
			for _, e := range now.RankExperts(l, k) {
				held[e] = true
			}
			fresh := 0
			for _, e := range next.RankExperts(l, k) {
				if !held[e] {
					fresh++
				}
				held[e] = true
			}
			if fresh > limit {
				t.Fatalf("layer %d, rank %d gets %d new experts", l, k, fresh)
			}
		}
	}
}
