package chiverelay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivecap"
)

// TestRunnerNamesRate guards against requests beyond the rate that a runner names, and checks
// in which answers it is named and when it ends.
func TestRunnerNamesRate(t *testing.T) {
	tests := []struct {
		give, kind string
		// said holds the header lines of the runner's answers, one value after the other.
		said   []string
		status int
		capped bool
		// wait is the time until the requests that are counted, beside the time for which
		// runners are suspect.
		wait time.Duration
	}{
		{"in the answer to a call", "any", []string{"Rate: 1\r\n"}, 0, true, 0},
		{"in the answer to a call that runs once", "once", []string{"Rate: 1\r\n"}, 0, true, 0},
		{"in the head of a stream", "stream", []string{"Rate: 1\r\n"}, 0, true, 0},
		{"in a refusal", "any", []string{"Rate: 1\r\n"}, http.StatusServiceUnavailable, true, 0},
		{"in a failure", "any", []string{"Rate: 1\r\n"}, http.StatusInternalServerError, true, 0},
		{"by another runner at the address", "any", []string{"Rate: 1\r\n"}, http.StatusMisdirectedRequest, false, 0},
		{"malformed", "any", []string{"Badrate: x\r\n"}, 0, false, 0},
		{"malformed after a sound one", "any", []string{"Rate: 1\r\n", "Badrate: x\r\n"}, 0, true, 0},
		{"no longer", "any", []string{"Rate: 1\r\n", ""}, 0, false, 10 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 81, 0)
			s.relay.Rates.SetSenders("e", []chivecap.Sender{{Name: "e"}})
			s.setRunners(0, 0)
			for i, line := range tt.said {
				s.runners[0].say(line, tt.status)
				s.sendMany(t, tt.kind, fmt.Sprint("first-", i), 1)
			}
			s.setRunners(0, 0, 1, 2)
			time.Sleep(2*suspectDuration + tt.wait)
			before, start := s.runners[0].arrivalCount(), time.Now()
			const count = 90
			for _, g := range s.sendMany(t, "any", "later", count) {
				if g.status != http.StatusOK && tt.status == 0 {
					t.Errorf("a request ended with status %d", g.status)
				}
			}
			most := 3 + time.Since(start).Seconds()
			got := float64(s.runners[0].arrivalCount() - before)
			if tt.capped && got > most {
				t.Errorf("the runner got %v requests, want at most %.0f", got, most)
			}
			if !tt.capped && tt.status == 0 && got < count/6 {
				t.Errorf("the runner got %v of %d requests, which it did not limit", got, count)
			}
		})
	}
}
