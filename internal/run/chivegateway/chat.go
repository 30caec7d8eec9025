package chivegateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/xxh3"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivecaller"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveroute"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

const (
	// maxBody is the largest body of a request, in bytes.
	maxBody = 1 << 20
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// probes is the number of attempts that are refused rather than queued: the
	// agent knows whether it has a free slot, a gateway only guesses.
	probes = 2
	// maxTimeout bounds what a caller may state.
	maxTimeout = 10 * time.Minute
	// busyAfter is what a caller is told to wait where no endpoint takes work.
	busyAfter = time.Second
	// timeoutHeader states a request's deadline, in seconds.
	timeoutHeader = "X-Request-Timeout"
	// idHeader states the request's identity to the caller.
	idHeader = "X-Request-Id"
)

// An answerer writes an answer to a caller.
type answerer interface {
	// Begun reports whether the caller has got a part of the answer.
	Begun() bool
	// Text writes tokens as a JSON string.
	Text(text []byte) error
	// End writes the end of a whole answer.
	End(finish string, usage chiveengine.Usage) error
}

// errCaller is returned where the caller no longer reads.
var errCaller = errors.New("caller is gone")

// chatRun is one generation request.
type chatRun struct {
	gateway   *Gateway
	workspace *chivesheet.Workspace
	chat      *chiveengine.ChatRequest
	body      []byte
	id        string
	prefix    uint64
	out       answerer
	began     time.Time

	attempts uint32
	// cost is the expected cost of the present attempt.
	cost  uint64
	tried []*endpoint
	frame chivelink.Frame
	// offset is the number of tokens that the caller has, parts their texts as
	// JSON strings one after another.
	offset uint64
	parts  []byte
}

// chat answers POST /v1/chat/completions.
func (g *Gateway) chat(c echo.Context) error {
	workspace, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	body, f := readBody(c)
	if f != nil {
		return g.refuse(c, f)
	}
	chat, err := chiveengine.UnmarshalChat(body)
	if err != nil {
		return g.refuse(c, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%v", err))
	}
	ctx, cancel, f := g.deadline(c)
	if f != nil {
		return g.refuse(c, f)
	}
	defer cancel()
	r := &chatRun{
		gateway: g, workspace: workspace, chat: chat, body: body, id: uuid.NewString(), began: time.Now(),
		prefix: chiveroute.HashPrefix(workspace.Name, chat.PromptPrefix()),
	}
	c.Response().Header().Set(idHeader, r.id)
	if chat.Stream {
		return r.stream(ctx, c)
	}
	return r.whole(ctx, c)
}

// stream answers with server-sent events.
func (r *chatRun) stream(ctx context.Context, c echo.Context) error {
	out, err := chivecaller.NewStream(c.Response(), r.id, r.chat.Model, r.began)
	if err != nil {
		return err
	}
	r.out = out
	f := r.run(ctx)
	r.gateway.count(f)
	switch {
	case f == nil:
		return nil
	case !out.Begun():
		return chivecaller.WriteError(c, f)
	}
	out.Fail(f)
	panic(http.ErrAbortHandler)
}

// whole answers with one JSON body.
func (r *chatRun) whole(ctx context.Context, c echo.Context) error {
	out := chivecaller.NewCollector(r.id, r.chat.Model, r.began)
	r.out = out
	f := r.run(ctx)
	r.gateway.count(f)
	if f != nil {
		return chivecaller.WriteError(c, f)
	}
	return c.JSON(http.StatusOK, out.Completion)
}

// run tries endpoints until the answer is whole or the request is given up.
func (r *chatRun) run(ctx context.Context) *chiveverdict.Failure {
	r.gateway.ring.Add("request", r.id, "Generation for workspace %s, model %s.", r.workspace.Name, r.chat.Model)
	r.gateway.budgets.request(r.workspace.Name)
	var last *chiveverdict.Failure
	for {
		e, f := r.pick(last)
		if f != nil {
			return f
		}
		last = r.try(ctx, e)
		if last == nil {
			return nil
		}
		r.gateway.ring.Add("request", r.id, "Attempt %d at %s failed: %v.", r.attempts, e.sheet.Name, last)
		if f := r.mayRetry(ctx, last); f != nil {
			return f
		}
	}
}

// pick returns the endpoint of the next attempt.
func (r *chatRun) pick(last *chiveverdict.Failure) (*endpoint, *chiveverdict.Failure) {
	s := r.gateway.fleet.snapshot.Load()
	positions := s.config.Model(r.chat.Model)
	if len(positions) == 0 {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeModel, 0, "model %q does not exist", r.chat.Model)
	}
	e := s.pick(r.gateway.fleet, positions, r.tried, r.prefix)
	if e == nil {
		return nil, r.final(last)
	}
	return e, nil
}

// final returns the failure of a request for which no endpoint is left.
func (r *chatRun) final(last *chiveverdict.Failure) *chiveverdict.Failure {
	if last == nil {
		return chiveverdict.NotRunf(chiveverdict.CodeOverload, busyAfter, "no endpoint of model %q takes work", r.chat.Model)
	}
	f := *last
	f.RetryAfter = max(f.RetryAfter, busyAfter)
	return &f
}

// mayRetry returns the final failure, or nil where another attempt may be made.
func (r *chatRun) mayRetry(ctx context.Context, last *chiveverdict.Failure) *chiveverdict.Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return chiveverdict.MayHaveRunf(chiveverdict.CodeTimeout, "request timed out: %s", last.Text)
	case ctx.Err() != nil:
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCanceled, "%v", errCaller)
	case last.Code == chiveverdict.CodeInvalid, last.Code == chiveverdict.CodeKey:
		return last
	case r.attempts >= maxAttempts:
		return r.final(last)
	case last.Code == chiveverdict.CodeBusy:
		return nil
	case !r.gateway.budgets.retry(r.workspace.Name):
		return r.final(last)
	}
	r.gateway.metrics.retries.Inc(1)
	return nil
}

// try makes one attempt. It returns nil once the caller has the whole answer.
func (r *chatRun) try(ctx context.Context, e *endpoint) *chiveverdict.Failure {
	if r.chat.MaxTokens != nil && r.offset >= uint64(r.chat.TokenLimit()) {
		return r.endAtLimit()
	}
	r.attempts++
	r.tried = append(r.tried, e)
	if r.offset > 0 && !e.sheet.Resume {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "endpoint %s cannot resume an answer", e.sheet.Name)
	}
	call, f := r.call(ctx, e)
	if f != nil {
		return f
	}
	a, f := r.gateway.open(ctx, e, call)
	if f != nil {
		return f
	}
	defer a.close()
	if r.offset > 0 {
		r.gateway.metrics.resumes.Inc(1)
	}
	return r.relay(a)
}

// endAtLimit ends an answer that has all the tokens that the caller asked for,
// though the engine broke off before it said so.
func (r *chatRun) endAtLimit() *chiveverdict.Failure {
	if f := r.writeEnd("length", 0); f != nil {
		return f
	}
	r.gateway.ring.Add("request", r.id, "Answer is whole at its limit of %d tokens.", r.offset)
	return nil
}

func (r *chatRun) call(ctx context.Context, e *endpoint) (*chivelink.Call, *chiveverdict.Failure) {
	partial, err := r.partial()
	if err != nil {
		return nil, chiveverdict.FromError(err)
	}
	timeout := remaining(ctx)
	level, cost := r.gateway.ledger.expect(r.account(), uint64(r.chat.TokenLimit())-r.offset)
	r.cost = cost
	return &chivelink.Call{
		From: r.gateway.settings.Name, Level: level, Probe: r.attempts <= probes,
		ID: r.id, Attempt: r.attempts, Workspace: r.workspace.Name, Endpoint: e.sheet.Name,
		Body: r.body, Wait: min(queueWait, timeout), Timeout: timeout, Cost: cost,
		Offset: r.offset, Partial: partial, Version: r.gateway.spreader.Version(),
	}, nil
}

// account names the workspace's account with the model.
func (r *chatRun) account() accountKey {
	return accountKey{r.workspace.Name, r.chat.Model}
}

// partial returns the text that the caller has.
func (r *chatRun) partial() (string, error) {
	var text []byte
	parts := json.NewDecoder(bytes.NewReader(r.parts))
	for {
		var s string
		err := parts.Decode(&s)
		if errors.Is(err, io.EOF) {
			return string(text), nil
		}
		if err != nil {
			return "", err
		}
		text = append(text, s...)
	}
}

// relay passes frames to the caller until the end of the answer.
func (r *chatRun) relay(a *attempt) *chiveverdict.Failure {
	hash := xxh3.New()
	timeout := queueWait + ackTimeout
	first := r.offset
	defer func() { r.settle(a, r.offset-first) }()
	for {
		if f := a.next(&r.frame, timeout); f != nil {
			return f
		}
		timeout = stallTimeout
		if ended, f := r.take(hash); ended || f != nil {
			return f
		}
	}
}

// take takes in the frame that came last. It reports whether the caller has the
// whole answer.
func (r *chatRun) take(hash *xxh3.Hasher) (ended bool, f *chiveverdict.Failure) {
	switch r.frame.Kind {
	case chivelink.FrameStart:
		r.gateway.ledger.charge(r.account(), float64(r.cost))
	case chivelink.FrameDelta:
		_, _ = hash.Write(r.frame.Text)
		return false, r.delta()
	case chivelink.FrameEnd:
		f = r.end(r.frame.End, hash.Sum64())
		return f == nil, f
	}
	return false, nil
}

// settle corrects the charge of an attempt by the tokens that it made.
func (r *chatRun) settle(a *attempt, tokens uint64) {
	if a.started {
		r.gateway.ledger.charge(r.account(), float64(tokens)-float64(r.cost))
	}
}

// delta passes tokens on that the caller does not have yet.
func (r *chatRun) delta() *chiveverdict.Failure {
	if r.frame.Offset < r.offset {
		return nil
	}
	if r.frame.Offset > r.offset {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "tokens %d to %d are missing", r.offset, r.frame.Offset)
	}
	if r.offset == 0 {
		r.gateway.metrics.first.RecordDuration(time.Since(r.began))
	}
	if err := r.out.Text(r.frame.Text); err != nil {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCanceled, "%v: %v", errCaller, err)
	}
	r.parts = append(r.parts, r.frame.Text...)
	r.offset += uint64(r.frame.Count)
	r.gateway.metrics.tokens.Inc(int64(r.frame.Count))
	return nil
}

// end checks that the answer is whole and ends it.
func (r *chatRun) end(end *chivelink.End, sum uint64) *chiveverdict.Failure {
	if end.Tokens != r.offset || end.Sum != sum {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "answer has %d of %d tokens or another digest", r.offset, end.Tokens)
	}
	if f := r.writeEnd(end.Finish, end.Prompt); f != nil {
		return f
	}
	r.gateway.ledger.learn(r.account(), r.offset)
	r.gateway.ring.Add("request", r.id, "Answer is whole with %d tokens after %d attempts.", r.offset, r.attempts)
	return nil
}

// writeEnd writes the end of the answer to a prompt of that many tokens.
func (r *chatRun) writeEnd(finish string, prompt uint64) *chiveverdict.Failure {
	usage := chiveengine.Usage{PromptTokens: prompt, CompletionTokens: r.offset, TotalTokens: prompt + r.offset}
	if err := r.out.End(finish, usage); err != nil {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCanceled, "%v: %v", errCaller, err)
	}
	return nil
}

// count counts a request by how it ended.
func (g *Gateway) count(f *chiveverdict.Failure) {
	switch {
	case f == nil:
		g.metrics.served.Inc(1)
	case f.Verdict == chiveverdict.NotRun:
		g.metrics.refused.Inc(1)
	default:
		g.metrics.failed.Inc(1)
	}
}

// refuse answers with a failure of a request that was not sent anywhere.
func (g *Gateway) refuse(c echo.Context, f *chiveverdict.Failure) error {
	g.count(f)
	return chivecaller.WriteError(c, f)
}

// readBody reads a request's body.
func readBody(c echo.Context) ([]byte, *chiveverdict.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "body is larger than %d bytes", maxBody)
	}
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "body cannot be read: %v", err)
	}
	return body, nil
}

// deadline returns the request's context with the deadline that the caller
// states.
func (g *Gateway) deadline(c echo.Context) (context.Context, context.CancelFunc, *chiveverdict.Failure) {
	timeout := g.settings.Timeout.Std()
	if text := c.Request().Header.Get(timeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
			return nil, nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%s %q is not a number of seconds up to %g", timeoutHeader, text, maxTimeout.Seconds())
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
	return ctx, cancel, nil
}

// remaining returns the time until the context's deadline.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxTimeout
	}
	return max(time.Until(deadline), time.Millisecond)
}
