package chivebudget

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// closeOneByOne is the naive twin of CloseFirst: it closes the heaviest connection at a door above its
// guarantee, and looks anew after each.
func closeOneByOne(candidates []Candidate, shares []Share, limit int64) []int {
	shares = slices.Clone(shares)
	closed := map[int]bool{}
	target := limit
	var list []int
	for {
		var sum, weights int64
		for _, s := range shares {
			sum += s.Used
			weights += s.Weight
		}
		best := -1
		for i, c := range candidates {
			s := shares[c.Door]
			if closed[i] || c.Used <= 0 || s.Used <= limit/max(1, weights)*s.Weight {
				continue
			}
			if best < 0 || c.weight() > candidates[best].weight() {
				best = i
			}
		}
		if sum <= target || best < 0 {
			return list
		}
		target = limit - limit/roomDivisor
		closed[best] = true
		list = append(list, best)
		shares[candidates[best].Door].Used -= candidates[best].Used
	}
}

// TestCloseFirst compares CloseFirst with its naive twin, and checks that no door falls below its
// guarantee by more than one connection, and that the limit is kept if all of the use can be closed.
func TestCloseFirst(t *testing.T) {
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 1))
		shares := make([]Share, 1+random.IntN(5))
		for i := range shares {
			shares[i].Weight = 1 + random.Int64N(4)
		}
		var candidates []Candidate
		for range random.IntN(60) {
			c := Candidate{Door: random.IntN(len(shares)), Used: random.Int64N(100), Spent: float64(random.IntN(5)) / 4}
			shares[c.Door].Used += c.Used
			candidates = append(candidates, c)
		}
		limit := random.Int64N(2000)
		got, want := CloseFirst(candidates, shares, limit), closeOneByOne(candidates, shares, limit)
		if !slices.Equal(got, want) {
			t.Fatalf("seed %d: closes %v, the twin %v", seed, got, want)
		}
		left := slices.Clone(shares)
		var sum int64
		for _, i := range got {
			left[candidates[i].Door].Used -= candidates[i].Used
		}
		for i, s := range left {
			sum += s.Used
			if least := guaranteed(limit, shares)[i]; s.Used < shares[i].Used && s.Used < least-100 {
				t.Errorf("seed %d: door %d is left with %d of %d", seed, i, s.Used, least)
			}
		}
		if sum > limit {
			t.Errorf("seed %d: %d are in use, the limit is %d", seed, sum, limit)
		}
	}
}

// TestConnectionsFitMemory checks that a heap of twice what requests and connections may have fits
// beside the process, for each memory from which half of the rest is not needed as a minimum.
func TestConnectionsFitMemory(t *testing.T) {
	for _, mb := range []int64{96, 128, 152, 184, 284, 536} {
		b := ForMemory(mb * megabyte)
		if 2*(b.Total+b.Connections())+processSize > mb*megabyte {
			t.Errorf("%d MB: %d bytes for requests and %d for connections", mb, b.Total, b.Connections())
		}
	}
}
