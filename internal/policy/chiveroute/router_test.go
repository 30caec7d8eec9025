package chiveroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

var start = time.Unix(1000, 0)

func newViews(n int) []Candidate {
	views := make([]Candidate, n)
	for i := range views {
		views[i] = Candidate{Hash: HashEndpoint(fmt.Sprint("endpoint-", i)), Limit: 32, ReportTime: start}
	}
	return views
}

// naiveHomes returns the usable endpoints by falling rendezvous score.
func naiveHomes(views []Candidate, prefix uint64) []int {
	var order []int
	for i := range views {
		if views[i].Excluded || start.Before(views[i].BlockedUntil) {
			continue
		}
		at := 0
		for at < len(order) && mix(views[order[at]].Hash^prefix) >= mix(views[i].Hash^prefix) {
			at++
		}
		order = append(order[:at], append([]int{i}, order[at:]...)...)
	}
	return order
}

func TestPickAgainstNaive(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		views := newViews(rapid.IntRange(0, 30).Draw(t, "endpoints"))
		for i := range views {
			views[i].Excluded = rapid.IntRange(0, 3).Draw(t, "closed") == 0
			views[i].UnreportedRequests = rapid.IntRange(0, 40).Draw(t, "sent")
			if rapid.IntRange(0, 5).Draw(t, "blocked") == 0 {
				views[i].BlockedUntil = start.Add(time.Second)
			}
		}
		prefix := rapid.Uint64().Draw(t, "prefix")
		homes := naiveHomes(views, prefix)
		got := Pick(views, prefix, start, rand.New(rand.NewPCG(1, prefix)))
		if len(homes) == 0 {
			if got != -1 {
				t.Fatalf("picked %d where none may be used", got)
			}
			return
		}
		if got < 0 || views[got].Excluded || start.Before(views[got].BlockedUntil) {
			t.Fatalf("picked %d, which may not be used", got)
		}
		isHome := got == homes[0] || len(homes) > 1 && got == homes[1]
		least := views[homes[0]].utilization(start)
		if !isHome && views[got].utilization(start) > least {
			t.Fatalf("left the prefix's endpoints for one that is no better")
		}
	})
}

func TestPrefixStaysWhereItIsCached(t *testing.T) {
	views := newViews(24)
	r := rand.New(rand.NewPCG(1, 2))
	moved := 0
	for i := range 1000 {
		prefix := HashPrefix("w", fmt.Sprint("prompt ", i))
		before := Pick(views, prefix, start, r)
		if Pick(views, prefix, start, r) != before {
			t.Fatal("the same prefix went to two endpoints without load")
		}
		views[7].Excluded = true
		if after := Pick(views, prefix, start, r); after != before {
			moved++
			if before != 7 {
				t.Fatalf("a prefix of endpoint %d moved when 7 closed", before)
			}
		}
		views[7].Excluded = false
	}
	if moved == 0 || moved > 100 {
		t.Fatalf("%d of 1000 prefixes moved when one of 24 endpoints closed", moved)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	views := newViews(24)
	r := rand.New(rand.NewPCG(1, 2))
	if n := testing.AllocsPerRun(100, func() { Pick(views, 42, start, r) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 24, 920} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			views := newViews(n)
			r := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				Pick(views, i, start, r)
			}
		})
	}
}
