package chivegateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivecaller"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveroute"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

const (
	// keyHeader carries the caller's idempotency key.
	keyHeader = "Idempotency-Key"
	// replayHeader says that an answer is of an earlier run under the same key.
	replayHeader = "Idempotency-Replayed"
	// maxKey is the longest key, in bytes.
	maxKey = 255
	// tableTimeout bounds a read or write of a binding.
	tableTimeout = 2 * time.Second
	// keyRetryPause is the time between two attempts under one binding.
	keyRetryPause = 100 * time.Millisecond
)

// callRun is one request to a plain service.
type callRun struct {
	gateway   *Gateway
	workspace *chivesheet.Workspace
	service   string
	method    string
	path      string
	mime      string
	body      []byte
	key       string
	digest    string
	id        string
	prefix    uint64

	attempts uint32
	tried    []*endpoint
}

// service answers any method on /v1/services/NAME/*.
func (g *Gateway) service(c echo.Context) error {
	workspace, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	body, f := readBody(c)
	if f != nil {
		return g.refuse(c, f)
	}
	r, f := g.newCallRun(c, workspace, body)
	if f != nil {
		return g.refuse(c, f)
	}
	ctx, cancel, f := g.deadline(c)
	if f != nil {
		return g.refuse(c, f)
	}
	defer cancel()
	c.Response().Header().Set(idHeader, r.id)
	answer, f := r.run(ctx)
	g.count(f)
	if f != nil {
		g.ring.Add("request", r.id, "Service call failed: %v.", f)
		return chivecaller.WriteError(c, f)
	}
	if answer.Replayed {
		c.Response().Header().Set(replayHeader, "true")
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

func (g *Gateway) newCallRun(c echo.Context, workspace *chivesheet.Workspace, body []byte) (*callRun, *chiveverdict.Failure) {
	req := c.Request()
	r := &callRun{
		gateway: g, workspace: workspace, service: c.Param("name"), method: req.Method, path: "/" + c.Param("*"),
		mime: req.Header.Get("Content-Type"), body: body, key: req.Header.Get(keyHeader), id: uuid.NewString(),
	}
	if req.URL.RawQuery != "" {
		r.path += "?" + req.URL.RawQuery
	}
	if _, ok := g.fleet.snapshot.Load().config.Sheet.Service(r.service); !ok {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeModel, 0, "service %q does not exist", r.service)
	}
	if len(r.key) > maxKey {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%s has %d bytes, more than %d", keyHeader, len(r.key), maxKey)
	}
	sum := sha256.Sum256([]byte(r.service + "\x00" + r.method + "\x00" + r.path + "\x00" + string(body)))
	r.digest = hex.EncodeToString(sum[:])
	r.prefix = chiveroute.NewPrefix(workspace.Name, r.key+r.path)
	return r, nil
}

// run runs the request: under a key at its binding, otherwise anywhere.
func (r *callRun) run(ctx context.Context) (*chivelink.Answer, *chiveverdict.Failure) {
	r.gateway.ring.Add("request", r.id, "Service call %s %s for workspace %s.", r.method, r.path, r.workspace.Name)
	r.gateway.budgets.request(r.workspace.Name)
	if r.key != "" && !isSafe(r.method) {
		return r.keyed(ctx)
	}
	return r.anywhere(ctx)
}

// isSafe reports whether a method changes nothing.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isIdempotent reports whether a method may be repeated.
func isIdempotent(method string) bool {
	return isSafe(method) || method == http.MethodPut || method == http.MethodDelete
}

// anywhere tries endpoints in turn. A request that is not idempotent is tried
// again only where it is known not to have run.
func (r *callRun) anywhere(ctx context.Context) (*chivelink.Answer, *chiveverdict.Failure) {
	var last *chiveverdict.Failure
	for {
		e := r.pick()
		if e == nil {
			return nil, r.final(last)
		}
		answer, f := r.try(ctx, e, r.newCall(ctx, e))
		if f == nil {
			return answer, nil
		}
		last = f
		repeatable := f.Verdict == chiveverdict.NotRun || isIdempotent(r.method)
		if !repeatable || !r.mayRetry(ctx) {
			return nil, r.final(f)
		}
	}
}

// keyed runs the request at the endpoint that its key is bound to.
func (r *callRun) keyed(ctx context.Context) (*chivelink.Answer, *chiveverdict.Failure) {
	bound, f := r.bind(ctx)
	if f != nil {
		return nil, f
	}
	unsure := !bound.Fresh
	for {
		if answer, f := r.settled(bound); answer != nil || f != nil {
			return answer, f
		}
		answer, f := r.tryBound(ctx, bound)
		if f == nil {
			r.record(*bound, answer)
			return answer, nil
		}
		unsure = f.Verdict != chiveverdict.NotRun || unsure && !f.Stated
		if bound, f = r.afterFailure(ctx, bound, f); f != nil {
			return nil, r.keyedFailure(f, unsure)
		}
		unsure = unsure || !bound.Fresh
	}
}

// keyedFailure returns the final failure of a request under a key. It is unsure
// where this or another gateway may have sent the request to the bound endpoint,
// which has made no promise since.
func (r *callRun) keyedFailure(f *chiveverdict.Failure, unsure bool) *chiveverdict.Failure {
	if !unsure || f.Verdict != chiveverdict.NotRun || f.Code == chiveverdict.CodeMismatch {
		return r.final(f)
	}
	g := chiveverdict.MayHaveRunf(f.Code, "%s", f.Text)
	g.After = f.After
	return r.final(g)
}

// settled returns the answer or the failure that a binding decides by itself.
func (r *callRun) settled(bound *chiveclaim.Binding) (*chivelink.Answer, *chiveverdict.Failure) {
	if bound.Digest != "" && bound.Digest != r.digest {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeMismatch, 0, "the key was used with another request")
	}
	if bound.Answer == nil {
		return nil, nil
	}
	a := bound.Answer
	return &chivelink.Answer{Status: a.Status, ContentType: a.Type, Body: a.Body, Replayed: true}, nil
}

// bind returns the key's binding: the one in a minted key, or that in the
// table, made if the key is new.
func (r *callRun) bind(ctx context.Context) (*chiveclaim.Binding, *chiveverdict.Failure) {
	if bound, ok := chiveclaim.ParseKey(r.key); ok {
		return &bound, nil
	}
	proposed, f := r.propose(ctx)
	if f != nil {
		return nil, f
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	bound, err := r.gateway.binder.Bind(ctx, r.workspace.Name, r.key, *proposed, time.Now())
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeStore, busyAfter, "the key cannot be claimed: %v", err)
	}
	return bound, nil
}

// propose returns a binding to an endpoint's present incarnation.
func (r *callRun) propose(ctx context.Context) (*chiveclaim.Binding, *chiveverdict.Failure) {
	for {
		e := r.pick()
		if e == nil {
			return nil, r.final(nil)
		}
		boot, err := r.gateway.boot(ctx, e)
		if err == nil {
			return &chiveclaim.Binding{Digest: r.digest, Endpoint: e.sheet.Name, Boot: boot}, nil
		}
		r.gateway.ring.Add("request", r.id, "Endpoint %s gave no status: %v.", e.sheet.Name, err)
		e.block(unreachableBlock)
		r.tried = append(r.tried, e)
	}
}

// boot returns the incarnation of an endpoint's agent.
func (g *Gateway) boot(ctx context.Context, e *endpoint) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	status, err := g.dialer.Status(ctx, e.sheet.Agent, chivelink.RoleAgent, &chivelink.Query{From: g.settings.Name})
	if err != nil {
		return 0, err
	}
	e.take(status.Load)
	return status.Load.Boot, nil
}

// tryBound makes one attempt at the bound endpoint.
func (r *callRun) tryBound(ctx context.Context, bound *chiveclaim.Binding) (*chivelink.Answer, *chiveverdict.Failure) {
	s := r.gateway.fleet.snapshot.Load()
	_, i, ok := s.config.Endpoint(bound.Endpoint)
	if !ok {
		return nil, chiveverdict.MayHaveRunf(chiveverdict.CodeConflict, "the key is bound to endpoint %s, which has left", bound.Endpoint)
	}
	e := s.endpoints[i]
	if e.sheet.Group != r.service {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeMismatch, 0, "the key is bound to another service")
	}
	call := r.newCall(ctx, e)
	call.Key, call.RequestDigest, call.Boot = r.key, r.digest, bound.Boot
	call.FinalRefusal = bound.Digest != ""
	return r.try(ctx, e, call)
}

// afterFailure returns the binding for the next attempt, or the final failure.
// The agent runs a key once, so an attempt at the same binding may be repeated.
// Only after the agent's promise is the key bound anew: an endpoint that cannot
// be reached may have run it.
func (r *callRun) afterFailure(ctx context.Context, bound *chiveclaim.Binding, f *chiveverdict.Failure) (*chiveclaim.Binding, *chiveverdict.Failure) {
	switch f.Code {
	case chiveverdict.CodeMismatch, chiveverdict.CodeConflict:
		return nil, f
	}
	if !r.mayRetry(ctx) {
		return nil, f
	}
	if !f.Promised {
		select {
		case <-time.After(keyRetryPause):
		case <-ctx.Done():
		}
		return bound, nil
	}
	return r.move(ctx, bound)
}

// move binds the key to another endpoint.
func (r *callRun) move(ctx context.Context, bound *chiveclaim.Binding) (*chiveclaim.Binding, *chiveverdict.Failure) {
	proposed, f := r.propose(ctx)
	if f != nil {
		return nil, f
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	moved, err := r.gateway.binder.Move(ctx, r.workspace.Name, r.key, *bound, *proposed, time.Now())
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeStore, busyAfter, "the key cannot be bound anew: %v", err)
	}
	return moved, nil
}

// record keeps the answer in the binding's row, without delaying the caller.
func (r *callRun) record(bound chiveclaim.Binding, answer *chivelink.Answer) {
	if bound.Digest == "" {
		return
	}
	kept := chiveclaim.Answer{Status: answer.Status, Type: answer.ContentType, Body: answer.Body}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		_ = r.gateway.binder.Record(ctx, r.workspace.Name, r.key, bound, kept, time.Now())
	}()
}

func (r *callRun) pick() *endpoint {
	s := r.gateway.fleet.snapshot.Load()
	return s.pick(r.gateway.fleet, s.config.Group(r.service), r.tried, r.prefix)
}

// final returns the failure that the caller gets.
func (r *callRun) final(last *chiveverdict.Failure) *chiveverdict.Failure {
	if last == nil {
		return chiveverdict.NotRunf(chiveverdict.CodeOverload, busyAfter, "no endpoint of service %q takes work", r.service)
	}
	f := *last
	if f.Code != chiveverdict.CodeMismatch {
		f.After = max(f.After, busyAfter)
	}
	return &f
}

func (r *callRun) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || r.attempts >= maxAttempts || !r.gateway.budgets.retry(r.workspace.Name) {
		return false
	}
	r.gateway.metrics.retries.Inc(1)
	return true
}

func (r *callRun) newCall(ctx context.Context, e *endpoint) *chivelink.Call {
	r.attempts++
	r.tried = append(r.tried, e)
	timeout := remaining(ctx)
	level, _ := r.gateway.ledger.expect(accountKey{r.workspace.Name, r.service}, 1)
	return &chivelink.Call{
		Gateway: r.gateway.settings.Name, WorkspaceRate: level,
		ID: r.id, Attempt: r.attempts, Workspace: r.workspace.Name, Endpoint: e.sheet.Name,
		Method: r.method, Path: r.path, ContentType: r.mime, Body: r.body,
		MaxQueueTime: min(queueWait, timeout), Timeout: timeout, Cost: 1, ConfigVersion: r.gateway.spreader.Version(),
	}
}

// try makes one attempt and returns its answer.
func (r *callRun) try(ctx context.Context, e *endpoint, call *chivelink.Call) (*chivelink.Answer, *chiveverdict.Failure) {
	a, f := r.gateway.open(ctx, e, call)
	if f != nil {
		return nil, f
	}
	defer a.close()
	if a.started {
		r.charge()
	}
	frame := &chivelink.Frame{}
	for {
		if f := a.next(frame, remaining(ctx)); f != nil {
			return nil, f
		}
		if frame.Kind == chivelink.FrameStart {
			r.charge()
		}
		if frame.Kind == chivelink.FrameAnswer {
			return frame.Answer, nil
		}
	}
}

// charge notes that the workspace had a call served.
func (r *callRun) charge() {
	r.gateway.ledger.charge(accountKey{r.workspace.Name, r.service}, 1)
}
