package chivemodel

import (
	"testing"
	"time"
)

// simulateSeeds returns the outcome of a policy summed over several seeds. MeanSkew
// is the mean over them.
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

// newLoad returns a load with frequent shifts of expert popularity.
func newLoad(rate float64) Load {
	return Load{
		Rate: rate, Duration: 40 * time.Second, ShiftInterval: 4 * time.Second, ShiftFraction: 0.7, FirstEventTarget: 500 * time.Millisecond, MaxPause: 120 * time.Millisecond,
	}
}

// TestShiftingPopularity checks that under heavy load, with popularity that shifts
// every four seconds, rebalancing serves callers better than a constant map, and small
// map changes serve them at least as well as large ones and copy fewer experts.
func TestShiftingPopularity(t *testing.T) {
	l := newLoad(74)
	constant := simulateSeeds(l, Policy{})
	large := simulateSeeds(l, Policy{MaxNewExperts: 2, Tolerance: 0.06, DetectionDelay: 300 * time.Millisecond})
	small := simulateSeeds(l, Policy{MaxNewExperts: 1, Tolerance: 0.25, DetectionDelay: 300 * time.Millisecond})
	t.Logf("utility: constant map %.3f, large changes %.3f (%d copies), small changes %.3f (%d copies)", constant.Utility(), large.Utility(), large.ExpertCopies, small.Utility(), small.ExpertCopies)
	if large.Utility() < constant.Utility()+0.1 {
		t.Errorf("utility with rebalancing is %.3f, with a constant map %.3f", large.Utility(), constant.Utility())
	}
	if small.Utility() < large.Utility() {
		t.Errorf("utility with small changes is %.3f, with large ones %.3f", small.Utility(), large.Utility())
	}
	if small.ExpertCopies >= large.ExpertCopies {
		t.Errorf("small changes copied %d experts, large ones %d", small.ExpertCopies, large.ExpertCopies)
	}
}

// TestCopiesSpreadOverRanks checks that under heavy load, with popularity that shifts
// every four seconds, changes whose copies are spread over all ranks, so that each
// takes effect soon, serve callers better than changes limited layer by layer.
func TestCopiesSpreadOverRanks(t *testing.T) {
	l := newLoad(74)
	layered := simulateSeeds(l, Policy{MaxNewExperts: 1, Tolerance: 0.25, DetectionDelay: 300 * time.Millisecond})
	spread := simulateSeeds(l, Policy{MaxNewExperts: 1, MaxCopies: 1, Tolerance: 0.25, DetectionDelay: 300 * time.Millisecond})
	t.Logf("utility: limited by layer %.3f (%d copies), spread over ranks %.3f (%d copies)", layered.Utility(), layered.ExpertCopies, spread.Utility(), spread.ExpertCopies)
	if spread.Utility() < layered.Utility()+0.02 {
		t.Errorf("utility with spread copies is %.3f, with a limit by layer %.3f", spread.Utility(), layered.Utility())
	}
}

// TestOverload checks that with unbalanced experts and more requests than the group
// can serve, a limit by pauses yields at least as many answers on time as filling
// all slots.
func TestOverload(t *testing.T) {
	l := newLoad(74)
	l.ShiftInterval = 0
	allSlots := simulateSeeds(l, Policy{})
	limited := simulateSeeds(l, Policy{LimitByPauses: true})
	t.Logf("utility: all slots %.3f (%d on time), limited by pauses %.3f (%d on time)", allSlots.Utility(), allSlots.OnTime, limited.Utility(), limited.OnTime)
	if limited.OnTime < allSlots.OnTime {
		t.Errorf("%d answers were on time with the limit, %d without", limited.OnTime, allSlots.OnTime)
	}
}

// TestModerateLoad checks that the policies refuse no request and delay few answers
// at a load that the group can serve.
func TestModerateLoad(t *testing.T) {
	l := newLoad(40)
	l.ShiftInterval = 0
	o := simulateSeeds(l, Policy{MaxNewExperts: 1, Tolerance: 0.25, LimitByPauses: true})
	if o.Refused > 0 || o.Utility() < 0.97 {
		t.Errorf("utility is %.3f, %d requests were refused", o.Utility(), o.Refused)
	}
}

// TestThresholdsByHeadroom answers shifts of popularity at the peak of a wave. Fixed
// thresholds, which suit a load with headroom, leave a skew there that breaks pauses;
// thresholds by headroom must serve callers better, and copy no more experts where passes
// leave headroom.
func TestThresholdsByHeadroom(t *testing.T) {
	simulate := func(rate float64, byHeadroom bool) Outcome {
		return simulateSeeds(newLoad(rate), Policy{
			MaxNewExperts: 1, MaxCopies: 1, Tolerance: 0.25, Headroom: byHeadroom, DetectionDelay: 300 * time.Millisecond, LimitByPauses: true,
		})
	}
	for _, rate := range []float64{74, 80} {
		fixed, adaptive := simulate(rate, false), simulate(rate, true)
		t.Logf("%v requests a second: fixed %.3f, by headroom %.3f", rate, fixed.Utility(), adaptive.Utility())
		if adaptive.Utility() <= fixed.Utility() {
			t.Errorf("%v requests a second: utility is %.3f, with fixed thresholds %.3f", rate, adaptive.Utility(), fixed.Utility())
		}
	}
	const light = 40
	fixed, adaptive := simulate(light, false), simulate(light, true)
	if float64(adaptive.ExpertCopies) > 1.05*float64(fixed.ExpertCopies) || adaptive.Utility() < fixed.Utility() {
		t.Errorf("%v requests a second: %d copies, utility %.3f; with fixed thresholds %d, %.3f",
			light, adaptive.ExpertCopies, adaptive.Utility(), fixed.ExpertCopies, fixed.Utility())
	}
}
