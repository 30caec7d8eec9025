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

// errGateway is returned where the gateway no longer takes frames.
var errGateway = errors.New("gateway is gone")

// generation relays one generation request from the engine to the gateway.
type generation struct {
	run    *attempt
	frame  chivelink.Frame
	hash   *xxh3.Hasher
	tokens uint64
	prompt uint64
	finish string
	first  time.Time
	last   time.Time
}

// generate runs a generation request.
func (r *attempt) generate(ctx context.Context, a *admission) {
	g := &generation{run: r, hash: xxh3.New(), tokens: r.call.Offset}
	g.frame = chivelink.Frame{Kind: chivelink.FrameStart, Attempt: r.call.Attempt}
	r.agent.metrics.started.Inc(1)
	r.agent.ring.Add("request", r.call.ID, "Generation starts at token %d, attempt %d.", r.call.Offset, r.call.Attempt)
	err := r.stream.Send(&g.frame)
	if err == nil {
		err = r.agent.engine.Generate(ctx, chiveengine.Generation{Body: r.call.Body, Offset: r.call.Offset, Partial: r.call.Partial}, g.emit)
	}
	g.close(ctx, a, err)
}

// emit sends one event of the engine on.
func (g *generation) emit(out chiveengine.Output) error {
	if out.Usage != nil {
		g.prompt = out.Usage.PromptTokens
	}
	if out.FinishReason != "" {
		g.finish = out.FinishReason
	}
	if len(out.Text) == 0 {
		return nil
	}
	now := time.Now()
	if g.first.IsZero() {
		g.first = now
	}
	g.last = now
	_, _ = g.hash.Write(out.Text)
	g.frame = chivelink.Frame{
		Kind: chivelink.FrameDelta, Attempt: g.run.call.Attempt, Offset: g.tokens, Count: 1, Text: out.Text,
	}
	g.tokens++
	if g.run.stream.Send(&g.frame) != nil {
		return errGateway
	}
	return nil
}

// close settles the request and sends its last frame.
func (g *generation) close(ctx context.Context, a *admission, err error) {
	agent := g.run.agent
	made := g.tokens - g.run.call.Offset
	agent.metrics.tokens.Inc(int64(made))
	whole := err == nil
	if !whole && ctx.Err() == nil && !errors.Is(err, errGateway) && chiveverdict.FromError(err).Verdict != chiveverdict.NotRun {
		agent.control.coldAgain("the engine broke off a request")
	}
	agent.control.do(func() { agent.control.settle(a, made, g.step(made), whole) })
	if !whole {
		agent.metrics.failed.Inc(1)
		agent.ring.Add("request", g.run.call.ID, "Generation broke off at token %d: %v.", g.tokens, err)
		g.run.fail(chiveverdict.FromError(err))
		return
	}
	agent.metrics.finished.Inc(1)
	agent.ring.Add("request", g.run.call.ID, "Generation ended at token %d.", g.tokens)
	_ = g.run.stream.Send(&chivelink.Frame{
		Kind: chivelink.FrameEnd, Attempt: g.run.call.Attempt, Load: agent.control.load(),
		End: &chivelink.End{Tokens: g.tokens, Prompt: g.prompt, Sum: g.hash.Sum64(), Finish: g.finish},
	})
}

// step returns the mean time between tokens.
func (g *generation) step(tokens uint64) time.Duration {
	if tokens < 2 {
		return 0
	}
	return g.last.Sub(g.first) / time.Duration(tokens-1)
}

// serveOnce runs a call at the service.
func (a *Agent) serveOnce(ctx context.Context, c *chivelink.Call) (*chivelink.Answer, error) {
	answer, err := a.service.Do(ctx, chiveservice.Request{Method: c.Method, Path: c.Path, ContentType: c.Type, Body: c.Body, IdempotencyKey: c.Key})
	if err != nil {
		return nil, err
	}
	return &chivelink.Answer{Status: answer.Status, Type: answer.ContentType, Body: answer.Body}, nil
}

// watch reads the engine's metrics until the context ends.
func (a *Agent) watch(ctx context.Context) error {
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
	a.control.seen(health.StartTime, began)
	if health.Held {
		a.alertHeld(began)
	}
}

// alertHeld raises an alert where the ranks wait though no coordinator is at
// work, anew after each alertTime.
func (a *Agent) alertHeld(now time.Time) {
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
	id := fmt.Sprintf("%s/%d", a.settings.Endpoint, now.Unix()/int64(alertTime.Seconds()))
	a.spreader.Alert(chivelink.Alert{Group: group, ID: id, Left: alertTime})
}

// alertTime is how long an alert is kept.
const alertTime = 10 * time.Second
