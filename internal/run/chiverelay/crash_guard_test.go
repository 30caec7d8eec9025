package chiverelay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"
)

// TestExcludedPart guards against requests that reach runners although a part of their
// prompt crashes them, and against refusals of requests with other parts.
func TestExcludedPart(t *testing.T) {
	s := newTestCluster(t, 71, 0)
	fact := chivesuspect.Fact{Part: "bad"}
	for i := range 4 {
		fact.Crashes = append(fact.Crashes, chivesuspect.Crash{Runner: fmt.Sprint("r", i), Age: time.Duration(i) * 2 * time.Second})
	}
	s.relay.Crashes.Merge([]chivesuspect.Fact{fact}, 0)
	tests := []struct {
		kind, parts string
		status      int
	}{
		{"stream", "shared bad", http.StatusServiceUnavailable},
		{"any", "bad", http.StatusServiceUnavailable},
		{"once", "bad other", http.StatusServiceUnavailable},
		{"stream", "shared", http.StatusOK},
		{"any", "shared other", http.StatusOK},
		{"once", "", http.StatusOK},
	}
	for i, tt := range tests {
		id := fmt.Sprint("excluded-", i)
		g := s.sendPrompt(t.Context(), t, "/"+tt.kind+"/x", id, "body", tt.parts)
		if g.status != tt.status {
			t.Errorf("%s with parts %q: status %d, want %d", tt.kind, tt.parts, g.status, tt.status)
		}
		if ran := s.runs(id) > 0; ran != (tt.status == http.StatusOK) {
			t.Errorf("%s with parts %q: ran %t", tt.kind, tt.parts, ran)
		}
		after, err := time.ParseDuration(g.header.Get("After"))
		if tt.status == http.StatusServiceUnavailable && (err != nil || after < time.Minute) {
			t.Errorf("%s with parts %q: refused with a retry delay of %v, %v, while the part is excluded for longer", tt.kind, tt.parts, after, err)
		}
	}
}

// TestBrokenRequestsAndCrashes checks which ends of runners count as crashes under a part:
// that of a process which is gone, but neither a broken connection nor a planned stop.
func TestBrokenRequestsAndCrashes(t *testing.T) {
	tests := []struct {
		give string
		// gone ends the processes of the runners, leaving lets them say before that they
		// leave.
		gone, leaving bool
		crashes       int
	}{
		{"the process ends", true, false, 1},
		{"the connection breaks", false, false, 0},
		{"the runner leaves", true, true, 0},
	}
	for _, tt := range tests {
		for _, kind := range []string{"stream", "any", "once"} {
			s := newTestCluster(t, 72, 0)
			s.setRunners(0, 0)
			r := s.runners[0]
			r.mu.Lock()
			r.delay, r.onlyFault, r.eventCount = 100*time.Millisecond, faultNoResponse, 1
			r.mu.Unlock()
			done := make(chan callerResult, 1)
			go func() {
				done <- s.sendPrompt(t.Context(), t, "/"+kind+"/x", kind, "body", "shared")
			}()
			time.Sleep(50 * time.Millisecond)
			if tt.leaving {
				s.relay.State.NoteLeaving(s.fleet.Runners["s"][0].Incarnation())
			}
			if tt.gone {
				_ = r.listener.Close()
			}
			<-done
			time.Sleep(probeDelay + 100*time.Millisecond)
			crashes := 0
			for _, f := range s.relay.Crashes.Facts() {
				crashes += len(f.Crashes)
			}
			if crashes != tt.crashes {
				t.Errorf("%s, %s: %d crashes, want %d", tt.give, kind, crashes, tt.crashes)
			}
		}
	}
}
