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
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

const (
	// maxBodyBytes is the maximum size of the body of a request.
	maxBodyBytes = 1 << 20
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// noQueueAttempts is the number of first attempts that ask for a refusal
	// instead of a place in the queue. The agent knows whether it has a free
	// slot, while the gateway only estimates it.
	noQueueAttempts = 2
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = 10 * time.Minute
	// busyRetryAfter is the time after which a caller is told to retry if no
	// endpoint takes work.
	busyRetryAfter = time.Second
	// requestTimeoutHeader carries the timeout of a request, in seconds.
	requestTimeoutHeader = "X-Request-Timeout"
	// requestIDHeader tells the caller the ID of its request.
	requestIDHeader = "X-Request-Id"
)

// answerWriter writes an answer to a caller.
type answerWriter interface {
	// Begun reports whether a part of the answer was sent to the caller.
	Begun() bool
	// Text writes tokens, which are encoded as one JSON string.
	Text(text []byte) error
	// End completes the answer.
	End(finish string, usage chiveengine.Usage) error
}

// errCallerGone means that the caller no longer reads its answer.
var errCallerGone = errors.New("caller is gone")

// chatRequest is one generation request of a caller, with its attempts.
type chatRequest struct {
	gateway    *Gateway
	workspace  *chivesheet.Workspace
	chat       *chiveengine.ChatRequest
	body       []byte
	id         string
	prefixHash uint64
	out        answerWriter
	startedAt  time.Time

	attempts uint32
	// expectedCost is the expected number of tokens of the current attempt.
	expectedCost uint64
	tried        []*endpoint
	frame        chivelink.Frame
	// offset is the number of tokens that the caller has received. textParts
	// holds their text as consecutive JSON strings.
	offset    uint64
	textParts []byte
}

// postChat answers POST /v1/chat/completions.
func (g *Gateway) postChat(c echo.Context) error {
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
	ctx, cancel, f := g.withDeadline(c)
	if f != nil {
		return g.refuse(c, f)
	}
	defer cancel()
	r := &chatRequest{
		gateway: g, workspace: workspace, chat: chat, body: body, id: uuid.NewString(), startedAt: time.Now(),
		prefixHash: chiveroute.HashPrefix(workspace.Name, chat.PromptPrefix()),
	}
	c.Response().Header().Set(requestIDHeader, r.id)
	if chat.Stream {
		return r.serveStream(ctx, c)
	}
	return r.serveJSON(ctx, c)
}

// serveStream answers with server-sent events. A failure after the first event
// aborts the connection, so that the caller cannot take the answer for
// complete.
func (r *chatRequest) serveStream(ctx context.Context, c echo.Context) error {
	out, err := chivecaller.NewStream(c.Response(), r.id, r.chat.Model, r.startedAt)
	if err != nil {
		return err
	}
	r.out = out
	f := r.run(ctx)
	r.gateway.countOutcome(f)
	switch {
	case f == nil:
		return nil
	case !out.Begun():
		return chivecaller.WriteError(c, f)
	}
	out.Fail(f)
	panic(http.ErrAbortHandler)
}

// serveJSON answers with one JSON body.
func (r *chatRequest) serveJSON(ctx context.Context, c echo.Context) error {
	out := chivecaller.NewCollector(r.id, r.chat.Model, r.startedAt)
	r.out = out
	f := r.run(ctx)
	r.gateway.countOutcome(f)
	if f != nil {
		return chivecaller.WriteError(c, f)
	}
	return c.JSON(http.StatusOK, out.Completion)
}

// run tries endpoints until the caller has the complete answer or no further
// attempt is allowed.
func (r *chatRequest) run(ctx context.Context) *chiveverdict.Failure {
	r.gateway.ring.Add("request", r.id, "Generation for workspace %s, model %s.", r.workspace.Name, r.chat.Model)
	r.gateway.retryBudgets.addRequest(r.workspace.Name)
	var last *chiveverdict.Failure
	for {
		e, f := r.pickEndpoint(last)
		if f != nil {
			return f
		}
		last = r.tryEndpoint(ctx, e)
		if last == nil {
			return nil
		}
		r.gateway.ring.Add("request", r.id, "Attempt %d at %s failed: %v.", r.attempts, e.sheet.Name, last)
		if f := r.checkRetry(ctx, last); f != nil {
			return f
		}
	}
}

// pickEndpoint returns the endpoint for the next attempt. It fails if the model
// does not exist or no endpoint is available; last is the failure of the last
// attempt, nil if there was none.
func (r *chatRequest) pickEndpoint(last *chiveverdict.Failure) (*endpoint, *chiveverdict.Failure) {
	s := r.gateway.fleet.snapshot.Load()
	positions := s.config.ModelEndpoints(r.chat.Model)
	if len(positions) == 0 {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeModel, 0, "model %q does not exist", r.chat.Model)
	}
	e := s.pick(r.gateway.fleet, positions, r.tried, r.prefixHash)
	if e == nil {
		return nil, r.finalFailure(last)
	}
	return e, nil
}

// finalFailure returns the failure of a request that gets no further attempt,
// with a time to wait before a retry.
func (r *chatRequest) finalFailure(last *chiveverdict.Failure) *chiveverdict.Failure {
	if last == nil {
		return chiveverdict.NotRunf(chiveverdict.CodeOverload, busyRetryAfter, "no endpoint of model %q takes work", r.chat.Model)
	}
	f := *last
	f.RetryAfter = max(f.RetryAfter, busyRetryAfter)
	return &f
}

// checkRetry returns the final failure, or nil if another attempt may be made.
// A retry is taken from the budget of the workspace, except after a call with
// NoQueue was refused for lack of a free slot.
func (r *chatRequest) checkRetry(ctx context.Context, last *chiveverdict.Failure) *chiveverdict.Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return chiveverdict.MayHaveRunf(chiveverdict.CodeTimeout, "request timed out: %s", last.Text)
	case ctx.Err() != nil:
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCanceled, "%v", errCallerGone)
	case last.Code == chiveverdict.CodeInvalid, last.Code == chiveverdict.CodeKey:
		return last
	case r.attempts >= maxAttempts:
		return r.finalFailure(last)
	case last.Code == chiveverdict.CodeBusy:
		return nil
	case !r.gateway.retryBudgets.takeRetry(r.workspace.Name):
		return r.finalFailure(last)
	}
	r.gateway.metrics.retries.Inc(1)
	return nil
}

// tryEndpoint makes one attempt. It returns nil once the caller has the
// complete answer.
func (r *chatRequest) tryEndpoint(ctx context.Context, e *endpoint) *chiveverdict.Failure {
	if r.chat.MaxTokens != nil && r.offset >= uint64(r.chat.TokenLimit()) {
		return r.endAtLimit()
	}
	r.attempts++
	r.tried = append(r.tried, e)
	if r.offset > 0 && !e.sheet.Resume {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "endpoint %s cannot resume an answer", e.sheet.Name)
	}
	call, f := r.newCall(ctx, e)
	if f != nil {
		return f
	}
	a, f := r.gateway.openAttempt(ctx, e, call)
	if f != nil {
		return f
	}
	defer a.close()
	if r.offset > 0 {
		r.gateway.metrics.resumes.Inc(1)
	}
	return r.relay(a)
}

// endAtLimit completes an answer that has all the tokens that the caller asked
// for, where the stream broke before the engine reported the end.
func (r *chatRequest) endAtLimit() *chiveverdict.Failure {
	if f := r.writeEnd("length", 0); f != nil {
		return f
	}
	r.gateway.ring.Add("request", r.id, "Answer is whole at its limit of %d tokens.", r.offset)
	return nil
}

// newCall returns the call for the next attempt, which resumes after the tokens
// that the caller has.
func (r *chatRequest) newCall(ctx context.Context, e *endpoint) (*chivelink.Call, *chiveverdict.Failure) {
	partial, err := r.partialText()
	if err != nil {
		return nil, chiveverdict.FromError(err)
	}
	timeout := remainingTime(ctx)
	recentService, cost := r.gateway.ledger.estimate(r.ledgerKey(), uint64(r.chat.TokenLimit())-r.offset)
	r.expectedCost = cost
	return &chivelink.Call{
		Gateway: r.gateway.settings.Name, WorkspaceRate: recentService, NoQueue: r.attempts <= noQueueAttempts,
		ID: r.id, Attempt: r.attempts, Workspace: r.workspace.Name, Endpoint: e.sheet.Name,
		Body: r.body, MaxQueueTime: min(maxQueueWait, timeout), Timeout: timeout, Cost: cost,
		Offset: r.offset, PartialText: partial, ConfigVersion: r.gateway.syncer.Version(),
	}, nil
}

// ledgerKey returns the key of the account of the workspace for the model.
func (r *chatRequest) ledgerKey() accountKey {
	return accountKey{r.workspace.Name, r.chat.Model}
}

// partialText returns the text that the caller has received.
func (r *chatRequest) partialText() (string, error) {
	var text []byte
	decoder := json.NewDecoder(bytes.NewReader(r.textParts))
	for {
		var s string
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) {
			return string(text), nil
		}
		if err != nil {
			return "", err
		}
		text = append(text, s...)
	}
}

// relay passes frames to the caller until the answer is complete or the attempt
// fails. At the end it corrects the charge of the attempt.
func (r *chatRequest) relay(a *attempt) *chiveverdict.Failure {
	hash := xxh3.New()
	timeout := maxQueueWait + ackTimeout
	startOffset := r.offset
	defer func() { r.correctCharge(a, r.offset-startOffset) }()
	for {
		if f := a.nextFrame(&r.frame, timeout); f != nil {
			return f
		}
		timeout = stallTimeout
		if complete, f := r.handleFrame(hash); complete || f != nil {
			return f
		}
	}
}

// handleFrame handles the frame last received. A FrameStart charges the
// expected cost to the account. It reports whether the caller has the complete
// answer.
func (r *chatRequest) handleFrame(hash *xxh3.Hasher) (complete bool, f *chiveverdict.Failure) {
	switch r.frame.Kind {
	case chivelink.FrameStart:
		r.gateway.ledger.charge(r.ledgerKey(), float64(r.expectedCost))
	case chivelink.FrameDelta:
		_, _ = hash.Write(r.frame.Text)
		return false, r.writeDelta()
	case chivelink.FrameEnd:
		f = r.finish(r.frame.End, hash.Sum64())
		return f == nil, f
	}
	return false, nil
}

// correctCharge replaces the expected cost charged for a started attempt by the
// number of tokens that it delivered.
func (r *chatRequest) correctCharge(a *attempt, tokens uint64) {
	if a.started {
		r.gateway.ledger.charge(r.ledgerKey(), float64(tokens)-float64(r.expectedCost))
	}
}

// writeDelta passes tokens to the caller. Tokens that the caller already has
// are skipped; missing tokens are a failure.
func (r *chatRequest) writeDelta() *chiveverdict.Failure {
	if r.frame.Offset < r.offset {
		return nil
	}
	if r.frame.Offset > r.offset {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "tokens %d to %d are missing", r.offset, r.frame.Offset)
	}
	if r.offset == 0 {
		r.gateway.metrics.firstToken.RecordDuration(time.Since(r.startedAt))
	}
	if err := r.out.Text(r.frame.Text); err != nil {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCanceled, "%v: %v", errCallerGone, err)
	}
	r.textParts = append(r.textParts, r.frame.Text...)
	r.offset += uint64(r.frame.TokenCount)
	r.gateway.metrics.tokens.Inc(int64(r.frame.TokenCount))
	return nil
}

// finish completes the answer, or fails if the number of tokens or their hash
// differs from what the agent reports.
func (r *chatRequest) finish(end *chivelink.End, sum uint64) *chiveverdict.Failure {
	if end.TokenCount != r.offset || end.Checksum != sum {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "answer has %d of %d tokens or another digest", r.offset, end.TokenCount)
	}
	if f := r.writeEnd(end.FinishReason, end.PromptTokens); f != nil {
		return f
	}
	r.gateway.ledger.recordLength(r.ledgerKey(), r.offset)
	r.gateway.ring.Add("request", r.id, "Answer is whole with %d tokens after %d attempts.", r.offset, r.attempts)
	return nil
}

// writeEnd writes the finish reason and the usage to the caller; prompt is the
// number of prompt tokens.
func (r *chatRequest) writeEnd(finish string, prompt uint64) *chiveverdict.Failure {
	usage := chiveengine.Usage{PromptTokens: prompt, CompletionTokens: r.offset, TotalTokens: prompt + r.offset}
	if err := r.out.End(finish, usage); err != nil {
		return chiveverdict.MayHaveRunf(chiveverdict.CodeCanceled, "%v: %v", errCallerGone, err)
	}
	return nil
}

// countOutcome counts a request as served, refused or failed.
func (g *Gateway) countOutcome(f *chiveverdict.Failure) {
	switch {
	case f == nil:
		g.metrics.served.Inc(1)
	case f.Verdict == chiveverdict.NotRun:
		g.metrics.refused.Inc(1)
	default:
		g.metrics.failed.Inc(1)
	}
}

// refuse counts the failure of a request that was not sent to any endpoint, and
// answers with it.
func (g *Gateway) refuse(c echo.Context, f *chiveverdict.Failure) error {
	g.countOutcome(f)
	return chivecaller.WriteError(c, f)
}

// readBody reads the body of a request. It fails if the body is larger than
// maxBodyBytes.
func readBody(c echo.Context) ([]byte, *chiveverdict.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "body is larger than %d bytes", maxBodyBytes)
	}
	if errors.Is(err, chivedoor.ErrNoRoom) {
		return nil, noMemory()
	}
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "body cannot be read: %v", err)
	}
	return body, nil
}

// noMemory returns the failure of a request for which there is no memory.
func noMemory() *chiveverdict.Failure {
	return chiveverdict.NotRunf(chiveverdict.CodeOverload, busyRetryAfter, "no memory for further requests")
}

// refusalHandler returns the handler of requests for which there is no memory.
func (g *Gateway) refusalHandler() http.Handler {
	e := echo.New()
	e.Any("/*", func(c echo.Context) error { return g.refuse(c, noMemory()) })
	return e
}

// withDeadline returns the context of the request with a deadline from its
// timeout header, or from the settings if it has none. It fails if the header
// is malformed or above maxTimeout.
func (g *Gateway) withDeadline(c echo.Context) (context.Context, context.CancelFunc, *chiveverdict.Failure) {
	timeout := g.settings.Timeout.Std()
	if text := c.Request().Header.Get(requestTimeoutHeader); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0 && seconds <= maxTimeout.Seconds()) {
			return nil, nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%s %q is not a number of seconds up to %g", requestTimeoutHeader, text, maxTimeout.Seconds())
		}
		timeout = time.Duration(seconds * float64(time.Second))
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), timeout)
	return ctx, cancel, nil
}

// remainingTime returns the time until the deadline of the context, at least a
// millisecond. Without a deadline it returns maxTimeout.
func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxTimeout
	}
	return max(time.Until(deadline), time.Millisecond)
}
