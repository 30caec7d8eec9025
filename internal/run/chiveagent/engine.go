package chiveagent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveservice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

const (
	// healthPeriod is the interval between reads of the engine's metrics.
	healthPeriod = time.Second
	// healthTimeout bounds one read of the engine's metrics.
	healthTimeout = 2 * time.Second
)

// errGatewayGone is returned when a frame cannot be sent to the gateway.
var errGatewayGone = errors.New("gateway is gone")

// generation relays the output of one generation request from the engine to the
// gateway.
type generation struct {
	attempt *attempt
	frame   chivelink.Frame
	// hash covers the texts that this attempt has sent.
	hash *xxh3.Hasher
	// tokenCount is the length of the answer, including the tokens before the
	// call's offset.
	tokenCount   uint64
	promptTokens uint64
	finishReason string
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

// generate runs an admitted generation request.
func (r *attempt) generate(ctx context.Context, a *admission) {
	g := &generation{attempt: r, hash: xxh3.New(), tokenCount: r.call.Offset}
	g.frame = chivelink.Frame{Kind: chivelink.FrameStart, Attempt: r.call.Attempt}
	r.agent.metrics.started.Inc(1)
	r.agent.ring.Add("request", r.call.ID, "Generation starts at token %d, attempt %d.", r.call.Offset, r.call.Attempt)
	err := r.stream.Send(&g.frame)
	if err == nil {
		err = r.agent.engine.Generate(ctx, chiveengine.Generation{Body: r.call.Body, Offset: r.call.Offset, Partial: r.call.PartialText}, g.forward)
	}
	g.finish(ctx, a, err)
}

// forward sends one output event of the engine to the gateway. Events without
// text are only recorded.
func (g *generation) forward(out chiveengine.Output) error {
	if out.Usage != nil {
		g.promptTokens = out.Usage.PromptTokens
	}
	if out.FinishReason != "" {
		g.finishReason = out.FinishReason
	}
	if len(out.Text) == 0 {
		return nil
	}
	now := time.Now()
	if g.firstTokenAt.IsZero() {
		g.firstTokenAt = now
	}
	g.lastTokenAt = now
	_, _ = g.hash.Write(out.Text)
	g.frame = chivelink.Frame{
		Kind: chivelink.FrameDelta, Attempt: g.attempt.call.Attempt, Offset: g.tokenCount, TokenCount: 1, Text: out.Text,
	}
	g.tokenCount++
	if g.attempt.stream.Send(&g.frame) != nil {
		return errGatewayGone
	}
	return nil
}

// finish releases the call's slot and sends its last frame. A failure of the engine
// after the start of the request restarts the endpoint's slow start.
func (g *generation) finish(ctx context.Context, a *admission, err error) {
	agent := g.attempt.agent
	generated := g.tokenCount - g.attempt.call.Offset
	agent.metrics.tokens.Inc(int64(generated))
	complete := err == nil
	if !complete && ctx.Err() == nil && !errors.Is(err, errGatewayGone) && chiveverdict.FromError(err).Verdict != chiveverdict.NotRun {
		agent.control.restartSlowStart("the engine broke off a request")
	}
	agent.control.do(func() { agent.control.finish(a, generated, g.meanStepTime(generated), complete) })
	if !complete {
		agent.metrics.failed.Inc(1)
		agent.ring.Add("request", g.attempt.call.ID, "Generation broke off at token %d: %v.", g.tokenCount, err)
		g.attempt.sendFailure(chiveverdict.FromError(err))
		return
	}
	agent.metrics.finished.Inc(1)
	agent.ring.Add("request", g.attempt.call.ID, "Generation ended at token %d.", g.tokenCount)
	_ = g.attempt.stream.Send(&chivelink.Frame{
		Kind: chivelink.FrameEnd, Attempt: g.attempt.call.Attempt, Load: agent.control.load(),
		End: &chivelink.End{TokenCount: g.tokenCount, PromptTokens: g.promptTokens, Checksum: g.hash.Sum64(), FinishReason: g.finishReason},
	})
}

// meanStepTime returns the mean time between the given number of tokens, or 0 for
// fewer than two.
func (g *generation) meanStepTime(tokens uint64) time.Duration {
	if tokens < 2 {
		return 0
	}
	return g.lastTokenAt.Sub(g.firstTokenAt) / time.Duration(tokens-1)
}

// callService runs a call at the plain service.
func (a *Agent) callService(ctx context.Context, c *chivelink.Call) (*chivelink.Answer, error) {
	answer, err := a.service.Do(ctx, chiveservice.Request{Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, IdempotencyKey: c.Key})
	if err != nil {
		return nil, err
	}
	return &chivelink.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// watchHealth reads the engine's metrics every healthPeriod until the context
// ends.
func (a *Agent) watchHealth(ctx context.Context) error {
	tick := time.NewTicker(healthPeriod)
	defer tick.Stop()
	for {
		a.readHealth(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// readHealth reads the engine's metrics once, passes its start time to control and
// raises an alert if its ranks are held. A failed read is ignored.
func (a *Agent) readHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	began := time.Now()
	health, err := a.engine.Health(ctx)
	if err != nil || health.StartTime == 0 {
		return
	}
	a.control.setEngineStart(health.StartTime, began)
	if health.Held {
		a.alertHeldRanks(began)
	}
}

// alertHeldRanks raises an alert that the engine's ranks are held, unless they
// were held under the newest fencing token, whose coordinator will release them. The
// ID of the alert changes every alertTTL, so that repeated calls raise at most one
// alert in that time.
func (a *Agent) alertHeldRanks(now time.Time) {
	group, unattended := "", false
	a.control.do(func() {
		if c := a.control.config; c != nil {
			if e, _, ok := c.Endpoint(a.settings.Endpoint); ok {
				group, unattended = e.Group, !a.control.gate.Held()
			}
		}
	})
	if !unattended {
		return
	}
	id := fmt.Sprintf("%s/%d", a.settings.Endpoint, now.Unix()/int64(alertTTL.Seconds()))
	a.syncer.AddAlert(chivelink.Alert{Group: group, ID: id, TTL: alertTTL})
}

// alertTTL is the time after which an alert is dropped.
const alertTTL = 10 * time.Second
