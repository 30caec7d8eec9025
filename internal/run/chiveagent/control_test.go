package chiveagent

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesync"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

const testEndpoint = "draft-1"

// newTestAgent returns an agent for the example sheet, without sockets, and a
// function that stops its control goroutine.
func newTestAgent(t *rapid.T) (*Agent, func()) {
	raw, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "ferraro", "sheet.csv"))
	if err != nil {
		t.Fatal(err)
	}
	node := chivelink.Node{Name: testEndpoint, Role: chivelink.RoleAgent, Zone: "palermo", Boot: 1}
	ring := chivetime.NewRing(testEndpoint, 64)
	settings := chivesetting.NewAgent()
	settings.Endpoint, settings.Queue = testEndpoint, 8
	a := &Agent{settings: settings, ring: ring, syncer: chivesync.NewSyncer(node, ring), metrics: newMetrics(tally.NoopScope), engine: chiveengine.NewClient("127.0.0.1:1")}
	if err := a.syncer.Apply(&chiveconf.Head{Version: 1, Digest: chiveconf.SheetDigest(raw)}, raw, "test"); err != nil {
		t.Fatal(err)
	}
	a.syncer.SetLastSync(time.Now().Add(time.Hour))
	a.control = newControl(a)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = a.control.run(ctx) }()
	return a, func() {
		cancel()
		<-a.control.done
		a.engine.Close()
	}
}

// testCall is a call at the agent with the verdicts that it got.
type testCall struct {
	admission *admission
	verdicts  []*chiveverdict.Failure
	withdrawn bool
	finished  bool
}

// started reports whether the call was admitted.
func (c *testCall) started() bool {
	return len(c.verdicts) == 1 && c.verdicts[0] == nil
}

// readVerdicts appends the verdicts that the call has got since the last read.
func (c *testCall) readVerdicts() {
	for {
		select {
		case v := <-c.admission.verdict:
			c.verdicts = append(c.verdicts, v)
		default:
			return
		}
	}
}

// withdraw marks a call as withdrawn and removes it from the queue. The naive way
// leaves it in the queue, although the gateway is told that it did not run.
func withdraw(a *Agent, c *testCall, naive bool) {
	c.withdrawn = true
	if naive {
		return
	}
	a.control.do(func() {
		if c.admission.ticket != nil && a.control.queue.Remove(c.admission.ticket) {
			c.admission.verdict <- chiveverdict.NotRunf(chiveverdict.CodeCanceled, 0, "withdrawn")
		}
	})
}

// runCalls enqueues, withdraws and finishes calls in a random order. It returns the
// number of calls that were started after they had been withdrawn the naive way.
func runCalls(t *rapid.T, naive bool) (falseRefusals int) {
	a, stop := newTestAgent(t)
	defer stop()
	var calls []*testCall
	for i := range 60 {
		switch action := rapid.IntRange(0, 5).Draw(t, "action"); {
		case action < 3:
			call := &chivelink.Call{ID: fmt.Sprint(i), Workspace: "hotels", Endpoint: testEndpoint, Cost: 1, Timeout: time.Second}
			c := &testCall{admission: &admission{call: call, verdict: make(chan *chiveverdict.Failure, 2)}}
			calls = append(calls, c)
			a.control.do(func() { a.control.enqueue(c.admission) })
		case len(calls) == 0:
		case action == 3:
			if c := rapid.SampledFrom(calls).Draw(t, "given up"); !c.started() && !c.withdrawn {
				withdraw(a, c, naive)
			}
		default:
			if c := rapid.SampledFrom(calls).Draw(t, "ended"); c.started() && !c.finished {
				c.finished = true
				a.control.do(func() { a.control.finish(c.admission, 10, time.Millisecond, true) })
			}
		}
		checkCalls(t, a, calls)
	}
	for _, c := range calls {
		if c.withdrawn && c.started() && naive {
			falseRefusals++
		}
	}
	return falseRefusals
}

// checkCalls checks that no call has more than one verdict and that the agent counts
// the running calls and keeps them within its limit.
func checkCalls(t *rapid.T, a *Agent, calls []*testCall) {
	running := 0
	for _, c := range calls {
		c.readVerdicts()
		if len(c.verdicts) > 1 {
			t.Fatalf("call %s got %d verdicts: %v", c.admission.call.ID, len(c.verdicts), c.verdicts)
		}
		if c.started() && !c.finished {
			running++
		}
	}
	load := a.control.load()
	if load.Running != running || running > load.Limit {
		t.Fatalf("%d calls are running, the agent reports %d with limit %d", running, load.Running, load.Limit)
	}
}

// TestOneVerdictPerCall checks that a call is either admitted or refused, never
// both, and that no more calls run than the limit allows. A call that is withdrawn
// the naive way, without being removed from the queue, may run after its gateway
// was told that it did not.
func TestOneVerdictPerCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	falseRefusals := 0
	chiveseed.Check(t, func(t *rapid.T) {
		runCalls(t, false)
		falseRefusals += runCalls(t, true)
	})
	if falseRefusals == 0 {
		t.Fatal("the naive way never started a withdrawn call")
	}
}

// TestClosedAgentRefusesCalls checks that an agent which takes no new work refuses
// new calls and starts no queued call.
func TestClosedAgentRefusesCalls(t *testing.T) {
	cases := []struct {
		name  string
		close func(a *Agent, raw []byte)
		code  chiveverdict.Code
	}{
		{"zone out", func(a *Agent, raw []byte) { apply(a, raw, chiveconf.Head{OutZones: []string{"palermo"}}) }, chiveverdict.CodeDrain},
		{"endpoint drained", func(a *Agent, raw []byte) { apply(a, raw, chiveconf.Head{DrainingEndpoints: []string{testEndpoint}}) }, chiveverdict.CodeDrain},
		{"agent stops", func(a *Agent, _ []byte) { a.control.stop() }, chiveverdict.CodeDrain},
		{"no sync for long", func(a *Agent, _ []byte) { a.syncer.SetLastSync(time.Now().Add(-2 * maxSyncAge)) }, chiveverdict.CodeStale},
	}
	for _, c := range cases {
		chiveseed.Check(t, func(t *rapid.T) {
			a, stop := newTestAgent(t)
			defer stop()
			var calls []*testCall
			enqueue := func() {
				call := &chivelink.Call{ID: fmt.Sprint(len(calls)), Workspace: "hotels", Endpoint: testEndpoint, Cost: 1, Timeout: time.Second}
				queued := &testCall{admission: &admission{call: call, verdict: make(chan *chiveverdict.Failure, 2)}}
				calls = append(calls, queued)
				a.control.do(func() { a.control.enqueue(queued.admission) })
				queued.readVerdicts()
			}
			for range rapid.IntRange(0, 10).Draw(t, "before") {
				enqueue()
			}
			if got := a.state(); got != chivedaemon.StateServing {
				t.Fatalf("%s: state before the close is %q, want %q", c.name, got, chivedaemon.StateServing)
			}
			c.close(a, a.syncer.Config().RawSheet)
			if got := a.state(); c.code == chiveverdict.CodeStale && got != "stale" {
				t.Fatalf("%s: state is %q, want stale", c.name, got)
			}
			before := len(calls)
			for range rapid.IntRange(1, 5).Draw(t, "after") {
				enqueue()
				last := calls[len(calls)-1]
				if len(last.verdicts) != 1 || last.verdicts[0] == nil || last.verdicts[0].Code != c.code || last.verdicts[0].Verdict != chiveverdict.NotRun {
					t.Fatalf("%s: a call after the close got verdicts %v, want one refusal with verdict not-run", c.name, last.verdicts)
				}
			}
			for _, earlier := range calls[:before] {
				wasStarted := earlier.started()
				earlier.readVerdicts()
				if !wasStarted && earlier.started() {
					t.Fatalf("%s: a queued call was started after the close", c.name)
				}
			}
		})
	}
}

// apply applies the head as version 2 and waits until the agent uses it.
func apply(a *Agent, raw []byte, head chiveconf.Head) {
	head.Version, head.Digest = 2, chiveconf.SheetDigest(raw)
	_ = a.syncer.Apply(&head, raw, "test")
	for used := uint64(0); used != head.Version; {
		a.control.do(func() { used = a.control.config.Head.Version })
	}
}
