package chiveagent

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
)

// Call implements chivelink.Handler.Call. It acknowledges the call with FrameWait,
// runs it, and returns once the gateway has read the answer or closeTimeout has
// passed.
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

// closeTimeout bounds the wait for the gateway to read the last frame.
const closeTimeout = 2 * time.Second

// attempt is one call on its stream.
type attempt struct {
	agent  *Agent
	call   *chivelink.Call
	stream *chivelink.Stream
	// gatewayClosed is closed when the gateway closes its side of the stream, which
	// withdraws a call that has not started.
	gatewayClosed chan struct{}
}

// awaitGatewayClose closes gatewayClosed when the gateway closes its side of the
// stream.
func (r *attempt) awaitGatewayClose() {
	defer close(r.gatewayClosed)
	chiveguard.Do(r.agent.log, "end of a call", func() { _ = r.stream.Receive(&chivelink.OpenMessage{}) })
}

// closeStream closes the sending side and waits until the gateway has read the
// last frame. The frame would be lost if the agent stopped right after sending it.
func (r *attempt) closeStream() {
	r.stream.Close()
	select {
	case <-r.gatewayClosed:
	case <-time.After(closeTimeout):
		r.agent.unreadAnswer.Store(true)
	}
}

// sendFailure sends f as the last frame.
func (r *attempt) sendFailure(f *chiveverdict.Failure) {
	r.agent.metrics.refused.Inc(1)
	_ = r.stream.Send(&chivelink.Frame{
		Kind: chivelink.FrameFail, Attempt: r.call.Attempt, Failure: f, Load: r.agent.control.load(),
	})
}

// runUnkeyed runs a call without an idempotency key after its admission.
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

// runKeyed runs a call with an idempotency key, unless the key was used before in
// this incarnation. In that case it waits for the first call under the key to end
// and replays its answer.
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

// runFirst runs the first call under a key.
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

// admit queues the call and waits until it may start. A failure means that the
// call did not and will not run.
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

// withdraw removes a call from the queue, refusing it with f or, if f is nil, as
// overload. A call that has been admitted or refused in the meantime keeps that
// verdict.
func (r *attempt) withdraw(a *admission, f *chiveverdict.Failure) (*admission, *chiveverdict.Failure) {
	c := r.agent.control
	running := c.do(func() {
		if a.ticket == nil || !c.queue.Remove(a.ticket) {
			return
		}
		if f == nil {
			f = c.overloadRefusal()
		}
		a.verdict <- f
	})
	if !running {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeDrain, minRetryAfter, "agent has stopped")
	}
	return a, <-a.verdict
}

// runService runs an admitted call to a plain service.
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

// sendAnswer sends the answer of a service call, or its failure if err is not nil,
// as the last frame.
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
