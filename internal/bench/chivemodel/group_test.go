package chivemodel

import (
	"testing"
	"time"
)

// play returns the outcome of a policy over a few seeds.
func simulateSeeds(l Load, p Policy) Outcome {
	var sum Outcome
	const seeds = 4
	for seed := range uint64(seeds) {
		l.Seed = seed
		o := Simulate(NewGroup(), l, p)
		sum.Requests += o.Requests
		sum.OnTime += o.OnTime
		sum.Late += o.Late
		sum.Refused += o.Refused
		sum.ExpertCopies += o.ExpertCopies
		sum.MapChanges += o.MapChanges
		sum.MeanSkew += o.MeanSkew / seeds
	}
	return sum
}

func newLoad(rate float64) Load {
	return Load{
		Rate: rate, Duration: 40 * time.Second, ShiftInterval: 4 * time.Second, ShiftFraction: 0.7, FirstEventTarget: 500 * time.Millisecond, MaxPause: 120 * time.Millisecond,
	}
}

// TestShiftingPopularity answers the pattern of popularity that shifts every four seconds
// under heavy load: small changes of the map, soon, serve callers better than
// large ones and than none.
func TestShiftingPopularity(t *testing.T) {
	l := newLoad(74)
	never := simulateSeeds(l, Policy{})
	large := simulateSeeds(l, Policy{MaxNewExperts: 2, Tolerance: 0.06, DetectionDelay: 300 * time.Millisecond})
	small := simulateSeeds(l, Policy{MaxNewExperts: 1, Tolerance: 0.25, DetectionDelay: 300 * time.Millisecond})
	t.Logf("never %.3f, large changes %.3f (%d copies), small ones %.3f (%d copies)", never.Utility(), large.Utility(), large.ExpertCopies, small.Utility(), small.ExpertCopies)
	if large.Utility() < never.Utility()+0.1 {
		t.Errorf("balancing earns %.3f, never balancing %.3f", large.Utility(), never.Utility())
	}
	if small.Utility() < large.Utility() {
		t.Errorf("small changes earn %.3f, large ones %.3f", small.Utility(), large.Utility())
	}
	if small.ExpertCopies >= large.ExpertCopies {
		t.Errorf("small changes copy %d experts, large ones %d", small.ExpertCopies, large.ExpertCopies)
	}
}

// TestOverload answers the pattern of more requests than the group can serve with
// experts out of balance: a limit by pauses serves no worse than all slots.
func TestOverload(t *testing.T) {
	l := newLoad(74)
	l.ShiftInterval = 0
	all := simulateSeeds(l, Policy{})
	paced := simulateSeeds(l, Policy{LimitByPauses: true})
	t.Logf("all slots %.3f (%d on time), paced %.3f (%d on time)", all.Utility(), all.OnTime, paced.Utility(), paced.OnTime)
	if paced.OnTime < all.OnTime {
		t.Errorf("%d answers are on time with the limit, %d without", paced.OnTime, all.OnTime)
	}
}

// TestModerateLoad loses nothing where there is no trouble.
func TestModerateLoad(t *testing.T) {
	l := newLoad(40)
	l.ShiftInterval = 0
	o := simulateSeeds(l, Policy{MaxNewExperts: 1, Tolerance: 0.25, LimitByPauses: true})
	if o.Refused > 0 || o.Utility() < 0.97 {
		t.Errorf("worth %.3f, %d refused", o.Utility(), o.Refused)
	}
}
