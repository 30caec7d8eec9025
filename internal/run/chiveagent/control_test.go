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
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesync"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

const testEndpoint = "draft-1"

// newTestAgent returns an agent of the example without sockets, whose control
// goroutine runs until the function that is returned is called.
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

// testCall is a call at the agent with what became of it.
type testCall struct {
	admission *admission
	verdicts  []*chiveverdict.Failure
	withdrawn bool
	finished  bool
}

// started reports whether the call was let run.
func (c *testCall) started() bool {
	return len(c.verdicts) == 1 && c.verdicts[0] == nil
}

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

// withdraw withdraws a call. The naive way says that it did not run and leaves it
// in the queue.
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

// runCalls makes generated calls, withdrawals and ends, and returns the calls
// that were let run although they had been given up as not run.
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
		t.Fatalf("%d calls run, the agent counts %d of at most %d", running, load.Running, load.Limit)
	}
}

// TestOneVerdictPerCall checks that a call is either let run or refused,
// never both, and that no more run than the limit. The naive way to give up runs
// calls that were said not to run.
func TestOneVerdictPerCall(t *testing.T) {
	defer goleak.VerifyNone(t)
	falseRefusals := 0
	chiveseed.Check(t, func(t *rapid.T) {
		runCalls(t, false)
		falseRefusals += runCalls(t, true)
	})
	if falseRefusals == 0 {
		t.Fatal("the naive way never ran a call that it had given up")
	}
}

// TestClosedAgentRefusesCalls closes an agent with calls running and waiting:
// what runs goes on, what waits is refused, and nothing starts any more.
func TestClosedAgentRefusesCalls(t *testing.T) {
	cases := []struct {
		name  string
		close func(a *Agent, raw []byte)
		code  chiveverdict.Code
	}{
		{"zone out", func(a *Agent, raw []byte) { apply(a, raw, chiveconf.Head{OutZones: []string{"palermo"}}) }, chiveverdict.CodeDrain},
		{"endpoint drained", func(a *Agent, raw []byte) { apply(a, raw, chiveconf.Head{DrainingEndpoints: []string{testEndpoint}}) }, chiveverdict.CodeDrain},
		{"agent stops", func(a *Agent, _ []byte) { a.control.stop() }, chiveverdict.CodeDrain},
		{"no sync for long", func(a *Agent, _ []byte) { a.syncer.SetLastSync(time.Now().Add(-2 * maxConfigAge)) }, chiveverdict.CodeStale},
	}
	for _, c := range cases {
		chiveseed.Check(t, func(t *rapid.T) {
			a, stop := newTestAgent(t)
			defer stop()
			var calls []*testCall
			push := func() {
				call := &chivelink.Call{ID: fmt.Sprint(len(calls)), Workspace: "hotels", Endpoint: testEndpoint, Cost: 1, Timeout: time.Second}
				one := &testCall{admission: &admission{call: call, verdict: make(chan *chiveverdict.Failure, 2)}}
				calls = append(calls, one)
				a.control.do(func() { a.control.enqueue(one.admission) })
				one.readVerdicts()
			}
			for range rapid.IntRange(0, 10).Draw(t, "before") {
				push()
			}
			c.close(a, a.syncer.Config().RawSheet)
			before := len(calls)
			for range rapid.IntRange(1, 5).Draw(t, "after") {
				push()
				last := calls[len(calls)-1]
				if len(last.verdicts) != 1 || last.verdicts[0] == nil || last.verdicts[0].Code != c.code || last.verdicts[0].Verdict != chiveverdict.NotRun {
					t.Fatalf("%s: a later call got %v", c.name, last.verdicts)
				}
			}
			for _, old := range calls[:before] {
				was := old.started()
				old.readVerdicts()
				if !was && old.started() {
					t.Fatalf("%s: a call that waited was started", c.name)
				}
			}
		})
	}
}

// apply puts the next version in force and waits until the agent uses it.
func apply(a *Agent, raw []byte, head chiveconf.Head) {
	head.Version, head.Digest = 2, chiveconf.SheetDigest(raw)
	_ = a.syncer.Apply(&head, raw, "test")
	for used := uint64(0); used != head.Version; {
		a.control.do(func() { used = a.control.config.Head.Version })
	}
}
