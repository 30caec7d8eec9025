package chiverelay

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestStreamMigration checks that streams are migrated away from a rank that becomes
// slow, since it delays all streams of its group, and that each event arrives once.
// Requests that must run only once stay, and so do streams for which no runner has a
// free slot or the retry budget is used up.
func TestStreamMigration(t *testing.T) {
	tests := []struct {
		give     string
		kind     string
		setup    func(*testCluster)
		migrates bool
	}{
		{"streams", "stream", func(*testCluster) {}, true},
		{"non-idempotent requests", "once", func(*testCluster) {}, false},
		{"other runners are full", "stream", func(s *testCluster) {
			for _, r := range s.fleet.Runners["s"] {
				if r.ID != "r0" {
					r.Slots = -plainQueueLimit
				}
			}
		}, false},
		{"empty retry budget", "stream", func(s *testCluster) {
			s.relay.State = NewRunnerState("e", RetryLimits{RetryWindow: 10 * time.Second})
		}, false},
	}
	for _, tt := range tests {
		s := newTestCluster(t, 31, 0)
		tt.setup(s)
		s.runners[0].pause, s.runners[0].delay = 30*time.Millisecond, 200*time.Millisecond
		var wg sync.WaitGroup
		for i := range 12 {
			id := fmt.Sprintf("%s-%d", tt.kind, i)
			wg.Go(func() {
				g := s.send(t.Context(), t, "/"+tt.kind+"/x", id, "")
				if !g.complete || g.status != 200 {
					t.Errorf("%s: %s got status %d, complete %t", tt.give, id, g.status, g.complete)
				}
				checkResult(t, s, tt.kind, id, g)
			})
		}
		time.Sleep(100 * time.Millisecond)
		busy := s.relay.State.LocalLoad()["r0"]
		if busy == 0 {
			t.Fatalf("%s: no request is at the slow runner", tt.give)
		}
		s.relay.State.SetSlowRunners("holder", map[string]float64{"r0": 12})
		time.Sleep(50 * time.Millisecond)
		if left := s.relay.State.LocalLoad()["r0"]; tt.migrates && left > 0 || !tt.migrates && left < busy {
			t.Errorf("%s: %d of %d requests are left at the slow runner", tt.give, left, busy)
		}
		wg.Wait()
		if left := s.relay.State.LocalLoad(); len(left) > 0 {
			t.Errorf("%s: requests are still in flight: %v", tt.give, left)
		}
	}
}

// TestReserveSlowRunners checks that a very slow runner gets no requests, unless so
// many runners are slow that the others could not take over.
func TestReserveSlowRunners(t *testing.T) {
	tests := []struct {
		give string
		slow map[string]float64
		want bool
	}{
		{"one is slow", map[string]float64{"r0": 3.76}, false},
		{"one is slightly slow", map[string]float64{"r0": 1.4}, true},
		{"all are slow", map[string]float64{"r0": 4, "r1": 4, "r2": 4}, true},
	}
	for _, tt := range tests {
		s := newTestCluster(t, 32, 0)
		s.relay.State.SetSlowRunners("holder", tt.slow)
		for i := range 30 {
			id := fmt.Sprint("slow-", i)
			if g := s.send(t.Context(), t, "/stream/x", id, ""); g.status != 200 {
				t.Errorf("%s: got status %d", tt.give, g.status)
			}
		}
		n := 0
		for i := range 30 {
			n += s.runners[0].runsOf(fmt.Sprint("slow-", i))
		}
		if (n > 0) != tt.want {
			t.Errorf("%s: the slow runner got %d of 30 streams", tt.give, n)
		}
	}
}
