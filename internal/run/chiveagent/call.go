package chiveagent

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
)

// Call implements chivelink.Handler.Call.
func (a *Agent) Call(ctx context.Context, c *chivelink.Call, s *chivelink.Stream) {
	a.activeCalls.Add(1)
	defer a.activeCalls.Add(-1)
	if s.Send(&chivelink.Frame{Kind: chivelink.FrameWait, Attempt: c.Attempt}) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	stop := context.AfterFunc(s.Context(), cancel)
	defer stop()
	r := &attempt{agent: a, call: c, stream: s, gatewayClosed: make(chan struct{})}
	go r.awaitGatewayClose()
	if c.Key != "" {
		r.runKeyed(ctx)
	} else {
		r.runUnkeyed(ctx)
	}
	r.closeStream()
}

// closeTimeout is how long a stream waits for its gateway to have read the answer.
const closeTimeout = 2 * time.Second

// attempt is one call at an agent.
type attempt struct {
	agent  *Agent
	call   *chivelink.Call
	stream *chivelink.Stream
	// gatewayClosed is closed when the gateway ends its side of the stream. Before the
	// call has started it withdraws the call by that.
	gatewayClosed chan struct{}
}

// awaitGatewayClose closes ended when the gateway ends its side.
func (r *attempt) awaitGatewayClose() {
	defer close(r.gatewayClosed)
	_ = r.stream.Receive(&chivelink.OpenMessage{})
}

// closeStream keeps the stream until the gateway has read the last frame, which an
// agent that stops right after would lose.
func (r *attempt) closeStream() {
	r.stream.Close()
	select {
	case <-r.gatewayClosed:
	case <-time.After(closeTimeout):
		r.agent.unreadAnswer.Store(true)
	}
}

// sendFailure sends a failure as the last frame.
func (r *attempt) sendFailure(f *chiveverdict.Failure) {
	r.agent.metrics.refused.Inc(1)
	_ = r.stream.Send(&chivelink.Frame{
		Kind: chivelink.FrameFail, Attempt: r.call.Attempt, Failure: f, Load: r.agent.control.load(),
	})
}

// runUnkeyed waits for the call's turn and runs it.
func (r *attempt) runUnkeyed(ctx context.Context) {
	admitted, refusal := r.admit(ctx)
	if refusal != nil {
		r.sendFailure(refusal)
		return
	}
	if r.call.Generates() {
		r.generate(ctx, admitted)
		return
	}
	answer, err := r.runService(ctx, admitted)
	r.sendAnswer(answer, err)
}

// runKeyed runs the call unless its key has been used in this incarnation.
func (r *attempt) runKeyed(ctx context.Context) {
	key := r.call.Workspace + "/" + r.call.Key
	decision, entry, refusal := r.agent.control.beginKey(key, r.call)
	if refusal != nil {
		r.sendFailure(refusal)
		return
	}
	if decision == chiveclaim.Wait {
		select {
		case <-entry.Done:
			r.runKeyed(ctx)
		case <-ctx.Done():
			r.sendFailure(chiveverdict.MayHaveRunf(chiveverdict.CodeTimeout, "the request under this key still runs"))
		}
		return
	}
	if decision == chiveclaim.Replay {
		replay := *entry.Answer
		replay.Replayed = true
		r.sendAnswer(&replay, nil)
		return
	}
	r.runFirst(ctx, key)
}

// runFirst runs the runFirst call under a key.
func (r *attempt) runFirst(ctx context.Context, key string) {
	admitted, refusal := r.admit(ctx)
	if refusal != nil {
		r.agent.control.endKey(key, r.call, nil, refusal)
		r.sendFailure(refusal)
		return
	}
	answer, err := r.runService(ctx, admitted)
	r.agent.control.endKey(key, r.call, answer, chiveverdict.FromError(err))
	r.sendAnswer(answer, err)
}

// admit waits until the call may start. A refusal means that the call did not
// and will not run.
func (r *attempt) admit(ctx context.Context) (*admission, *chiveverdict.Failure) {
	a := &admission{call: r.call, verdict: make(chan *chiveverdict.Failure, 1)}
	if !r.agent.control.do(func() { r.agent.control.enqueue(a) }) {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "agent has stopped")
	}
	timer := time.NewTimer(r.call.MaxQueueTime)
	defer timer.Stop()
	select {
	case f := <-a.verdict:
		return a, f
	case <-ctx.Done():
		return r.withdraw(a, chiveverdict.NotRunf(chiveverdict.CodeCanceled, 0, "call was given up"))
	case <-r.gatewayClosed:
		return r.withdraw(a, chiveverdict.NotRunf(chiveverdict.CodeCanceled, 0, "call was withdrawn"))
	case <-timer.C:
		return r.withdraw(a, nil)
	}
}

// withdraw takes a call out of the queue, unless it has started by then.
func (r *attempt) withdraw(a *admission, f *chiveverdict.Failure) (*admission, *chiveverdict.Failure) {
	c := r.agent.control
	alive := c.do(func() {
		if a.ticket == nil || !c.queue.Remove(a.ticket) {
			return
		}
		if f == nil {
			f = c.overloadRefusal()
		}
		a.verdict <- f
	})
	if !alive {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "agent has stopped")
	}
	return a, <-a.verdict
}

// runService runs a call of a plain service.
func (r *attempt) runService(ctx context.Context, a *admission) (*chivelink.Answer, error) {
	r.agent.metrics.started.Inc(1)
	r.agent.ring.Add("request", r.call.ID, "Service call %s %s starts, attempt %d.", r.call.Method, r.call.Path, r.call.Attempt)
	_ = r.stream.Send(&chivelink.Frame{Kind: chivelink.FrameStart, Attempt: r.call.Attempt})
	answer, err := r.agent.callService(ctx, r.call)
	if err != nil {
		r.agent.control.restartSlowStart("a service call broke off")
	}
	r.agent.control.do(func() { r.agent.control.finish(a, 1, 0, err == nil) })
	return answer, err
}

// sendAnswer sends the end of a service call.
func (r *attempt) sendAnswer(answer *chivelink.Answer, err error) {
	if err != nil {
		r.agent.metrics.failed.Inc(1)
		r.agent.ring.Add("request", r.call.ID, "Service call failed: %v.", err)
		r.sendFailure(chiveverdict.FromError(err))
		return
	}
	r.agent.metrics.finished.Inc(1)
	r.agent.ring.Add("request", r.call.ID, "Service call answered %d, replayed %t.", answer.Status, answer.Replayed)
	_ = r.stream.Send(&chivelink.Frame{
		Kind: chivelink.FrameAnswer, Attempt: r.call.Attempt, Answer: answer, Load: r.agent.control.load(),
	})
}
