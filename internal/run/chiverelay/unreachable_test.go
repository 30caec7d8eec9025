package chiverelay

import (
	"net/http"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
)

// TestUnreachableRunners guards against requests that are held until their deadline, and retry
// budgets that are used up, while no process listens at the addresses of runners.
func TestUnreachableRunners(t *testing.T) {
	tests := []struct {
		give, kind string
		// gone holds the runners without a process.
		gone   []int
		status int
	}{
		{"all, a call", "any", []int{0, 1, 2}, http.StatusServiceUnavailable},
		{"all, a call that runs once", "once", []int{0, 1, 2}, http.StatusServiceUnavailable},
		{"all, a stream", "stream", []int{0, 1, 2}, http.StatusServiceUnavailable},
		{"all but one", "any", []int{0, 1}, http.StatusOK},
		{"all but one, a call that runs once", "once", []int{0, 1}, http.StatusOK},
	}
	for _, tt := range tests {
		s := newTestCluster(t, 91, 0)
		for _, k := range tt.gone {
			_ = s.runners[k].listener.Close()
		}
		start := time.Now()
		g := s.send(t.Context(), t, "/"+tt.kind+"/x", "unreachable", "body")
		took := time.Since(start)
		if g.status != tt.status || took > time.Second {
			t.Errorf("%s: status %d after %v, want %d at once", tt.give, g.status, took, tt.status)
		}
		if after, err := time.ParseDuration(g.header.Get("After")); g.status == http.StatusServiceUnavailable && (err != nil || after < recoveryRetryAfter) {
			t.Errorf("%s: told to retry after %v, want at least the time in which runners return", tt.give, after)
		}
	}
}

// TestRetryBudgetOfUnreachableRunners guards against a broken stream whose further attempts
// find no process and take one retry after the other from the budget of the service.
func TestRetryBudgetOfUnreachableRunners(t *testing.T) {
	s := newTestCluster(t, 92, 0)
	s.relay.State = NewRunnerState("e", RetryLimits{RetryRatio: 0, RetrySlack: 20, RetryWindow: 10 * time.Second})
	s.relay.State.SetEntries([]string{"e"})
	s.relay.State.SetFormerRetries(&chivequota.FormerUse{})
	for _, r := range s.runners {
		r.mu.Lock()
		r.onlyFault, r.pause = faultReset, 50*time.Millisecond
		r.mu.Unlock()
	}
	time.AfterFunc(20*time.Millisecond, func() {
		for _, r := range s.runners {
			_ = r.listener.Close()
		}
	})
	s.send(t.Context(), t, "/stream/x", "stream", "body")
	taken := 0
	for s.relay.State.TakeRetry("s") {
		taken++
	}
	if taken < 10 {
		t.Errorf("%d retries are left, want at least 10 of 17", taken)
	}
}
