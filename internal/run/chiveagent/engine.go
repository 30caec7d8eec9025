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
	// healthPeriod is the time between two reads of the engine's metrics.
	healthPeriod = time.Second
	// healthTimeout bounds one read.
	healthTimeout = 2 * time.Second
)

// errGatewayGone is returned where the gateway no longer takes frames.
var errGatewayGone = errors.New("gateway is gone")

// generation relays one generation request from the engine to the gateway.
type generation struct {
	attempt      *attempt
	frame        chivelink.Frame
	hash         *xxh3.Hasher
	tokenCount   uint64
	promptTokens uint64
	finishReason string
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

// generate runs a generation request.
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

// forward sends one event of the engine on.
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

// finish settles the request and sends its last frame.
func (g *generation) finish(ctx context.Context, a *admission, err error) {
	agent := g.attempt.agent
	made := g.tokenCount - g.attempt.call.Offset
	agent.metrics.tokens.Inc(int64(made))
	whole := err == nil
	if !whole && ctx.Err() == nil && !errors.Is(err, errGatewayGone) && chiveverdict.FromError(err).Verdict != chiveverdict.NotRun {
		agent.control.restartSlowStart("the engine broke off a request")
	}
	agent.control.do(func() { agent.control.finish(a, made, g.meanStepTime(made), whole) })
	if !whole {
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

// meanStepTime returns the mean time between tokens.
func (g *generation) meanStepTime(tokens uint64) time.Duration {
	if tokens < 2 {
		return 0
	}
	return g.lastTokenAt.Sub(g.firstTokenAt) / time.Duration(tokens-1)
}

// callService runs a call at the service.
func (a *Agent) callService(ctx context.Context, c *chivelink.Call) (*chivelink.Answer, error) {
	answer, err := a.service.Do(ctx, chiveservice.Request{Method: c.Method, Path: c.Path, ContentType: c.ContentType, Body: c.Body, IdempotencyKey: c.Key})
	if err != nil {
		return nil, err
	}
	return &chivelink.Answer{Status: answer.Status, ContentType: answer.ContentType, Body: answer.Body}, nil
}

// watchHealth reads the engine's metrics until the context ends.
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

// alertHeldRanks raises an alert where the ranks wait though no coordinator is at
// work, anew after each alertTime.
func (a *Agent) alertHeldRanks(now time.Time) {
	group, waits := "", false
	a.control.do(func() {
		if c := a.control.config; c != nil {
			if e, _, ok := c.Endpoint(a.settings.Endpoint); ok {
				group, waits = e.Group, !a.control.gate.Held()
			}
		}
	})
	if !waits {
		return
	}
	id := fmt.Sprintf("%s/%d", a.settings.Endpoint, now.Unix()/int64(alertTTL.Seconds()))
	a.syncer.AddAlert(chivelink.Alert{Group: group, ID: id, TTL: alertTTL})
}

// alertTTL is how long an alert is kept.
const alertTTL = 10 * time.Second
