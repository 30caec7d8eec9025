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
	fact := chivesuspect.Fact{Suspect: chivesuspect.Suspect{ID: "bad"}}
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

// TestBrokenRequestsAndCrashes checks which ends of runners count as crashes under a request:
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
			crashes := map[chivesuspect.Kind]int{}
			for _, f := range s.relay.Crashes.Facts() {
				crashes[f.Kind] += len(f.Crashes)
			}
			for _, k := range []chivesuspect.Kind{chivesuspect.Part, chivesuspect.Request} {
				if crashes[k] != tt.crashes {
					t.Errorf("%s, %s: %d crashes under a %v, want %d", tt.give, kind, crashes[k], k, tt.crashes)
				}
			}
		}
	}
}

// TestExcludedRequest guards against a request that reaches runners although it crashes them,
// and against refusals of others, such as the same one of another workspace.
func TestExcludedRequest(t *testing.T) {
	s := newTestCluster(t, 73, 0)
	exclude := func(workspace, uri, body string) {
		id := fingerprints(workspace, http.MethodPost, "127.0.0.1", uri, []byte(body))[0]
		fact := chivesuspect.Fact{Suspect: chivesuspect.Suspect{ID: id, Kind: chivesuspect.Request}}
		for i := range 5 {
			fact.Crashes = append(fact.Crashes, chivesuspect.Crash{Runner: fmt.Sprint(workspace, uri, i), Age: time.Duration(i) * 2 * time.Second})
		}
		s.relay.Crashes.Merge([]chivesuspect.Fact{fact}, 0)
	}
	for _, kind := range []string{"stream", "any", "once"} {
		exclude("w", "/"+kind+"/bad", "bad")
		exclude("other", "/"+kind+"/x", "body")
	}
	tests := []struct {
		give, path, body string
		status           int
	}{
		{"the same", "/bad", "bad", http.StatusServiceUnavailable},
		{"another body", "/bad", "body", http.StatusOK},
		{"another path", "/x", "bad", http.StatusOK},
		{"one of another workspace", "/x", "body", http.StatusOK},
	}
	for i, tt := range tests {
		for _, kind := range []string{"stream", "any", "once"} {
			id := fmt.Sprintf("%s-%d", kind, i)
			g := s.send(t.Context(), t, "/"+kind+tt.path, id, tt.body)
			if g.status != tt.status {
				t.Errorf("%s, %s: status %d, want %d", kind, tt.give, g.status, tt.status)
			}
			if ran := s.runs(id) > 0; ran != (tt.status == http.StatusOK) {
				t.Errorf("%s, %s: ran %t", kind, tt.give, ran)
			}
		}
	}
}

// TestCrashingRequestIsNotSentOn guards against one exchange that ends as many runners as its
// route allows attempts.
func TestCrashingRequestIsNotSentOn(t *testing.T) {
	for _, kind := range []string{"stream", "any"} {
		s := newTestCluster(t, 74, 0)
		for _, r := range s.runners {
			r.onlyFault = faultCrash
		}
		// The second request finds the third runner, which is the only one left.
		for i, want := range []int{2, 1} {
			id := fmt.Sprint(kind, i)
			if g := s.send(t.Context(), t, "/"+kind+"/x", id, "body"); g.status != http.StatusBadGateway {
				t.Errorf("%s: status %d, want %d", id, g.status, http.StatusBadGateway)
			}
			if n := s.runs(id); n != want {
				t.Errorf("%s: ended %d runners, want %d", id, n, want)
			}
			time.Sleep(2 * probeDelay)
		}
	}
}

// TestRefusedRequestIsSentOn guards against a request that is not sent on after a refusal of a
// busy runner because requests that are alike have ended runners before.
func TestRefusedRequestIsSentOn(t *testing.T) {
	s := newTestCluster(t, 79, 0)
	fact := chivesuspect.Fact{Suspect: chivesuspect.Suspect{ID: fingerprints("w", http.MethodPost, "127.0.0.1", "/any/x", []byte("body"))[0], Kind: chivesuspect.Request}}
	for i := range 2 {
		fact.Crashes = append(fact.Crashes, chivesuspect.Crash{Runner: fmt.Sprint("former-", i), Age: time.Minute})
	}
	s.relay.Crashes.Merge([]chivesuspect.Fact{fact}, 0)
	for _, r := range s.runners[:2] {
		r.onlyFault = faultBusy
	}
	if g := s.send(t.Context(), t, "/any/x", "sent-on", "body"); g.status != http.StatusOK {
		t.Errorf("status %d, want %d", g.status, http.StatusOK)
	}
}

// TestBrokenRequestIsSentAgain checks that a request which comes again and breaks off each
// time at a runner that goes on is served by another one.
func TestBrokenRequestIsSentAgain(t *testing.T) {
	s := newTestCluster(t, 75, 0)
	s.runners[0].onlyFault = faultNoResponse
	// Each request reaches the runner with a probability of a third.
	for i := range 60 {
		if g := s.send(t.Context(), t, "/any/x", fmt.Sprint("again-", i), "body"); g.status != http.StatusOK {
			t.Errorf("request %d: status %d, want %d", i, g.status, http.StatusOK)
		}
	}
	if s.runners[0].arrivalCount() == 0 {
		t.Error("no request reached the runner that breaks them off, so that the test shows nothing")
	}
}
