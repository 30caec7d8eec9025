package chivegateway

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

const (
	// ackTimeout bounds the wait for an agent to acknowledge a call.
	ackTimeout = 300 * time.Millisecond
	// withdrawTimeout bounds the wait for an agent to confirm that it withdraws
	// a call that is not repeatable. Only then may the call be sent to another
	// agent. The timeout equals the time for which the agent is not selected
	// afterwards.
	withdrawTimeout = unreachableBlockTime
	// stallTimeout is the longest time between two frames of a stream that has
	// started.
	stallTimeout = 2 * time.Second
	// maxQueueWait is the longest time that a call may be queued at one agent.
	maxQueueWait = 600 * time.Millisecond
	// unreachableBlockTime is how long an endpoint is not selected after it did
	// not answer.
	unreachableBlockTime = 2 * time.Second
	// refusedBlockTime is how long an endpoint is not selected after it refused
	// a call.
	refusedBlockTime = 300 * time.Millisecond
)

// attempt is one call at one endpoint.
type attempt struct {
	gateway  *Gateway
	endpoint *endpoint
	call     *chivelink.Call
	stream   *chivelink.Stream
	// stopContextWatch stops the cancellation of the stream by the context of
	// the request.
	stopContextWatch func() bool
	// started is set once the agent has begun to run the call.
	started bool
}

// openAttempt sends a call and waits for its acknowledgement. The verdict of
// the failure says whether the agent may run the call. A repeatable call is
// sent a second time if the agent is unreachable: after a restart of the agent,
// the first attempt finds the old connection dead.
func (g *Gateway) openAttempt(ctx context.Context, e *endpoint, call *chivelink.Call) (*attempt, *chiveverdict.Failure) {
	a, f := g.sendCall(ctx, e, call)
	if f == nil || f.Code != chiveverdict.CodeUnreachable || !isRepeatable(call) || ctx.Err() != nil {
		return a, f
	}
	return g.sendCall(ctx, e, call)
}

// isRepeatable reports whether a call may reach an agent twice. Generations
// may, calls with a key run once, and other calls depend on their method.
func isRepeatable(c *chivelink.Call) bool {
	return c.Generates() || c.Key != "" || isIdempotent(c.Method)
}

// sendCall sends a call once and waits for its acknowledgement. It blocks the
// endpoint if it cannot be reached.
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

// awaitAck waits for the first frame, with which the agent acknowledges the
// call.
func (a *attempt) awaitAck() *chiveverdict.Failure {
	frame := &chivelink.Frame{}
	a.stream.SetReceiveTimeout(ackTimeout)
	if err := a.stream.Receive(frame); err != nil {
		a.markUnreachable()
		if chivelink.IsStopped(err) {
			return chiveverdict.NotRunf(chiveverdict.CodeDrain, refusedBlockTime, "endpoint %s has stopped", a.endpoint.sheet.Name)
		}
		return a.withdraw(chiveverdict.MayHaveRunf(chiveverdict.CodeUnreachable, "endpoint %s did not answer: %v", a.endpoint.sheet.Name, err))
	}
	return nil
}

// markUnreachable blocks the endpoint and closes the connection to its agent to
// new streams, so that the next call dials again.
func (a *attempt) markUnreachable() {
	a.endpoint.block(unreachableBlockTime)
	a.gateway.dialer.Retire(a.endpoint.sheet.Agent)
}

// nextFrame receives the next frame into frame, which keeps its text buffer. It
// returns the failure of a FrameFail, or a failure if no frame arrives within
// the timeout. Frames of other attempts are skipped.
func (a *attempt) nextFrame(frame *chivelink.Frame, timeout time.Duration) *chiveverdict.Failure {
	for {
		*frame = chivelink.Frame{Text: frame.Text[:0]}
		a.stream.SetReceiveTimeout(timeout)
		if err := a.stream.Receive(frame); err != nil {
			a.markUnreachable()
			f := a.withdraw(chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "endpoint %s broke off: %v", a.endpoint.sheet.Name, err))
			if f != nil {
				return f
			}
			continue
		}
		if frame.Attempt != a.call.Attempt {
			continue
		}
		a.endpoint.recordLoad(frame.Load)
		if frame.Kind == chivelink.FrameFail {
			frame.Failure.FromAgent = true
			a.blockEndpoint(frame.Failure)
			return frame.Failure
		}
		a.started = a.started || frame.Kind == chivelink.FrameStart
		return nil
	}
}

// blockEndpoint blocks the endpoint if its failure shows that it takes no work
// or is unreachable.
func (a *attempt) blockEndpoint(f *chiveverdict.Failure) {
	switch f.Code {
	case chiveverdict.CodeDrain, chiveverdict.CodeStale, chiveverdict.CodeOverload:
		a.endpoint.block(refusedBlockTime)
	case chiveverdict.CodeUnreachable, chiveverdict.CodeCut:
		a.endpoint.block(unreachableBlockTime)
	}
}

// withdraw closes the sending side of a call that has not started, and waits
// for the agent to confirm that the call will not run. With that confirmation
// it returns the failure of verdict NotRun that the agent sent, without it the
// failure f. It returns nil if the agent has started the call in the meantime,
// so that its answer follows.
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

// close cancels the stream and releases the attempt.
func (a *attempt) close() {
	a.stopContextWatch()
	a.stream.Cancel()
	a.endpoint.inFlight.Add(-1)
}
