package chivemodel

import (
	"testing"
	"time"
)

// play returns the outcome of a policy over a few seeds.
func playSeeds(l Load, p Policy) Outcome {
	var sum Outcome
	const seeds = 4
	for seed := range uint64(seeds) {
		l.Seed = seed
		o := Play(NewGroup(), l, p)
		sum.Asked += o.Asked
		sum.OnTime += o.OnTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.Copies += o.Copies
		sum.Changes += o.Changes
		sum.Skew += o.Skew / seeds
	}
	return sum
}

func load(rate float64) Load {
	return Load{
		Rate: rate, Time: 40 * time.Second, Shift: 4 * time.Second, Part: 0.7, Goal: 500 * time.Millisecond, Pause: 120 * time.Millisecond,
	}
}

// TestShift answers the pattern of popularity that shifts every four seconds
// under heavy load: small changes of the map, soon, serve callers better than
// large ones and than none.
func TestShift(t *testing.T) {
	l := load(74)
	never := playSeeds(l, Policy{})
	large := playSeeds(l, Policy{MaxNew: 2, Tolerance: 0.06, Notice: 300 * time.Millisecond})
	small := playSeeds(l, Policy{MaxNew: 1, Tolerance: 0.25, Notice: 300 * time.Millisecond})
	t.Logf("never %.3f, large changes %.3f (%d copies), small ones %.3f (%d copies)", never.Worth(), large.Worth(), large.Copies, small.Worth(), small.Copies)
	if large.Worth() < never.Worth()+0.1 {
		t.Errorf("balancing earns %.3f, never balancing %.3f", large.Worth(), never.Worth())
	}
	if small.Worth() < large.Worth() {
		t.Errorf("small changes earn %.3f, large ones %.3f", small.Worth(), large.Worth())
	}
	if small.Copies >= large.Copies {
		t.Errorf("small changes copy %d experts, large ones %d", small.Copies, large.Copies)
	}
}

// TestOverload answers the pattern of more requests than the group can serve with
// experts out of balance: a limit by pauses serves no worse than all slots.
func TestOverload(t *testing.T) {
	l := load(74)
	l.Shift = 0
	all := playSeeds(l, Policy{})
	paced := playSeeds(l, Policy{Paced: true})
	t.Logf("all slots %.3f (%d on time), paced %.3f (%d on time)", all.Worth(), all.OnTime, paced.Worth(), paced.OnTime)
	if paced.OnTime < all.OnTime {
		t.Errorf("%d answers are on time with the limit, %d without", paced.OnTime, all.OnTime)
	}
}

// TestCalm loses nothing where there is no trouble.
func TestCalm(t *testing.T) {
	l := load(40)
	l.Shift = 0
	o := playSeeds(l, Policy{MaxNew: 1, Tolerance: 0.25, Paced: true})
	if o.Refused > 0 || o.Worth() < 0.97 {
		t.Errorf("worth %.3f, %d refused", o.Worth(), o.Refused)
	}
}
