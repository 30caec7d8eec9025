package chiverelay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// say sets the header line and the status of all later responses of a runner.
func (r *runner) say(notice string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notice, r.status = notice, status
}

// arrivalCount returns the number of requests that have arrived.
func (r *runner) arrivalCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.arrivals)
}

// sendMany sends requests of a kind, one after another.
func (s *testCluster) sendMany(t *testing.T, kind, id string, count int) []callerResult {
	t.Helper()
	var list []callerResult
	for i := range count {
		g := s.send(t.Context(), t, "/"+kind+"/x", fmt.Sprintf("%s-%s-%d", kind, id, i), "body")
		list = append(list, g)
	}
	return list
}

// setRunners registers runners of the test cluster by ID, as of a time of their start.
func (s *testCluster) setRunners(startedAt int64, ids ...int) {
	runners := map[string]*chivefleet.Runner{}
	for _, k := range ids {
		id := fmt.Sprint("r", k)
		runners[id] = &chivefleet.Runner{ID: id, Service: "s", Address: s.runners[k].listener.Addr().String(), Slots: 100, StartedAtMillis: startedAt}
	}
	s.register(runners)
}

// TestRunnerSaysItLeaves checks that a runner which says in any answer that it is leaving
// gets no further request, also if its registration says nothing, is missing for a while
// or is an older one, until it has started again.
func TestRunnerSaysItLeaves(t *testing.T) {
	tests := []struct {
		give, kind string
		status     int
	}{
		{"in the answer to a call", "any", 0},
		{"in the answer to a call that runs once", "once", 0},
		{"in the head of a stream", "stream", 0},
		{"in a refusal", "any", http.StatusServiceUnavailable},
		{"in an error of the caller", "any", http.StatusNotFound},
		{"in a failure", "any", http.StatusInternalServerError},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := newTestCluster(t, 51, 0)
			leaving := s.runners[0]
			leaving.say("Leaving: 1\r\n", tt.status)
			for i := 0; leaving.arrivalCount() == 0; i++ {
				s.sendMany(t, tt.kind, fmt.Sprint("first-", i), 1)
			}
			s.setRunners(0, 1, 2)
			s.relay.State.Prune(s.fleet)
			s.setRunners(0, 0, 1, 2)
			for _, g := range s.sendMany(t, "any", "later", 30) {
				if g.status != http.StatusOK {
					t.Errorf("a request to the other runners ended with status %d", g.status)
				}
			}
			if n := leaving.arrivalCount(); n != 1 {
				t.Errorf("the runner got %d requests, want 1", n)
			}
			leaving.say("", 0)
			s.setRunners(1, 0, 1, 2)
			deadline := time.Now().Add(2 * suspectDuration)
			for leaving.arrivalCount() == 1 && time.Now().Before(deadline) {
				s.sendMany(t, "any", "restarted", 20)
			}
			if leaving.arrivalCount() == 1 {
				t.Error("the runner got no request after it had started again")
			}
		})
	}
}

// TestNoticeBindsWhenSending checks that a request for which a runner was chosen before
// the runner said that it leaves is not sent to it.
func TestNoticeBindsWhenSending(t *testing.T) {
	s := newTestCluster(t, 52, 0)
	request := httptest.NewRequest(http.MethodPost, "/once/x", nil)
	x := &exchange{relay: s.relay, r: request, fleet: s.fleet, route: s.fleet.Config.Route("127.0.0.1", "/once/x"), tried: map[string]bool{}}
	x.service, x.request.ID, x.deadline = s.fleet.Config.Services["s"], "chosen", chiveclock.Now().Add(time.Second)
	runner := x.reserveRunner()
	if runner == nil {
		t.Fatal("no runner was chosen")
	}
	s.relay.State.NoteLeaving(runner.Incarnation())
	if x.attempt(t.Context(), runner) || x.attempts != 0 || s.runs("chosen") != 0 {
		t.Errorf("the request was sent: %d attempts, %d runs", x.attempts, s.runs("chosen"))
	}
}

// TestPause checks that a runner which has asked for a pause gets no request until its
// end, that a shorter pause does not shorten a longer one, and that work then returns step
// by step.
func TestPause(t *testing.T) {
	s := newTestCluster(t, 53, 0)
	s.setRunners(0, 0, 1)
	runner := s.fleet.Runners["s"][0]
	s.relay.State.NotePause(runner.Incarnation(), 500*time.Millisecond)
	if left := s.relay.State.NotePause(runner.Incarnation(), time.Millisecond); left < 400*time.Millisecond {
		t.Errorf("the longer pause has %v left", left)
	}
	end := time.Now().Add(500 * time.Millisecond)
	for time.Now().Before(end.Add(-50 * time.Millisecond)) {
		s.sendMany(t, "any", "during", 1)
	}
	if n := s.runners[0].arrivalCount(); n > 0 {
		t.Errorf("the runner got %d requests in its pause", n)
	}
	time.Sleep(time.Until(end) + 20*time.Millisecond)
	reserve := func() (count int) {
		for s.relay.State.Reserve([]*chivefleet.Runner{runner}, (&exchange{relay: s.relay, service: s.fleet.Config.Services["s"], fleet: s.fleet, route: &s.fleet.Config.Routes[0]}).chooser(), ReserveOptions{Service: s.fleet.Config.Services["s"], Rand: rand.New(rand.NewPCG(1, 2))}) != nil {
			count++
		}
		for range count {
			s.relay.State.Release(runner.ID)
		}
		return count
	}
	first := reserve()
	time.Sleep(2 * pauseRecovery)
	if last := reserve(); first != 1 || last < 3 {
		t.Errorf("the runner may have %d requests at the end of its pause and %d later, want 1 and more than twice as many", first, last)
	}
}

// TestAllRunnersPaused checks that requests are refused at once, are not sent, and are told
// to return after the shortest pause and not all at the same time.
func TestAllRunnersPaused(t *testing.T) {
	s := newTestCluster(t, 54, 0)
	for i, r := range s.fleet.Runners["s"] {
		s.relay.State.NotePause(r.Incarnation(), time.Duration(3+i)*time.Second)
	}
	returns := map[time.Duration]bool{}
	for _, g := range s.sendMany(t, "any", "paused", 20) {
		after, err := time.ParseDuration(g.header.Get("After"))
		if g.status != http.StatusServiceUnavailable || err != nil || after < 2500*time.Millisecond || after > 5*time.Second {
			t.Errorf("status %d, told to return after %v, %v", g.status, after, err)
		}
		returns[after.Round(100*time.Millisecond)] = true
	}
	if len(returns) < 5 {
		t.Errorf("20 callers return at %d moments", len(returns))
	}
	for i, r := range s.runners {
		if n := r.arrivalCount(); n > 0 {
			t.Errorf("runner %d got %d requests", i, n)
		}
	}
}

// pauseTwin is what is done with the pauses that runners ask for.
type pauseTwin string

const (
	pausesHeeded pauseTwin = "heeded"
	// pausesIgnored is the naive twin that sends requests on as if nothing had been asked.
	pausesIgnored pauseTwin = "ignored"
	// pausesPassed is the naive twin that passes each refusal on to the caller, which returns
	// after the pause.
	pausesPassed pauseTwin = "passed on"
)

// TestOverloadedRunners checks, for the pattern of runners that ask for time while they are
// overloaded, that hardly any request is sent in vain and that no fewer are served than by
// the naive twins, which ignore the pauses or pass them on to the callers.
func TestOverloadedRunners(t *testing.T) {
	tests := []struct {
		give string
		// overloaded is the number of runners that ask for a pause of the given length
		// above two requests at a time.
		overloaded int
		pause      time.Duration
	}{
		{"one of three runners", 1, 3 * time.Second},
		{"all runners", 3, 900 * time.Millisecond},
		{"a runner that asks for 30 s at once", 1, 30 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			served, vain := map[pauseTwin]int{}, map[pauseTwin]int{}
			for _, twin := range []pauseTwin{pausesIgnored, pausesPassed, pausesHeeded} {
				served[twin], vain[twin] = overload(t, tt.overloaded, tt.pause, twin)
			}
			t.Logf("served %v, in vain %v", served, vain)
			if vain[pausesHeeded] > 0 || vain[pausesIgnored] == 0 {
				t.Errorf("%d requests were sent in vain, by the twin that ignores pauses %d", vain[pausesHeeded], vain[pausesIgnored])
			}
			if tt.overloaded < 3 && 10*served[pausesHeeded] < 9*max(served[pausesIgnored], served[pausesPassed]) {
				t.Errorf("too few requests were served: %v", served)
			}
		})
	}
}

// pauseBlind is a dialect that ignores pauses.
type pauseBlind struct{ testDialect }

// Response implements Dialect.Response.
func (d pauseBlind) Response(resp *http.Response) Response {
	r := d.testDialect.Response(resp)
	r.Pause = 0
	return r
}

// overload sends requests to three runners of which some ask for pauses, and returns how
// many were served and how many reached a runner in its pause.
func overload(t *testing.T, overloaded int, pause time.Duration, twin pauseTwin) (served, vain int) {
	s := newTestCluster(t, 55, 0)
	returnAfter := 100 * time.Millisecond
	if twin != pausesHeeded {
		s.relay.Dialect = pauseBlind{}
	}
	if twin == pausesPassed {
		s.fleet.Config.Route("127.0.0.1", "/once/x").MaxAttempts = 1
		returnAfter = pause
	}
	for i, r := range s.runners {
		r.delay = 40 * time.Millisecond
		if i < overloaded {
			r.maxBusy, r.askedPause = 2, pause
		}
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for k, end := 0, time.Now().Add(4*time.Second); time.Now().Before(end); k++ {
				g := s.send(t.Context(), t, "/once/x", fmt.Sprintf("once-%s-%d-%d", twin, i, k), "")
				if g.status != http.StatusOK {
					time.Sleep(min(returnAfter, time.Until(end)))
					continue
				}
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	for _, r := range s.runners {
		r.mu.Lock()
		vain += r.vain
		r.mu.Unlock()
	}
	return served, vain
}

// pausedWithin reports whether the relay knows within a time that a runner wants a pause.
func (s *testCluster) pausedWithin(r *chivefleet.Runner, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if !s.relay.State.Accepts(r) {
			return true
		}
	}
	return false
}

// TestPauseThatNobodyReads guards against a pause that is forgotten because the answer in which
// the runner asks for it is on its way as the attempt ends.
func TestPauseThatNobodyReads(t *testing.T) {
	const refusalDelay, early = 100 * time.Millisecond, 8 * time.Millisecond
	tests := []struct {
		give  string
		kinds []string
		// send sends a request whose attempt ends shortly before the answer arrives.
		send func(s *testCluster, path, id string)
	}{
		{"the caller leaves", []string{"any", "once", "stream"}, func(s *testCluster, path, id string) {
			ctx, cancel := context.WithTimeout(context.Background(), refusalDelay-early)
			defer cancel()
			s.send(ctx, t, path, id, "body")
		}},
		{"the deadline passes", []string{"any", "once", "stream"}, func(s *testCluster, path, id string) {
			s.sendWithin(t, strings.Trim(strings.TrimSuffix(path, "x"), "/"), id, refusalDelay-early)
		}},
		{"the stream is migrated", []string{"stream"}, func(s *testCluster, path, id string) {
			time.AfterFunc(refusalDelay-early, func() {
				s.relay.State.SetSlowRunners("peer", map[string]float64{"r0": migrationSlowdown})
			})
			s.send(context.Background(), t, path, id, "body")
		}},
	}
	for _, tt := range tests {
		for _, kind := range tt.kinds {
			t.Run(tt.give+", "+kind, func(t *testing.T) {
				t.Parallel()
				s := newTestCluster(t, 76, 0)
				s.setRunners(0, 0, 1, 2)
				asking := s.fleet.Runners["s"][0]
				for _, other := range s.fleet.Runners["s"][1:] {
					s.relay.State.NotePause(other.Incarnation(), refusalDelay/2)
				}
				s.runners[0].say("Pause: 10s\r\n", http.StatusServiceUnavailable)
				s.runners[0].refusalDelay = refusalDelay
				tt.send(s, "/"+kind+"/x", "left")
				if n := s.runners[0].arrivalCount(); n != 1 {
					t.Fatalf("the runner got %d requests, want 1", n)
				}
				if !s.pausedWithin(asking, time.Second) {
					t.Error("the pause is not known")
				}
			})
		}
	}
}

// TestPauseInSkippedAnswer guards against a pause that is forgotten because the answer in which
// the runner asks for it belongs to another request.
func TestPauseInSkippedAnswer(t *testing.T) {
	s := newTestCluster(t, 77, 0)
	s.setRunners(0, 0)
	s.runners[0].onlyFault = faultForeignRefusal
	if g := s.send(t.Context(), t, "/any/x", "skipped", "body"); g.status != http.StatusOK || g.body != responseBody("skipped") {
		t.Errorf("the request was not served: status %d", g.status)
	}
	if s.relay.State.Accepts(s.fleet.Runners["s"][0]) {
		t.Error("the pause is not known")
	}
}

// TestPauseOutlivesRegistration guards against a pause that is forgotten because the runner
// that asks for it has started again under its ID and is registered anew only later, and
// against a long pause that a former incarnation has asked for and that binds the next one.
func TestPauseOutlivesRegistration(t *testing.T) {
	s := newTestCluster(t, 78, 0)
	s.setRunners(1, 0)
	former := s.fleet.Runners["s"][0]
	s.relay.State.NotePause(former.Incarnation(), 300*time.Millisecond)
	notedAt := time.Now()
	s.setRunners(2, 0)
	s.relay.State.Prune(s.fleet)
	next := s.fleet.Runners["s"][0]
	if s.relay.State.Accepts(next) {
		t.Error("the pause is not known once the runner is registered anew")
	}
	if _, paused := s.relay.State.NoticeCounts(); paused != 1 {
		t.Errorf("%d runners are paused, want 1", paused)
	}
	time.Sleep(time.Until(notedAt.Add(350 * time.Millisecond)))
	if !s.relay.State.Accepts(next) {
		t.Error("the pause has not ended")
	}
	s.relay.State.NotePause(former.Incarnation(), time.Hour)
	if left := s.relay.State.shortestPause([]*chivefleet.Runner{next}); left < maxCarriedPause-time.Second || left > maxCarriedPause {
		t.Errorf("the next incarnation is bound for %v", left)
	}
	if left := s.relay.State.shortestPause([]*chivefleet.Runner{former}); left < time.Hour-time.Second {
		t.Errorf("the former incarnation is bound for %v", left)
	}
}
