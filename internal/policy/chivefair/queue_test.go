package chivefair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

var start = time.Unix(1000, 0)

// naiveQueue is a naive twin: it keeps every service and statement with its time
// and adds all of them up anew each time.
type naiveQueue struct {
	log []naiveEntry
}

// naiveEntry is service through a gateway, or a statement that replaces all
// earlier entries of the same workspace and gateway.
type naiveEntry struct {
	workspace, gateway string
	level              float64
	at                 time.Time
	states             bool
}

func (q *naiveQueue) level(now time.Time, workspace string, share float64) float64 {
	sums := map[string]float64{}
	for _, e := range q.log {
		if e.workspace != workspace {
			continue
		}
		if e.states {
			sums[e.gateway] = 0
		}
		sums[e.gateway] += e.level * math.Exp(-now.Sub(e.at).Seconds()/DecayTime.Seconds())
	}
	var sum float64
	for _, s := range sums {
		sum += s
	}
	return sum / share
}

// TestPopTakesTheLeastLevel compares with the naive twin over generated pushes,
// pops and statements. All workspaces stay backlogged, so that none is lifted.
func TestPopTakesTheLeastLevel(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		const workspaces = 4
		var q Queue[string]
		var naive naiveQueue
		now := start
		for w := range workspaces {
			for range 200 {
				q.Push(now, fmt.Sprint(w), float64(w+1), 10, "g", fmt.Sprint(w))
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "actions") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "states") == 0 {
				w := fmt.Sprint(rapid.IntRange(0, workspaces-1).Draw(t, "workspace"))
				g := rapid.SampledFrom([]string{"g", "h"}).Draw(t, "gateway")
				level := rapid.Float64Range(0, 50).Draw(t, "level")
				q.SetGatewayRate(now, w, g, level)
				naive.log = append(naive.log, naiveEntry{w, g, level, now, true})
				continue
			}
			got := q.Pop(now).Item
			least := math.Inf(1)
			var mine float64
			for w := range workspaces {
				l := naive.level(now, fmt.Sprint(w), float64(w+1))
				least = min(least, l)
				if fmt.Sprint(w) == got {
					mine = l
				}
			}
			if mine > least+1e-6 {
				t.Fatalf("took from a workspace of level %g, the least is %g", mine, least)
			}
			naive.log = append(naive.log, naiveEntry{got, "g", 10 / DecayTime.Seconds(), now, false})
		}
	})
}

// TestBacklogIsServedByShare checks the bound in the comment of Queue.
func TestBacklogIsServedByShare(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		const maxCost = 50.0
		shares := rapid.SliceOfN(rapid.Float64Range(0.5, 8), 2, 6).Draw(t, "shares")
		costs := rapid.SliceOfN(rapid.Float64Range(1, maxCost), len(shares), len(shares)).Draw(t, "costs")
		var q Queue[int]
		for w, share := range shares {
			for range 200 {
				q.Push(start, fmt.Sprint(w), share, costs[w], "g", w)
			}
		}
		served := make([]float64, len(shares))
		for range 150 {
			w := q.Pop(start).Item
			served[w] += costs[w] / shares[w]
			for i := range shares {
				for j := range shares {
					bound := costs[i]/shares[i] + costs[j]/shares[j]
					if d := served[i] - served[j]; d > bound+1e-6 {
						t.Fatalf("workspace %d is ahead of %d by %g, more than %g", i, j, d, bound)
					}
				}
			}
		}
	})
}

func TestIdleWorkspaceEarnsNoCredit(t *testing.T) {
	var q Queue[string]
	for range 100 {
		q.Push(start, "busy", 1, 1, "g", "busy")
	}
	for range 50 {
		q.Pop(start)
	}
	for range 10 {
		q.Push(start, "idle", 1, 1, "g", "idle")
	}
	idle := 0
	for range 10 {
		if q.Pop(start).Item == "idle" {
			idle++
		}
	}
	if idle > 6 {
		t.Fatalf("an idle workspace got %d of 10 turns", idle)
	}
}

func TestSettleChargesTheActualCost(t *testing.T) {
	var q Queue[string]
	serve := func() string {
		ticket := q.Pop(start)
		q.CorrectCost(start, ticket, 10)
		return ticket.Item
	}
	for range 100 {
		q.Push(start, "modest", 1, 10, "g", "modest")
		q.Push(start, "boaster", 1, 1000, "g", "boaster")
	}
	counts := map[string]int{}
	for range 100 {
		counts[serve()]++
	}
	if d := counts["modest"] - counts["boaster"]; d < -1 || d > 1 {
		t.Fatalf("equal shares of equal actual costs got %v", counts)
	}
}

func TestFullQueueDropsFromTheWorkspaceMostOverItsShare(t *testing.T) {
	q := Queue[string]{MaxLen: 10}
	for range 10 {
		q.Push(start, "flood", 1, 1, "g", "flood")
	}
	_, dropped := q.Push(start, "small", 1, 1, "g", "small")
	if dropped == nil || dropped.Workspace() != "flood" {
		t.Fatalf("dropped %+v, not a request of the flood", dropped)
	}
	ticket, dropped := q.Push(start, "flood", 1, 1, "g", "flood")
	if dropped != ticket {
		t.Fatal("a further request of the flood was not the one dropped")
	}
	if q.Len() != 10 {
		t.Fatalf("%d requests are queued", q.Len())
	}
}

// TestServiceElsewhereCounts has a workspace that is served by another agent: it
// waits here until the others have caught up.
func TestServiceElsewhereCounts(t *testing.T) {
	var q Queue[string]
	for range 20 {
		q.Push(start, "elsewhere", 1, 10, "g", "elsewhere")
		q.Push(start, "here", 1, 10, "g", "here")
	}
	q.SetGatewayRate(start, "elsewhere", "g", 100/DecayTime.Seconds())
	for i := range 10 {
		if got := q.Pop(start).Item; got != "here" {
			t.Fatalf("turn %d went to the workspace that was served elsewhere", i)
		}
	}
}

func TestRemove(t *testing.T) {
	var q Queue[int]
	a, _ := q.Push(start, "w", 1, 1, "g", 1)
	if !q.Remove(a) || q.Remove(a) || q.Len() != 0 || q.Pop(start) != nil {
		t.Fatal("a removed request is still there")
	}
}

func ExampleQueue() {
	var q Queue[string]
	for i := range 3 {
		q.Push(start, "small", 1, 1, "g", fmt.Sprint("small ", i))
		q.Push(start, "large", 2, 1, "g", fmt.Sprint("large ", i))
	}
	for t := q.Pop(start); t != nil; t = q.Pop(start) {
		fmt.Println(t.Item)
	}
	// Output:
	// small 0
	// large 0
	// large 1
	// small 1
	// large 2
	// small 2
}

func BenchmarkQueue(b *testing.B) {
	for _, workspaces := range []int{10, 460} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			var q Queue[int]
			names := make([]string, workspaces)
			for w := range workspaces {
				names[w] = fmt.Sprint("w", w)
				q.Push(start, names[w], 1, 1, "g", w)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Push(start, names[i%workspaces], 1, 1, "g", i)
				q.Pop(start)
			}
		})
	}
}
