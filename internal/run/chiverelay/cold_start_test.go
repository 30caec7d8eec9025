package chiverelay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// TestColdRunnersAfterLossOfPower starts all entry VMs at once, before cold runners, with
// a backlog of requests at each. Until an entry VM knows how many share the limit of a
// cold runner, it must not take the limit for its own: eight of them would send several
// times what the runner bears in one second. Most runners are evacuated, as when the
// fault was seen.
func TestColdRunnersAfterLossOfPower(t *testing.T) {
	const (
		entryCount, backlog = 8, 40
		coldRate            = 28
		bound               = coldRate*1.5 + 5
	)
	var names []string
	for i := range entryCount {
		names = append(names, fmt.Sprint("e", i))
	}
	runners := []*chivefleet.Runner{{ID: "cold", Service: "s", Slots: 1000, ColdUntil: chiveclock.Now().Add(time.Minute)}}
	service := &chivefleet.Service{Name: "s", ColdRate: coldRate, Engine: &chivefleet.Engine{}}
	options := ReserveOptions{Service: service, Rand: rand.New(rand.NewPCG(118809679155, 1))}
	var states []*RunnerState
	sent := 0
	send := func(rs *RunnerState) {
		for range backlog {
			if rs.Reserve(runners, chivechoice.Chooser{}, options) != nil {
				sent++
			}
		}
	}
	for _, name := range names {
		rs := NewRunnerState(name, RetryLimits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second})
		send(rs)
		if rs.TakeRetry("s") {
			t.Errorf("%s retries before it knows its peers", name)
		}
		states = append(states, rs)
	}
	if sent > bound {
		t.Errorf("%d requests to a cold runner before the entry VMs know each other, want at most %v", sent, bound)
	}
	for _, rs := range states {
		rs.SetEntries(names)
		rs.startedAt = rs.startedAt.Add(-coldWindow)
		send(rs)
	}
	if sent == 0 || sent > bound {
		t.Errorf("%d requests to a cold runner in a second, want 1 to %v", sent, bound)
	}
}

// TestColdRunnersAfterRestarts guards against a cold runner that gets more than it bears
// (FAILBACK): processes that start again within the second had no memory of what those before
// them have sent in it.
func TestColdRunnersAfterRestarts(t *testing.T) {
	const (
		coldRate = 100
		bound    = coldRate*1.5 + 5
	)
	names := []string{"e0", "e1", "e2", "e3"}
	runners := []*chivefleet.Runner{{ID: "cold", Service: "s", Slots: 1000, ColdUntil: chiveclock.Now().Add(time.Minute)}}
	service := &chivefleet.Service{Name: "s", ColdRate: coldRate, Engine: &chivefleet.Engine{}}
	options := ReserveOptions{Service: service, Rand: rand.New(rand.NewPCG(1, 2))}
	began := time.Now()
	var sent []time.Duration
	for round := 0; time.Since(began) < 3*time.Second; round++ {
		// All processes run for longer than a second at first, and then for a tenth of one.
		life := 1200 * time.Millisecond
		if round > 0 {
			life = 100 * time.Millisecond
		}
		var states []*RunnerState
		for _, name := range names {
			rs := NewRunnerState(name, RetryLimits{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Second})
			rs.SetEntries(names)
			states = append(states, rs)
		}
		for end := time.Now().Add(life); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, rs := range states {
				for rs.Reserve(runners, chivechoice.Chooser{}, options) != nil {
					sent = append(sent, time.Since(began))
				}
			}
		}
		if round == 0 && len(sent) == 0 {
			t.Error("processes that have run for a second send nothing to a cold runner")
		}
	}
	most := 0
	for i, from := range sent {
		end, _ := slices.BinarySearch(sent, from+time.Second)
		most = max(most, end-i)
	}
	if most > bound {
		t.Errorf("%d requests to a cold runner within a second, want at most %v", most, bound)
	}
}
