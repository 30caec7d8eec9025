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

// referenceModel computes normalized rates from the log of all service and reports,
// without the incremental decay of Meter.
type referenceModel struct {
	log []logEntry
}

// logEntry is service through a gateway, or a report that replaces all earlier
// entries of the same workspace and gateway.
type logEntry struct {
	workspace, gateway string
	rate               float64
	at                 time.Time
	isReport           bool
}

func (m *referenceModel) normalizedRate(now time.Time, workspace string, share float64) float64 {
	sums := map[string]float64{}
	for _, e := range m.log {
		if e.workspace != workspace {
			continue
		}
		if e.isReport {
			sums[e.gateway] = 0
		}
		sums[e.gateway] += e.rate * math.Exp(-now.Sub(e.at).Seconds()/DecayTime.Seconds())
	}
	var sum float64
	for _, s := range sums {
		sum += s
	}
	return sum / share
}

// TestPopServesLowestNormalizedRate compares Pop with the reference model for
// generated pops and reports. All workspaces stay backlogged, so that none is
// charged for idle time.
func TestPopServesLowestNormalizedRate(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		const workspaces = 4
		var q Queue[string]
		var reference referenceModel
		now := start
		for w := range workspaces {
			for range 200 {
				q.Push(now, fmt.Sprint(w), float64(w+1), 10, "g", fmt.Sprint(w))
			}
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "isReport") == 0 {
				w := fmt.Sprint(rapid.IntRange(0, workspaces-1).Draw(t, "workspace"))
				g := rapid.SampledFrom([]string{"g", "h"}).Draw(t, "gateway")
				rate := rapid.Float64Range(0, 50).Draw(t, "rate")
				q.SetGatewayRate(now, w, g, rate)
				reference.log = append(reference.log, logEntry{w, g, rate, now, true})
				continue
			}
			got := q.Pop(now).Item
			lowest := math.Inf(1)
			var popped float64
			for w := range workspaces {
				r := reference.normalizedRate(now, fmt.Sprint(w), float64(w+1))
				lowest = min(lowest, r)
				if fmt.Sprint(w) == got {
					popped = r
				}
			}
			if popped > lowest+1e-6 {
				t.Fatalf("popped from a workspace with normalized rate %g, the lowest is %g", popped, lowest)
			}
			reference.log = append(reference.log, logEntry{got, "g", 10 / DecayTime.Seconds(), now, false})
		}
	})
}

// TestFairnessBound checks the bound of start-time fair queueing that the comment
// of Queue states.
func TestFairnessBound(t *testing.T) {
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
						t.Fatalf("normalized service of workspace %d exceeds that of %d by %g, more than %g", i, j, d, bound)
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
		t.Fatalf("the workspace that was idle got %d of the next 10 requests, want at most 6", idle)
	}
}

// TestCorrectCost checks that workspaces of equal share and equal actual cost are
// served equally, even if one expects a cost 100 times higher.
func TestCorrectCost(t *testing.T) {
	var q Queue[string]
	serve := func() string {
		ticket := q.Pop(start)
		q.CorrectCost(start, ticket, 10)
		return ticket.Item
	}
	for range 100 {
		q.Push(start, "low estimate", 1, 10, "g", "low estimate")
		q.Push(start, "high estimate", 1, 1000, "g", "high estimate")
	}
	counts := map[string]int{}
	for range 100 {
		counts[serve()]++
	}
	if d := counts["low estimate"] - counts["high estimate"]; d < -1 || d > 1 {
		t.Fatalf("workspaces of equal share and actual cost were served %v, want a difference of at most 1", counts)
	}
}

func TestFullQueueDropsFromWorkspaceMostOverShare(t *testing.T) {
	q := Queue[string]{MaxLen: 10}
	for range 10 {
		q.Push(start, "flood", 1, 1, "g", "flood")
	}
	_, dropped := q.Push(start, "small", 1, 1, "g", "small")
	if dropped == nil || dropped.Workspace() != "flood" {
		t.Fatalf("dropped %+v, want a request of the flooding workspace", dropped)
	}
	ticket, dropped := q.Push(start, "flood", 1, 1, "g", "flood")
	if dropped != ticket {
		t.Fatal("a further request of the flooding workspace was queued in place of an older one")
	}
	if q.Len() != 10 {
		t.Fatalf("%d requests are queued, want 10", q.Len())
	}
}

// TestReportedServiceCounts checks that a workspace that other agents served waits
// until the workspaces of this agent have received as much.
func TestReportedServiceCounts(t *testing.T) {
	var q Queue[string]
	for range 20 {
		q.Push(start, "elsewhere", 1, 10, "g", "elsewhere")
		q.Push(start, "here", 1, 10, "g", "here")
	}
	q.SetGatewayRate(start, "elsewhere", "g", 100/DecayTime.Seconds())
	for i := range 10 {
		if got := q.Pop(start).Item; got != "here" {
			t.Fatalf("request %d is of the workspace that was served elsewhere", i)
		}
	}
}

func TestRemove(t *testing.T) {
	var q Queue[int]
	a, _ := q.Push(start, "w", 1, 1, "g", 1)
	if !q.Remove(a) || q.Remove(a) || q.Len() != 0 || q.Pop(start) != nil {
		t.Fatal("a removed request is still queued, or Remove reported a wrong result")
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
