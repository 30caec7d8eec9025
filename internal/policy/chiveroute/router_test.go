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

// newCandidates returns idle endpoints that reported at the time start.
func newCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Hash: HashEndpoint(fmt.Sprint("endpoint-", i)), Limit: 32, ReportTime: start}
	}
	return candidates
}

// naiveRanking returns the indices of the usable endpoints in descending order of
// their rendezvous scores.
func naiveRanking(candidates []Candidate, prefix uint64) []int {
	var order []int
	for i := range candidates {
		if candidates[i].Excluded || start.Before(candidates[i].BlockedUntil) {
			continue
		}
		at := 0
		for at < len(order) && mix64(candidates[order[at]].Hash^prefix) >= mix64(candidates[i].Hash^prefix) {
			at++
		}
		order = append(order[:at], append([]int{i}, order[at:]...)...)
	}
	return order
}

func TestPickAgainstNaiveRanking(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		candidates := newCandidates(rapid.IntRange(0, 30).Draw(t, "endpoints"))
		for i := range candidates {
			candidates[i].Excluded = rapid.IntRange(0, 3).Draw(t, "excluded") == 0
			candidates[i].UnreportedRequests = rapid.IntRange(0, 40).Draw(t, "unreported requests")
			if rapid.IntRange(0, 5).Draw(t, "blocked") == 0 {
				candidates[i].BlockedUntil = start.Add(time.Second)
			}
		}
		prefix := rapid.Uint64().Draw(t, "prefix")
		ranking := naiveRanking(candidates, prefix)
		got := Pick(candidates, prefix, start, rand.New(rand.NewPCG(1, prefix)))
		if len(ranking) == 0 {
			if got != -1 {
				t.Fatalf("picked %d although no endpoint is usable", got)
			}
			return
		}
		if got < 0 || candidates[got].Excluded || start.Before(candidates[got].BlockedUntil) {
			t.Fatalf("picked %d, which is not usable", got)
		}
		isPreferred := got == ranking[0] || len(ranking) > 1 && got == ranking[1]
		preferred := candidates[ranking[0]].utilization(start)
		if !isPreferred && candidates[got].utilization(start) > preferred {
			t.Fatalf("picked an endpoint that is not preferred for the prefix and is more utilized")
		}
	})
}

func TestPickKeepsPrefixOnItsEndpoint(t *testing.T) {
	candidates := newCandidates(24)
	r := rand.New(rand.NewPCG(1, 2))
	moved := 0
	for i := range 1000 {
		prefix := HashPrefix("w", fmt.Sprint("prompt ", i))
		before := Pick(candidates, prefix, start, r)
		if Pick(candidates, prefix, start, r) != before {
			t.Fatal("a prefix went to two different endpoints without load")
		}
		candidates[7].Excluded = true
		if after := Pick(candidates, prefix, start, r); after != before {
			moved++
			if before != 7 {
				t.Fatalf("a prefix of endpoint %d moved when endpoint 7 was excluded", before)
			}
		}
		candidates[7].Excluded = false
	}
	if moved == 0 || moved > 100 {
		t.Fatalf("%d of 1000 prefixes moved when one of 24 endpoints was excluded", moved)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	candidates := newCandidates(24)
	r := rand.New(rand.NewPCG(1, 2))
	if n := testing.AllocsPerRun(100, func() { Pick(candidates, 42, start, r) }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{16, 24, 920} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			candidates := newCandidates(n)
			r := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				Pick(candidates, i, start, r)
			}
		})
	}
}
