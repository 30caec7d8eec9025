package chivegateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

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
	// idempotencyKeyHeader carries the idempotency key of the caller.
	idempotencyKeyHeader = "Idempotency-Key"
	// replayedHeader marks the answer of an earlier run under the same key.
	replayedHeader = "Idempotency-Replayed"
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 255
	// tableTimeout bounds a read or write of a binding.
	tableTimeout = 2 * time.Second
	// keyRetryDelay is the time between two attempts at the endpoint that a key
	// is bound to.
	keyRetryDelay = 100 * time.Millisecond
)

// serviceRequest is one request of a caller to a plain service, one that does
// not generate tokens, with its attempts.
type serviceRequest struct {
	gateway     *Gateway
	workspace   *chivesheet.Workspace
	service     string
	method      string
	path        string
	contentType string
	body        []byte
	key         string
	digest      string
	id          string
	prefixHash  uint64

	attempts uint32
	tried    []*endpoint
}

// callService answers requests of any method on /v1/services/NAME/*.
func (g *Gateway) callService(c echo.Context) error {
	workspace, f := g.authenticate(c)
	if f != nil {
		return g.refuse(c, f)
	}
	body, f := readBody(c)
	if f != nil {
		return g.refuse(c, f)
	}
	r, f := g.newServiceRequest(c, workspace, body)
	if f != nil {
		return g.refuse(c, f)
	}
	ctx, cancel, f := g.withDeadline(c)
	if f != nil {
		return g.refuse(c, f)
	}
	defer cancel()
	c.Response().Header().Set(requestIDHeader, r.id)
	answer, f := r.run(ctx)
	g.countOutcome(f)
	if f != nil {
		g.ring.Add("request", r.id, "Service call failed: %v.", f)
		return chivecaller.WriteError(c, f)
	}
	if answer.Replayed {
		c.Response().Header().Set(replayedHeader, "true")
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}

// newServiceRequest returns a new request to the service that the path names.
// It fails if the service does not exist or the idempotency key is too long.
func (g *Gateway) newServiceRequest(c echo.Context, workspace *chivesheet.Workspace, body []byte) (*serviceRequest, *chiveverdict.Failure) {
	req := c.Request()
	r := &serviceRequest{
		gateway: g, workspace: workspace, service: c.Param("name"), method: req.Method, path: "/" + c.Param("*"),
		contentType: req.Header.Get("Content-Type"), body: body, key: req.Header.Get(idempotencyKeyHeader), id: uuid.NewString(),
	}
	if req.URL.RawQuery != "" {
		r.path += "?" + req.URL.RawQuery
	}
	if _, ok := g.fleet.snapshot.Load().config.Sheet.Service(r.service); !ok {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeModel, 0, "service %q does not exist", r.service)
	}
	if len(r.key) > maxKeyBytes {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%s has %d bytes, more than %d", idempotencyKeyHeader, len(r.key), maxKeyBytes)
	}
	sum := sha256.Sum256([]byte(r.service + "\x00" + r.method + "\x00" + r.path + "\x00" + string(body)))
	r.digest = hex.EncodeToString(sum[:])
	r.prefixHash = chiveroute.HashPrefix(workspace.Name, r.key+r.path)
	return r, nil
}

// run runs the request. A request that has a key and may change state runs at
// the endpoint that the key is bound to, any other at any endpoint.
func (r *serviceRequest) run(ctx context.Context) (*chivelink.Answer, *chiveverdict.Failure) {
	r.gateway.ring.Add("request", r.id, "Service call %s %s for workspace %s.", r.method, r.path, r.workspace.Name)
	r.gateway.retryBudgets.addRequest(r.workspace.Name)
	if r.key != "" && !isSafe(r.method) {
		return r.runKeyed(ctx)
	}
	return r.runUnkeyed(ctx)
}

// isSafe reports whether a method is safe in the sense of HTTP, so that
// requests change no state.
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isIdempotent reports whether a method is idempotent in the sense of HTTP, so
// that requests may be repeated.
func isIdempotent(method string) bool {
	return isSafe(method) || method == http.MethodPut || method == http.MethodDelete
}

// runUnkeyed tries one endpoint after another. A request that is not idempotent
// is retried only if it is known not to have run.
func (r *serviceRequest) runUnkeyed(ctx context.Context) (*chivelink.Answer, *chiveverdict.Failure) {
	var last *chiveverdict.Failure
	for {
		e := r.pickEndpoint()
		if e == nil {
			return nil, r.finalFailure(last)
		}
		answer, f := r.tryEndpoint(ctx, e, r.newCall(ctx, e))
		if f == nil {
			return answer, nil
		}
		last = f
		repeatable := f.Verdict == chiveverdict.NotRun || isIdempotent(r.method)
		if !repeatable || !r.mayRetry(ctx) {
			return nil, r.finalFailure(f)
		}
	}
}

// runKeyed runs the request at the endpoint that its key is bound to.
func (r *serviceRequest) runKeyed(ctx context.Context) (*chivelink.Answer, *chiveverdict.Failure) {
	binding, f := r.bind(ctx)
	if f != nil {
		return nil, f
	}
	mayHaveRun := !binding.Created
	for {
		if answer, f := r.recordedResult(binding); answer != nil || f != nil {
			return answer, f
		}
		answer, f := r.tryBound(ctx, binding)
		if f == nil {
			r.recordAnswer(*binding, answer)
			return answer, nil
		}
		mayHaveRun = f.Verdict != chiveverdict.NotRun || mayHaveRun && !f.FromAgent
		if binding, f = r.nextBinding(ctx, binding, f); f != nil {
			return nil, r.keyedFailure(f, mayHaveRun)
		}
		mayHaveRun = mayHaveRun || !binding.Created
	}
}

// keyedFailure returns the final failure of a request with a key. mayHaveRun is
// set if this or another gateway may have sent the request to the bound
// endpoint and its agent has not reported since that it did not run it. The
// verdict is then MayHaveRun, except for a mismatch of requests under the key.
func (r *serviceRequest) keyedFailure(f *chiveverdict.Failure, mayHaveRun bool) *chiveverdict.Failure {
	if !mayHaveRun || f.Verdict != chiveverdict.NotRun || f.Code == chiveverdict.CodeMismatch {
		return r.finalFailure(f)
	}
	uncertain := chiveverdict.MayHaveRunf(f.Code, "%s", f.Text)
	uncertain.RetryAfter = f.RetryAfter
	return r.finalFailure(uncertain)
}

// recordedResult returns the answer recorded in the binding, or a failure if
// the key was used with another request. It returns nil for both if the request
// has to run.
func (r *serviceRequest) recordedResult(binding *chiveclaim.Binding) (*chivelink.Answer, *chiveverdict.Failure) {
	if binding.Digest != "" && binding.Digest != r.digest {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeMismatch, 0, "the key was used with another request")
	}
	if binding.Answer == nil {
		return nil, nil
	}
	a := binding.Answer
	return &chivelink.Answer{Status: a.Status, ContentType: a.Type, Body: a.Body, Replayed: true}, nil
}

// bind returns the binding of the key. A minted key contains its binding;
// otherwise the binding is read from the table, or created there if the key is
// new.
func (r *serviceRequest) bind(ctx context.Context) (*chiveclaim.Binding, *chiveverdict.Failure) {
	if binding, ok := chiveclaim.ParseKey(r.key); ok {
		return &binding, nil
	}
	proposed, f := r.proposeBinding(ctx)
	if f != nil {
		return nil, f
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	binding, err := r.gateway.binder.Bind(ctx, r.workspace.Name, r.key, *proposed, time.Now())
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeStore, busyRetryAfter, "the key cannot be claimed: %v", err)
	}
	return binding, nil
}

// proposeBinding returns a binding to the current incarnation of an available
// endpoint. Endpoints that do not answer a status query are blocked and
// skipped.
func (r *serviceRequest) proposeBinding(ctx context.Context) (*chiveclaim.Binding, *chiveverdict.Failure) {
	for {
		e := r.pickEndpoint()
		if e == nil {
			return nil, r.finalFailure(nil)
		}
		boot, err := r.gateway.fetchIncarnation(ctx, e)
		if err == nil {
			return &chiveclaim.Binding{Digest: r.digest, Endpoint: e.sheet.Name, Boot: boot}, nil
		}
		r.gateway.ring.Add("request", r.id, "Endpoint %s gave no status: %v.", e.sheet.Name, err)
		e.block(unreachableBlockTime)
		r.tried = append(r.tried, e)
	}
}

// fetchIncarnation queries the agent of an endpoint for its incarnation.
func (g *Gateway) fetchIncarnation(ctx context.Context, e *endpoint) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	status, err := g.dialer.Status(ctx, e.sheet.Agent, chivelink.RoleAgent, &chivelink.Query{From: g.settings.Name})
	if err != nil {
		return 0, err
	}
	e.recordLoad(status.Load)
	return status.Load.Boot, nil
}

// tryBound makes one attempt at the bound endpoint. It fails without an attempt
// if the endpoint is no longer in the sheet or belongs to another service.
func (r *serviceRequest) tryBound(ctx context.Context, binding *chiveclaim.Binding) (*chivelink.Answer, *chiveverdict.Failure) {
	s := r.gateway.fleet.snapshot.Load()
	_, i, ok := s.config.Endpoint(binding.Endpoint)
	if !ok {
		return nil, chiveverdict.MayHaveRunf(chiveverdict.CodeConflict, "the key is bound to endpoint %s, which has left", binding.Endpoint)
	}
	e := s.endpoints[i]
	if e.sheet.Group != r.service {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeMismatch, 0, "the key is bound to another service")
	}
	call := r.newCall(ctx, e)
	call.Key, call.RequestDigest, call.Boot = r.key, r.digest, binding.Boot
	call.FinalRefusal = binding.Digest != ""
	return r.tryEndpoint(ctx, e, call)
}

// nextBinding returns the binding for the attempt after a failure, or the final
// failure. An agent runs a request under a key only once, so an attempt at the
// same binding may be repeated. The key is bound to another endpoint only after
// the agent promised never to run the request, because an endpoint that cannot
// be reached may have run it.
func (r *serviceRequest) nextBinding(ctx context.Context, binding *chiveclaim.Binding, f *chiveverdict.Failure) (*chiveclaim.Binding, *chiveverdict.Failure) {
	switch f.Code {
	case chiveverdict.CodeMismatch, chiveverdict.CodeConflict:
		return nil, f
	}
	if !r.mayRetry(ctx) {
		return nil, f
	}
	if !f.NeverRuns {
		select {
		case <-time.After(keyRetryDelay):
		case <-ctx.Done():
		}
		return binding, nil
	}
	return r.rebind(ctx, binding)
}

// rebind binds the key to another endpoint. It returns the binding that is
// stored afterwards, which may be that of another gateway.
func (r *serviceRequest) rebind(ctx context.Context, binding *chiveclaim.Binding) (*chiveclaim.Binding, *chiveverdict.Failure) {
	proposed, f := r.proposeBinding(ctx)
	if f != nil {
		return nil, f
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	moved, err := r.gateway.binder.Move(ctx, r.workspace.Name, r.key, *binding, *proposed, time.Now())
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeStore, busyRetryAfter, "the key cannot be bound anew: %v", err)
	}
	return moved, nil
}

// recordAnswer stores the answer in the row of the binding. It does so in the
// background, so that the caller does not wait for the write. The binding of a
// minted key has no row.
func (r *serviceRequest) recordAnswer(binding chiveclaim.Binding, answer *chivelink.Answer) {
	if binding.Digest == "" {
		return
	}
	record := chiveclaim.Answer{Status: answer.Status, Type: answer.ContentType, Body: answer.Body}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tableTimeout)
		defer cancel()
		chiveguard.Do(r.gateway.log, "recording of an answer", func() {
			_ = r.gateway.binder.RecordAnswer(ctx, r.workspace.Name, r.key, binding, record, time.Now())
		})
	}()
}

// pickEndpoint returns an endpoint of the service that was not tried yet, or
// nil if none is available.
func (r *serviceRequest) pickEndpoint() *endpoint {
	s := r.gateway.fleet.snapshot.Load()
	return s.pick(r.gateway.fleet, s.config.GroupEndpoints(r.service), r.tried, r.prefixHash)
}

// finalFailure returns the failure that the caller gets, with a time to wait
// before a retry. last is the failure of the last attempt, nil if there was
// none.
func (r *serviceRequest) finalFailure(last *chiveverdict.Failure) *chiveverdict.Failure {
	if last == nil {
		return chiveverdict.NotRunf(chiveverdict.CodeOverload, busyRetryAfter, "no endpoint of service %q takes work", r.service)
	}
	f := *last
	if f.Code != chiveverdict.CodeMismatch {
		f.RetryAfter = max(f.RetryAfter, busyRetryAfter)
	}
	return &f
}

// mayRetry reports whether another attempt may be made, and takes it from the
// retry budget of the workspace.
func (r *serviceRequest) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || r.attempts >= maxAttempts || !r.gateway.retryBudgets.takeRetry(r.workspace.Name) {
		return false
	}
	r.gateway.metrics.retries.Inc(1)
	return true
}

// newCall returns the call of the next attempt and marks the endpoint as tried.
func (r *serviceRequest) newCall(ctx context.Context, e *endpoint) *chivelink.Call {
	r.attempts++
	r.tried = append(r.tried, e)
	timeout := remainingTime(ctx)
	recentService, _ := r.gateway.ledger.estimate(accountKey{r.workspace.Name, r.service}, 1)
	return &chivelink.Call{
		Gateway: r.gateway.settings.Name, WorkspaceRate: recentService,
		ID: r.id, Attempt: r.attempts, Workspace: r.workspace.Name, Endpoint: e.sheet.Name,
		Method: r.method, Path: r.path, ContentType: r.contentType, Body: r.body,
		MaxQueueTime: min(maxQueueWait, timeout), Timeout: timeout, Cost: 1, ConfigVersion: r.gateway.syncer.Version(),
	}
}

// tryEndpoint makes one attempt and returns its answer.
func (r *serviceRequest) tryEndpoint(ctx context.Context, e *endpoint, call *chivelink.Call) (*chivelink.Answer, *chiveverdict.Failure) {
	a, f := r.gateway.openAttempt(ctx, e, call)
	if f != nil {
		return nil, f
	}
	defer a.close()
	if a.started {
		r.charge()
	}
	frame := &chivelink.Frame{}
	for {
		if f := a.nextFrame(frame, remainingTime(ctx)); f != nil {
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

// charge charges one call to the account of the workspace.
func (r *serviceRequest) charge() {
	r.gateway.ledger.charge(accountKey{r.workspace.Name, r.service}, 1)
}
