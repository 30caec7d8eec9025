package chivegateway

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

const (
	// ackTimeout is how long an agent may take to acknowledge a call.
	ackTimeout = 300 * time.Millisecond
	// withdrawTimeout is how long a gateway waits for an agent to take back a call
	// that must not be sent to another one before: as long as the agent is passed
	// over afterwards.
	withdrawTimeout = unreachableBlockTime
	// stallTimeout is how long a stream that has started may send nothing.
	stallTimeout = 2 * time.Second
	// maxQueueWait is how long a call may be queued at one agent.
	maxQueueWait = 600 * time.Millisecond
	// unreachableBlockTime is how long an endpoint is passed over after it did not
	// answer.
	unreachableBlockTime = 2 * time.Second
	// refusedBlockTime is how long an endpoint is passed over after it refused.
	refusedBlockTime = 300 * time.Millisecond
)

// An attempt is one call at one endpoint.
type attempt struct {
	gateway          *Gateway
	endpoint         *endpoint
	call             *chivelink.Call
	stream           *chivelink.Stream
	stopContextWatch func() bool
	// started says that the agent has begun to run the call.
	started bool
}

// openAttempt sends a call. The failure says whether the agent may run it. A call that
// may be repeated is sent once more where the agent was restarted and its old
// connection is found dead.
func (g *Gateway) openAttempt(ctx context.Context, e *endpoint, call *chivelink.Call) (*attempt, *chiveverdict.Failure) {
	a, f := g.sendCall(ctx, e, call)
	if f == nil || f.Code != chiveverdict.CodeUnreachable || !isRepeatable(call) || ctx.Err() != nil {
		return a, f
	}
	return g.sendCall(ctx, e, call)
}

// isRepeatable reports whether a call may reach an agent twice.
func isRepeatable(c *chivelink.Call) bool {
	return c.Generates() || c.Key != "" || isIdempotent(c.Method)
}

func (g *Gateway) sendCall(ctx context.Context, e *endpoint, call *chivelink.Call) (*attempt, *chiveverdict.Failure) {
	e.inFlight.Add(1)
	a := &attempt{gateway: g, endpoint: e, call: call}
	dialCtx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	stream, err := g.dialer.Call(dialCtx, e.sheet.Agent, call)
	if err != nil {
		e.inFlight.Add(-1)
		e.block(unreachableBlockTime)
		return nil, chiveverdict.FromError(err)
	}
	a.stream = stream
	a.stopContextWatch = context.AfterFunc(ctx, stream.Cancel)
	if f := a.awaitAck(); f != nil {
		a.close()
		return nil, f
	}
	return a, nil
}

// awaitAck waits until the agent has the call.
func (a *attempt) awaitAck() *chiveverdict.Failure {
	f := &chivelink.Frame{}
	a.stream.SetReceiveTimeout(ackTimeout)
	if err := a.stream.Receive(f); err != nil {
		a.markUnreachable()
		if chivelink.IsStopped(err) {
			return chiveverdict.NotRunf(chiveverdict.CodeDrain, refusedBlockTime, "endpoint %s has stopped", a.endpoint.sheet.Name)
		}
		return a.withdraw(chiveverdict.MayHaveRunf(chiveverdict.CodeUnreachable, "endpoint %s did not answer: %v", a.endpoint.sheet.Name, err))
	}
	return nil
}

// markUnreachable passes over an agent that does not answer, and dials it anew later.
func (a *attempt) markUnreachable() {
	a.endpoint.block(unreachableBlockTime)
	a.gateway.dialer.Retire(a.endpoint.sheet.Agent)
}

// nextFrame returns the nextFrame frame. A frame of kind FrameFail is returned as its
// failure.
func (a *attempt) nextFrame(f *chivelink.Frame, timeout time.Duration) *chiveverdict.Failure {
	for {
		*f = chivelink.Frame{Text: f.Text[:0]}
		a.stream.SetReceiveTimeout(timeout)
		if err := a.stream.Receive(f); err != nil {
			a.markUnreachable()
			f := a.withdraw(chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "endpoint %s broke off: %v", a.endpoint.sheet.Name, err))
			if f != nil {
				return f
			}
			continue
		}
		if f.Attempt != a.call.Attempt {
			continue
		}
		a.endpoint.recordLoad(f.Load)
		if f.Kind == chivelink.FrameFail {
			f.Failure.FromAgent = true
			a.blockEndpoint(f.Failure)
			return f.Failure
		}
		a.started = a.started || f.Kind == chivelink.FrameStart
		return nil
	}
}

// blockEndpoint passes an endpoint over that takes no work.
func (a *attempt) blockEndpoint(f *chiveverdict.Failure) {
	switch f.Code {
	case chiveverdict.CodeDrain, chiveverdict.CodeStale, chiveverdict.CodeOverload:
		a.endpoint.block(refusedBlockTime)
	case chiveverdict.CodeUnreachable, chiveverdict.CodeCut:
		a.endpoint.block(unreachableBlockTime)
	}
}

// withdraw takes back a call that has not started, as far as the agent still
// answers: only its promise makes the verdict NotRun. It returns nil where the
// agent has started the call meanwhile, so that its answer will follow.
func (a *attempt) withdraw(f *chiveverdict.Failure) *chiveverdict.Failure {
	if a.started || a.call.Generates() {
		return f
	}
	timeout := withdrawTimeout
	if isRepeatable(a.call) {
		timeout = ackTimeout
	}
	a.stream.Close()
	a.stream.SetReceiveTimeout(timeout)
	frame := &chivelink.Frame{}
	for a.stream.Receive(frame) == nil {
		switch {
		case frame.Kind == chivelink.FrameFail && frame.Failure.Verdict == chiveverdict.NotRun:
			return frame.Failure
		case frame.Kind == chivelink.FrameStart:
			a.started = true
			return nil
		}
		*frame = chivelink.Frame{}
	}
	return f
}

// close gives the attempt up.
func (a *attempt) close() {
	a.stopContextWatch()
	a.stream.Cancel()
	a.endpoint.inFlight.Add(-1)
}
