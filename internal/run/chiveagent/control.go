package chiveagent

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivewarm"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

const (
	// maxSyncAge is the time since the last sync from a gateway after which the
	// agent takes no new work, because its configuration may be stale.
	maxSyncAge = 3 * time.Second
	// minRetryAfter is the shortest retry delay that a refusal tells the caller.
	minRetryAfter = 500 * time.Millisecond
)

// control holds the admission state of an agent: configuration, queue, limiter,
// idempotency keys and the gate that admits map orders. Only the control goroutine
// accesses these; methods that use do may be called from any other goroutine, all
// others only from this one.
type control struct {
	agent    *Agent
	commands chan func()
	done     chan struct{}

	// The fields below are accessed only on the control goroutine.

	config  *chiveconf.Config
	limiter *chivewarm.Limiter
	queue   chivefair.Queue[*admission]
	keys    chiveclaim.KeyTable[chivelink.Answer]
	// keyBoot is the incarnation that calls with idempotency keys are bound to. It
	// changes when all keys are dropped.
	keyBoot  uint64
	gate     chiveswitch.Gate
	stopping bool
	// engineStart is the engine's start time in Unix seconds as last read, 0 before
	// the first read.
	engineStart float64
	// verifying is true after the engine was idle, when a restart may have gone
	// unnoticed. Until its start time is read again, the endpoint's limit is at
	// most that of a cold engine. If the start time was never read, a call that
	// completes ends this as well: some engines do not report it.
	verifying bool
	// verifyingSince is the time at which verifying was last set.
	verifyingSince time.Time
}

// admission is a call that waits to start. Its verdict channel receives one
// value: nil when the call may start, otherwise its refusal.
type admission struct {
	call      *chivelink.Call
	verdict   chan *chiveverdict.Failure
	ticket    *chivefair.Ticket[*admission]
	startedAt time.Time
}

// newControl returns the control state of an agent that has no configuration yet.
func newControl(a *Agent) *control {
	boot := a.syncer.Node.Boot
	return &control{
		agent:    a,
		commands: make(chan func(), 64),
		done:     make(chan struct{}),
		limiter:  chivewarm.NewLimiter(1, 1),
		queue:    chivefair.Queue[*admission]{MaxLen: a.settings.Queue},
		keyBoot:  boot,
		gate:     chiveswitch.Gate{Boot: boot},
	}
}

// run runs the control goroutine until the context ends.
func (c *control) run(ctx context.Context) error {
	defer close(c.done)
	for {
		changed := c.agent.syncer.Changed()
		c.applyConfig()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case f := <-c.commands:
			f()
		}
	}
}

// do runs f on the control goroutine and waits for it. It returns false if the
// control goroutine has ended.
func (c *control) do(f func()) bool {
	ended := make(chan struct{})
	select {
	case c.commands <- func() { f(); close(ended) }:
	case <-c.done:
		return false
	}
	select {
	case <-ended:
		return true
	case <-c.done:
		return false
	}
}

// applyConfig adopts the syncer's configuration if it has changed.
func (c *control) applyConfig() {
	config := c.agent.syncer.Config()
	if config == c.config {
		return
	}
	c.config = config
	if e, _, ok := config.Endpoint(c.agent.settings.Endpoint); ok {
		c.limiter.Resize(e.Cold, e.Full)
	}
	c.refuseQueued()
	c.startQueued()
}

// refuseQueued refuses all queued calls if the endpoint takes no new work.
func (c *control) refuseQueued() {
	if c.refusal() == nil {
		return
	}
	now := time.Now()
	for t := c.queue.Pop(now); t != nil; t = c.queue.Pop(now) {
		t.Item.verdict <- c.refusal()
	}
}

// refusal returns the failure with which every call is refused, or nil while the
// endpoint takes new work.
func (c *control) refusal() *chiveverdict.Failure {
	name := c.agent.settings.Endpoint
	if c.stopping {
		return chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "endpoint %s is stopping", name)
	}
	if c.config == nil || c.agent.isStale() {
		return chiveverdict.NotRunf(chiveverdict.CodeStale, minRetryAfter, "endpoint %s has no fresh configuration", name)
	}
	e, _, ok := c.config.Endpoint(name)
	if !ok {
		return chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "endpoint %s is not in the sheet", name)
	}
	if !c.config.AcceptsWork(e) {
		return chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "endpoint %s or its availability zone %s takes no new work", name, e.Zone)
	}
	return nil
}

// checkCall returns the call's workspace, or the refusal of a call that must not
// be queued.
func (c *control) checkCall(call *chivelink.Call) (*chivesheet.Workspace, *chiveverdict.Failure) {
	if f := c.refusal(); f != nil {
		return nil, f
	}
	if call.Endpoint != c.agent.settings.Endpoint {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeMismatch, minRetryAfter, "call is for endpoint %s, not %s", call.Endpoint, c.agent.settings.Endpoint)
	}
	w, ok := c.config.Workspace(call.Workspace)
	if !ok {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeKey, 0, "workspace %s does not exist", call.Workspace)
	}
	return w, nil
}

// enqueue queues a call or refuses it, and starts the calls that may run. A full
// queue drops the newest call of the workspace that is most over its share.
func (c *control) enqueue(a *admission) {
	w, refusal := c.checkCall(a.call)
	if refusal != nil {
		a.verdict <- refusal
		return
	}
	if a.call.NoQueue && c.mustQueue() {
		a.verdict <- chiveverdict.NotRunf(chiveverdict.CodeBusy, 0, "endpoint %s has no free slot", a.call.Endpoint)
		return
	}
	now := time.Now()
	c.queue.SetGatewayRate(now, w.Name, a.call.Gateway, a.call.WorkspaceRate)
	ticket, dropped := c.queue.Push(now, w.Name, w.Share, float64(max(a.call.Cost, 1)), a.call.Gateway, a)
	a.ticket = ticket
	if dropped != nil {
		dropped.Item.verdict <- c.overloadRefusal()
	}
	c.startQueued()
}

// mustQueue reports whether a new call would have to wait in the queue.
func (c *control) mustQueue() bool {
	return c.queue.Len() > 0 || c.limiter.Running() >= c.capacity()
}

// capacity returns the number of calls that may run at once: the limiter's limit,
// but at most that of a cold engine while verifying.
func (c *control) capacity() int {
	if c.verifying {
		return min(c.limiter.Limit(), c.limiter.ColdLimit)
	}
	return c.limiter.Limit()
}

// overloadRefusal returns the refusal of a call that was dropped from the queue or
// has waited for its maximum time.
func (c *control) overloadRefusal() *chiveverdict.Failure {
	return chiveverdict.NotRunf(chiveverdict.CodeOverload, c.estimateQueueTime(), "endpoint %s is overloaded", c.agent.settings.Endpoint)
}

// estimateQueueTime estimates the time to run all queued calls, at least
// minRetryAfter.
func (c *control) estimateQueueTime() time.Duration {
	perToken := c.limiter.MeanStepTime() / time.Duration(c.limiter.Limit())
	return max(minRetryAfter, time.Duration(c.queue.QueuedCost())*perToken)
}

// startQueued starts queued calls up to the capacity and updates the gauges.
func (c *control) startQueued() {
	for c.queue.Len() > 0 && c.canStart() && c.limiter.Begin() {
		t := c.queue.Pop(time.Now())
		t.Item.startedAt = time.Now()
		t.Item.verdict <- nil
	}
	m := &c.agent.metrics
	m.running.Update(float64(c.limiter.Running()))
	m.waiting.Update(float64(c.queue.Len()))
	m.limit.Update(float64(c.limiter.Limit()))
}

// canStart reports whether one more call may run. If the engine was idle, canStart
// has its start time read again. A restart while calls run needs no such check,
// because it makes them fail.
func (c *control) canStart() bool {
	if c.limiter.Running() == 0 && !c.verifying {
		c.verifying, c.verifyingSince = true, time.Now()
		go chiveguard.Do(c.agent.log, "reading of the health", func() { c.agent.readHealth(context.Background()) })
	}
	return c.limiter.Running() < c.capacity()
}

// finish releases the slot of a call that ran. It charges the workspace for the
// tokens, and passes the mean time between tokens to the slow start. Complete is
// false if the call failed.
func (c *control) finish(a *admission, tokens uint64, meanStepTime time.Duration, complete bool) {
	c.queue.CorrectCost(time.Now(), a.ticket, float64(max(tokens, 1)))
	if complete && c.engineStart == 0 {
		c.verifying = false
	}
	if !complete {
		c.limiter.Fail()
	} else if c.limiter.End(meanStepTime) {
		c.agent.ring.Add("cold", c.agent.settings.Endpoint, "Step time shows a cold endpoint.")
	}
	c.startQueued()
}

// restartSlowStart sets the endpoint's limit back to that of a cold engine.
func (c *control) restartSlowStart(cause string) {
	c.do(func() {
		c.limiter.Reset()
		c.agent.ring.Add("cold", c.agent.settings.Endpoint, "Slow start begins: %s.", cause)
	})
}

// setEngineStart records the engine's start time, in Unix seconds, from a read that
// began at the given time. A changed start time means that the engine was
// restarted, and restarts the slow start.
func (c *control) setEngineStart(start float64, began time.Time) {
	c.do(func() {
		if c.engineStart != 0 && start != c.engineStart {
			c.limiter.Reset()
			c.agent.ring.Add("cold", c.agent.settings.Endpoint, "Slow start begins: engine was restarted.")
		}
		c.engineStart = start
		if began.After(c.verifyingSince) {
			c.verifying = false
		}
		c.startQueued()
	})
}

// stop refuses all queued and all new calls from now on.
func (c *control) stop() {
	c.do(func() {
		c.stopping = true
		c.refuseQueued()
	})
}

// idle reports whether no call is queued or running. It returns true after the
// control goroutine has ended.
func (c *control) idle() bool {
	idle := true
	c.do(func() { idle = c.queue.Len() == 0 && c.limiter.Running() == 0 })
	return idle
}

// load returns the endpoint's load for a gateway.
func (c *control) load() *chivelink.Load {
	l := &chivelink.Load{}
	c.do(func() {
		l.Running = c.limiter.Running()
		l.Waiting = c.queue.Len()
		l.Limit = c.limiter.Limit()
		l.MeanStepTime = c.limiter.MeanStepTime()
		l.Boot = c.keyBoot
	})
	return l
}
