package chiveagent

import (
	"context"
	"time"

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
	// maxConfigAge is the time without a sync after which the configuration is
	// too old to take new work under it.
	maxConfigAge = 3 * time.Second
	// minRetryAfter is what a refused caller is told to wait at least.
	minRetryAfter = 500 * time.Millisecond
)

// control owns all control state of an agent. Its methods run their work on
// the one control goroutine.
type control struct {
	agent    *Agent
	commands chan func()
	done     chan struct{}

	// The rest belongs to the control goroutine.

	config   *chiveconf.Config
	limiter  *chivewarm.Limiter
	queue    chivefair.Queue[*admission]
	keys     chiveclaim.KeyTable[chivelink.Answer]
	keyBoot  uint64
	gate     chiveswitch.Gate
	stopping bool
	// engineStart is the engine's engineStart time as last read.
	engineStart float64
	// verifying says that the engine was idle, so that it may have been
	// restarted unseen: until its start time is read again it is given no more
	// than it bears cold.
	verifying bool
	// verifyingSince is when verifying began.
	verifyingSince time.Time
}

// admission is a call that waits for its turn. Verdict gets nil when the call
// may start, or its refusal.
type admission struct {
	call      *chivelink.Call
	verdict   chan *chiveverdict.Failure
	ticket    *chivefair.Ticket[*admission]
	startedAt time.Time
}

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

// run is the control goroutine.
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

// do runs f on the control goroutine and waits for it. It returns false after
// the control goroutine has ended.
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

// applyConfig puts a new configuration into use.
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

// refuseQueued refuses the waiting calls where the endpoint takes no new work.
func (c *control) refuseQueued() {
	if c.refusal() == nil {
		return
	}
	now := time.Now()
	for t := c.queue.Pop(now); t != nil; t = c.queue.Pop(now) {
		t.Item.verdict <- c.refusal()
	}
}

// refusal returns the refusal of all new work, or nil while the endpoint takes
// work.
func (c *control) refusal() *chiveverdict.Failure {
	name := c.agent.settings.Endpoint
	if c.stopping {
		return chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "endpoint %s is stopping", name)
	}
	if c.config == nil || time.Since(c.agent.syncer.LastSync()) > maxConfigAge {
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

// checkCall returns the refusal of a call that may not be queued.
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

// enqueue queues a call.
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

// mustQueue reports whether a call would have to wait.
func (c *control) mustQueue() bool {
	return c.queue.Len() > 0 || c.limiter.Running() >= c.capacity()
}

// capacity returns the number of calls that the endpoint capacity as far as its
// engine's incarnation is known.
func (c *control) capacity() int {
	if c.verifying {
		return min(c.limiter.Limit(), c.limiter.ColdLimit)
	}
	return c.limiter.Limit()
}

// overloadRefusal returns the refusal of a call that would wait too long.
func (c *control) overloadRefusal() *chiveverdict.Failure {
	return chiveverdict.NotRunf(chiveverdict.CodeOverload, c.estimateQueueTime(), "endpoint %s is overloaded", c.agent.settings.Endpoint)
}

// estimateQueueTime estimates how long the waiting calls will take.
func (c *control) estimateQueueTime() time.Duration {
	perToken := c.limiter.MeanStepTime() / time.Duration(c.limiter.Limit())
	return max(minRetryAfter, time.Duration(c.queue.QueuedCost())*perToken)
}

// startQueued starts waiting calls up to the limit.
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

// canStart reports whether one more call may run. After idleness it has the
// engine's start time read; while calls run, a restart shows by their breaking
// off.
func (c *control) canStart() bool {
	if c.limiter.Running() == 0 && !c.verifying {
		c.verifying, c.verifyingSince = true, time.Now()
		go c.agent.readHealth(context.Background())
	}
	return c.limiter.Running() < c.capacity()
}

// finish counts out a call that ran, with its tokens and the time between them.
func (c *control) finish(a *admission, tokens uint64, step time.Duration, whole bool) {
	c.queue.CorrectCost(time.Now(), a.ticket, float64(max(tokens, 1)))
	if whole && c.engineStart == 0 {
		c.verifying = false
	}
	if !whole {
		c.limiter.Fail()
	} else if c.limiter.End(step) {
		c.agent.ring.Add("cold", c.agent.settings.Endpoint, "Step time shows a cold endpoint.")
	}
	c.startQueued()
}

// restartSlowStart sends the endpoint back to the start of its ramp.
func (c *control) restartSlowStart(cause string) {
	c.do(func() {
		c.limiter.Reset()
		c.agent.ring.Add("cold", c.agent.settings.Endpoint, "Slow start begins: %s.", cause)
	})
}

// setEngineStart takes the engine's start time, which is new in every incarnation, from a
// read that began at a time.
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

// stop refuses all new work from now on.
func (c *control) stop() {
	c.do(func() {
		c.stopping = true
		c.refuseQueued()
	})
}

// idle reports whether no call waits or runs.
func (c *control) idle() bool {
	idle := true
	c.do(func() { idle = c.queue.Len() == 0 && c.limiter.Running() == 0 })
	return idle
}

// load returns what gateways are told of the endpoint.
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
