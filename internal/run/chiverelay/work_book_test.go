package chiverelay

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivecost"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// testScale is the scale of a service whose streams of 12 events are the usual ones.
var testScale = chivecost.Scale{UsualPrompt: 100, UsualAnswer: 60, TokenTime: 1, ReadTime: 0.1, EventTokens: 5, PieceTokens: 50}

// newWorkCluster returns a cluster whose service is balanced by work, and the outcomes of its
// requests.
func newWorkCluster(t *testing.T) (*testCluster, func() []Outcome) {
	s := newTestCluster(t, 77, 0)
	s.fleet.Config.Services["s"].Scale = &testScale
	var mu sync.Mutex
	var outcomes []Outcome
	s.relay.Observe = func(o Outcome) {
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, o)
	}
	return s, func() []Outcome {
		mu.Lock()
		defer mu.Unlock()
		return outcomes
	}
}

// waitInFlight waits until a number of requests are in flight.
func waitInFlight(t *testing.T, s *testCluster, want int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		n := 0
		for _, k := range s.relay.State.LocalLoad() {
			n += k
		}
		if n == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d requests are in flight, want %d", n, want)
		}
	}
}

func sumWork(work map[string]float64) (sum float64) {
	for _, w := range work {
		sum += w
	}
	return sum
}

// TestWorkFallsWithEvents checks the work that an entry VM reports while streams run: about one
// each at first, less as events pass, never nothing, and none after their end, also of streams
// that move to another runner.
func TestWorkFallsWithEvents(t *testing.T) {
	for _, moves := range []bool{false, true} {
		s, outcomes := newWorkCluster(t)
		for _, r := range s.runners {
			r.pause = 40 * time.Millisecond
		}
		var callers sync.WaitGroup
		for i := range 6 {
			id := fmt.Sprint("stream-", i)
			callers.Go(func() { checkResult(t, s, "stream", id, s.send(t.Context(), t, "/stream/x", id, "")) })
		}
		waitInFlight(t, s, 6)
		first := sumWork(s.relay.State.LocalWork())
		time.Sleep(200 * time.Millisecond)
		second := sumWork(s.relay.State.LocalWork())
		if moves {
			s.relay.State.SetSlowRunners("holder", map[string]float64{"r0": 12})
		}
		if !(first > 4 && second > 0 && second < first) {
			t.Errorf("work left of 6 streams: %.2f at first, %.2f later", first, second)
		}
		callers.Wait()
		s.server.Close()
		if left := s.relay.State.LocalWork(); left != nil {
			t.Errorf("moves %t: work is left after the end: %v", moves, left)
		}
		for _, o := range outcomes() {
			if o.EstimatedWork <= 0 || o.ActualWork < 0.9 || o.ActualWork > 1.1 {
				t.Errorf("moves %t: estimated %.2f, actual %.2f of a usual request", moves, o.EstimatedWork, o.ActualWork)
			}
		}
	}
}

// TestWorkIsLearned checks that answers of another length than usual are expected after some
// have ended, and that streams whose callers leave do not shorten what is expected.
func TestWorkIsLearned(t *testing.T) {
	s, outcomes := newWorkCluster(t)
	for _, r := range s.runners {
		r.eventCount = 30
	}
	for i := range 30 {
		s.send(t.Context(), t, "/stream/x", fmt.Sprint("long-", i), "")
	}
	for _, r := range s.runners {
		r.pause = 20 * time.Millisecond
	}
	for i := range 10 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		s.send(ctx, t, "/stream/x", fmt.Sprint("left-", i), "")
		cancel()
	}
	s.server.Close()
	list := outcomes()
	if first, last := list[0].EstimatedWork, list[29].EstimatedWork; first > 1.2 || last < 1.8 {
		t.Errorf("expected %.2f at first and %.2f after 29 answers of 2.4 usual ones", first, last)
	}
	x := s.relay.Work.estimate(s.fleet.Config.Services["s"], chivecost.Origin{Route: "stream", Workspace: "w"}, chivecost.Statement{})
	if x.Answer < 120 {
		t.Errorf("expected %.0f tokens after callers have left, answers have 150", x.Answer)
	}
}

// TestChargeIsCorrected checks the usage of a workspace after its requests have ended: what the
// answers took, whatever it states.
func TestChargeIsCorrected(t *testing.T) {
	for _, events := range []int64{4, 12, 24} {
		s, _ := newWorkCluster(t)
		for _, r := range s.runners {
			r.eventCount = events
		}
		start := time.Now()
		const requests = 10
		for i := range requests {
			s.send(t.Context(), t, "/stream/x", fmt.Sprint("r-", i), "")
		}
		s.server.Close()
		got := s.relay.State.WorkspaceUsage()["s"]["w"]
		want := requests * testScale.Work(100, 5*float64(events)) * usualCost(&testScale) / chivefair.DecayTime.Seconds()
		// The rate falls while the requests run.
		lowest := want * math.Exp(-time.Since(start).Seconds()/chivefair.DecayTime.Seconds())
		if got < 0.99*lowest || got > 1.01*want {
			t.Errorf("%d events: usage %.1f a second, want %.1f to %.1f", events, got, lowest, want)
		}
	}
}

// TestResumedRequests checks the expected work of requests whose callers say that they have part
// of the answer: the prompt and the rest, at most what the longest answer takes.
func TestResumedRequests(t *testing.T) {
	tests := []struct {
		give      string
		lastEvent int64
		low, high float64
	}{
		{"from the start", -1, 0.9, 1.1},
		{"half of the usual answer", 5, 0.5, 0.65},
		{"more than any answer has", math.MaxInt64 - 1, 0.2, 5},
	}
	for _, tt := range tests {
		x := &exchange{relay: &Relay{}, route: &chivefleet.Route{Name: "r", Kind: chivefleet.Streaming}, service: &chivefleet.Service{Name: "s", Scale: &testScale}, lastEvent: tt.lastEvent, request: Request{LastEvent: tt.lastEvent}}
		x.estimateWork()
		if !(x.work >= tt.low && x.work <= tt.high) {
			t.Errorf("%s: work %v, want %v to %v", tt.give, x.work, tt.low, tt.high)
		}
		x.learnWork()
		if got := x.relay.Work.estimate(x.service, x.origin(), chivecost.Statement{}); got.Answer != x.estimate.Answer {
			t.Errorf("%s: learned %.0f tokens from a request without an event", tt.give, got.Answer)
		}
	}
}

// TestPeerWork checks the work that Reserve weighs of reports: of a peer that does not tell
// work, each request counts as a usual one, and slots are compared with counts.
func TestPeerWork(t *testing.T) {
	runners := []*chivefleet.Runner{{ID: "a", Service: "s", Slots: 3}, {ID: "b", Service: "s", Slots: 3}}
	tests := []struct {
		give      string
		inFlight  map[string]int
		work      map[string]float64
		want      string
		wantTotal float64
	}{
		{"an older peer", map[string]int{"a": 2, "b": 1}, nil, "b", 2},
		{"the same count, less work", map[string]int{"a": 2, "b": 2}, map[string]float64{"a": 0.5, "b": 3}, "a", 0.5},
		{"no slot is free, little work", map[string]int{"a": 3, "b": 2}, map[string]float64{"a": 0.1, "b": 4}, "b", 0.1},
		{"no report", nil, nil, "", 0},
	}
	for _, tt := range tests {
		rs := NewRunnerState("e", RetryLimits{})
		rs.SetPeerLoad("peer", tt.inFlight, tt.work)
		x := &exchange{relay: &Relay{State: rs}, route: &chivefleet.Route{}, service: &chivefleet.Service{Name: "s", Scale: &testScale}}
		c := x.chooser()
		c.QueueLimit = 0
		for range 20 {
			r := rs.Reserve(runners, c, x.reserveOptions())
			if r == nil || tt.want != "" && r.ID != tt.want {
				t.Fatalf("%s: chose %v, want %s", tt.give, r, tt.want)
			}
			rs.Release(r.ID)
		}
		rs.mu.Lock()
		if got := rs.loads.peerWork("a", rs.loads.peers["peer"].receivedAt); got != tt.wantTotal {
			t.Errorf("%s: work %v, want %v", tt.give, got, tt.wantTotal)
		}
		rs.mu.Unlock()
	}
}

// TestWithoutScale checks that nothing is estimated, weighed or reported for a service that is
// not balanced by work.
func TestWithoutScale(t *testing.T) {
	s := newTestCluster(t, 78, 0)
	s.relay.Observe = func(o Outcome) {
		if o.EstimatedWork != 0 || o.ActualWork != 0 {
			t.Errorf("work of a request was estimated: %+v", o)
		}
	}
	for _, r := range s.runners {
		r.pause = 10 * time.Millisecond
	}
	var callers sync.WaitGroup
	for i := range 6 {
		callers.Go(func() { s.send(t.Context(), t, "/stream/x", fmt.Sprint("s-", i), "") })
	}
	time.Sleep(30 * time.Millisecond)
	if work := s.relay.State.LocalWork(); work != nil {
		t.Errorf("work %v is reported", work)
	}
	callers.Wait()
	x := &exchange{relay: s.relay, service: s.fleet.Config.Services["s"]}
	if got := x.chooser(); got != (chivechoice.Chooser{QueueLimit: plainQueueLimit}) {
		t.Errorf("chooser is %+v", got)
	}
	if len(s.relay.Work.estimators) > 0 {
		t.Error("an estimator was created")
	}
}
