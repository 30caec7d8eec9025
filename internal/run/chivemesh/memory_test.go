package chivemesh

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// The budget of all entry VMs, and how many requests they get.
const (
	retryRatio, retrySlack = 0.2, 208.0
	retrySpan              = 10 * time.Second
	requestsPerTick        = 12
)

// retryingVM is an entry VM that sends a retry whenever its budget allows one.
type retryingVM struct {
	budgets *chivequota.RetryBudgets
	// downUntil is when its process starts again, 0 while it runs.
	downUntil time.Duration
	entry     chivefleet.Entry
}

// retryingFleet is a fleet of such entry VMs.
type retryingFleet struct {
	network *network
	// forgetful processes take it that none has run before them.
	forgetful bool
	vms       map[string]*retryingVM
	began     time.Time
	// requests and retries hold when each was sent.
	requests, retries []time.Duration
}

func newRetryingFleet(t *testing.T, forgetful bool, seed uint64) *retryingFleet {
	f := &retryingFleet{network: newNetwork(t, 3, 8, seed), forgetful: forgetful, vms: map[string]*retryingVM{}, began: time.Now()}
	for name, e := range f.network.fleet.Entries {
		f.vms[name] = &retryingVM{entry: e}
		f.start(name)
	}
	return f
}

// now returns the time since the fleet began.
func (f *retryingFleet) now() time.Duration { return time.Since(f.began) }

// start starts a process of an entry VM.
func (f *retryingFleet) start(name string) {
	vm := f.vms[name]
	vm.entry.Boot++
	vm.downUntil = 0
	budgets := &chivequota.RetryBudgets{Ratio: retryRatio, Slack: retrySlack, Span: retrySpan, Started: f.now()}
	vm.budgets = budgets
	m := newMesh(vm.entry, f.network.fleet)
	m.OnReport = func(string, Load, map[string]float64) {}
	m.Retries = RetryMemory{
		Span: retrySpan, Use: func() *chivequota.RetryUse { return budgets.Use(f.now()) },
		OnFormer: func(u *chivequota.FormerUse) { budgets.SetFormer(u, f.now()) },
	}
	if f.forgetful {
		m.Retries = RetryMemory{}
		budgets.SetFormer(&chivequota.FormerUse{}, f.now())
	}
	f.network.meshes[name], f.network.stopped[name] = m, false
	f.network.fleet.Entries[name] = vm.entry
}

// end ends a process for half a second. One that was told to stop removes its row.
func (f *retryingFleet) end(name string, told bool) {
	f.vms[name].downUntil = f.now() + 500*time.Millisecond
	f.network.stopped[name] = true
	if told {
		delete(f.network.fleet.Entries, name)
	}
}

// run runs the fleet. Retries are sent in the time after trouble began.
func (f *retryingFleet) run(d time.Duration, trouble bool) {
	const tick = 50 * time.Millisecond
	for end := f.now() + d; f.now() < end; {
		f.network.run(tick)
		names := slices.Sorted(maps.Keys(f.network.fleet.Entries))
		var up []*retryingVM
		for _, name := range slices.Sorted(maps.Keys(f.vms)) {
			vm := f.vms[name]
			if vm.downUntil != 0 && f.now() >= vm.downUntil {
				f.start(name)
			}
			if vm.downUntil == 0 {
				vm.budgets.SetEntries(names, f.now())
				up = append(up, vm)
			}
		}
		for range min(requestsPerTick, requestsPerTick*len(up)) {
			vm := up[f.network.rng.IntN(len(up))]
			vm.budgets.AddRequest("s", f.now())
			f.requests = append(f.requests, f.now())
		}
		for _, vm := range up {
			for trouble && vm.budgets.AllowRetry("s", f.now()) {
				f.retries = append(f.retries, f.now())
			}
		}
	}
}

// excess returns the most retries in a window beyond what is allowed.
func (f *retryingFleet) excess() float64 {
	count := func(times []time.Duration, from time.Duration) float64 {
		low, _ := slices.BinarySearch(times, from)
		high, _ := slices.BinarySearch(times, from+retrySpan)
		return float64(high - low)
	}
	worst := -retrySlack
	for _, from := range f.retries {
		requests := max(count(f.requests, from), count(f.requests, from-retrySpan/2), count(f.requests, from-retrySpan))
		worst = max(worst, count(f.retries, from)-retryRatio*requests-retrySlack)
	}
	return worst
}

// TestRetryBudgetOutlivesProcesses guards against repeats beyond the budget of all entry VMs
// (BUDGET) when processes start again while runners fail: each started with an empty window,
// and the slack was divided by those that were registered at the moment. The naive twins forget.
func TestRetryBudgetOutlivesProcesses(t *testing.T) {
	tests := []struct {
		give string
		// share of the entry VMs end at the same moment, rounds times.
		share  float64
		rounds int
		told   bool
		naive  bool
	}{
		{"none ends", 0, 0, false, false},
		{"most are killed twice", 0.6, 2, false, false},
		{"most are killed twice, forgetful", 0.6, 2, false, true},
		{"all are killed twice", 1, 2, false, false},
		{"a third is told to stop, three times", 0.33, 3, true, false},
		{"all are told to stop", 1, 1, true, false},
		{"all are told to stop, forgetful", 1, 1, true, true},
	}
	for _, tt := range tests {
		for seed := range uint64(2) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 31))
				f := newRetryingFleet(t, tt.naive, seed)
				f.run(15*time.Second, false)
				f.run(2*time.Second, true)
				for range tt.rounds {
					for _, name := range slices.Sorted(maps.Keys(f.vms)) {
						if f.vms[name].downUntil == 0 && rng.Float64() < tt.share {
							f.end(name, tt.told)
						}
					}
					f.run(2*time.Second, true)
				}
				f.run(12*time.Second, true)
				if n := f.excess(); n > 0 != tt.naive {
					t.Errorf("%s, seed %d: %.0f retries in a window beyond what is allowed, want some: %t", tt.give, seed, n, tt.naive)
				}
				if len(f.retries) == 0 {
					t.Errorf("%s, seed %d: no retry was allowed", tt.give, seed)
				}
			})
		}
	}
}
