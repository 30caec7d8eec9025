package chiverelay

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// setGroup makes the runners of the cluster the ranks of one group. open holds what
// each of them reports; registered ranks beyond it are missing. age is the age of this
// view of the fleet, slots the number of requests that a rank executes at a time.
func (s *testCluster) setGroup(open []bool, age time.Duration, slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.fleet
	next.ConfigConfirmedAt = chiveclock.Now().Add(-age)
	runners := map[string]*chivefleet.Runner{}
	for k, isOpen := range open {
		r := &chivefleet.Runner{ID: fmt.Sprint("r", k), Service: "s", Address: s.runners[k].listener.Addr().String(), Slots: slots}
		r.Membership = &chivefleet.GroupMembership{Group: "g", Rank: k, Size: len(s.runners), Open: isOpen}
		runners[r.ID] = r
	}
	next.Runners = chivefleet.GroupByService(runners)
	s.fleet = &next
}

// TestGroupIsFormed checks the requests that arrive in the second after a loss of power
// of all runners, until their group is open again: they wait for it if it opens in
// time, and are refused at once if a rank is missing. None is sent to a runner before.
func TestGroupIsFormed(t *testing.T) {
	tests := []struct {
		give string
		// states holds what the ranks report at first; the group is open after opens.
		states []bool
		opens  time.Duration
		age    time.Duration
		served bool
		// within bounds the time until the response.
		within time.Duration
		// brokenGroup is set if a rank has to start again before the group can serve.
		brokenGroup bool
		// slots is the number of requests that a rank executes at a time once the group
		// is open.
		slots int
	}{
		{"the group is being formed", []bool{false, false, false}, 400 * time.Millisecond, 0, true, 900 * time.Millisecond, false, 100},
		{"the group opens with few places", []bool{false, false, false}, 300 * time.Millisecond, 0, true, maxFormingWait, false, -plainQueueLimit + 2},
		{"a rank is missing", []bool{false, false}, time.Minute, 0, false, 100 * time.Millisecond, true, 100},
		{"the group does not open", []bool{false, false, false}, time.Minute, 0, false, maxFormingWait + 300*time.Millisecond, false, 100},
		{"the store has not answered for long", []bool{false, false, false}, time.Minute, 2 * groupStateMaxAge, true, 200 * time.Millisecond, false, 100},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 41, 0)
			for _, r := range s.runners {
				r.pause = 5 * time.Millisecond
			}
			s.setGroup(tt.states, tt.age, 100)
			start := time.Now()
			var callers sync.WaitGroup
			for i := range 20 {
				id := fmt.Sprintf("stream-%d", i)
				callers.Go(func() {
					g := s.send(t.Context(), t, "/stream/x", id, "")
					if took := time.Since(start); took > tt.within {
						t.Errorf("%s: answered after %v, want at most %v", id, took, tt.within)
					}
					checkResult(t, s, "stream", id, g)
					if served := g.status == http.StatusOK && g.complete; served != tt.served {
						t.Errorf("%s: served %t (status %d), want %t", id, served, g.status, tt.served)
					}
					if after, err := time.ParseDuration(g.header.Get("After")); tt.brokenGroup && (err != nil || after < brokenGroupRetryAfter) {
						t.Errorf("%s: told to return after %v, %v, want at least %v", id, after, err, brokenGroupRetryAfter)
					}
					if !tt.served && (g.header.Get("After") == "" || s.runs(id) > 0) {
						t.Errorf("%s: refused with time to return %q after %d runs", id, g.header.Get("After"), s.runs(id))
					}
				})
			}
			if tt.opens < maxFormingWait {
				time.Sleep(tt.opens)
				s.setGroup([]bool{true, true, true}, 0, tt.slots)
			}
			callers.Wait()
		})
	}
}
