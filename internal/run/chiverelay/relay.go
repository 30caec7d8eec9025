package chiverelay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// defaultTimeout is that of requests whose caller and route set none.
	defaultTimeout = 30 * time.Second
	// retryAfter is when refused callers may return at the soonest, formTime that
	// after a group of ranks has broken or while a part of the system is away: the
	// ranks that are left notice it after 1.5 s and form anew. Callers are told up
	// to half as much more, so that they do not come back together.
	retryAfter         = 800 * time.Millisecond
	recoveryRetryAfter = 1700 * time.Millisecond
	// minAttemptTime is the least time for which a request is sent to a runner.
	minAttemptTime = 15 * time.Millisecond
)

// A Relay serves callers.
type Relay struct {
	Dialect Dialect
	State   *RunnerState
	Pool    *chiverunner.Pool
	Log     *log.Logger
	// Zone is that of this entry VM.
	Zone string
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// ConfigMaxAge is how long after its confirmation a configuration may admit
	// requests with a key.
	ConfigMaxAge time.Duration
	// Observe takes the outcome of each request.
	Observe func(Outcome)

	keepAlivesDisabled atomic.Bool
}

// An Outcome is the end of a request.
type Outcome struct {
	Route string
	// Kind is "idempotent", "once" or "stream"; it is empty without a route.
	Kind     string
	Status   int
	Verdict  chiveverdict.Verdict
	Attempts int
	// FirstLatency is the time to the answer or its first event, TotalLatency that to its end.
	FirstLatency, TotalLatency time.Duration
}

// DisableKeepAlives closes callers' connections after their next answers.
func (y *Relay) DisableKeepAlives() {
	y.keepAlivesDisabled.Store(true)
}

// ServeHTTP implements http.Handler.
func (y *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if y.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relay: y, w: w, r: r, start: chiveclock.Now(), tried: map[string]bool{}, lastEvent: -1}
	defer x.reportOutcome()
	if x.admit() {
		x.forward()
	}
}

// exchange is one request of a caller.
type exchange struct {
	relay     *Relay
	w         http.ResponseWriter
	r         *http.Request
	start     chiveclock.Moment
	deadline  chiveclock.Moment
	request   Request
	body      []byte
	fleet     *chivefleet.Fleet
	route     *chivefleet.Route
	service   *chivefleet.Service
	workspace *chivefleet.Workspace

	// tried holds the runners to which the request was sent.
	tried map[string]bool
	// attempts counts the sends.
	attempts int
	runnerID string
	// mayHaveRun says that a runner may have begun the request.
	mayHaveRun bool
	// responseStarted says that the caller has part of the answer; last is the id of the
	// last event that it has.
	responseStarted bool
	lastEvent       int64
	// lastEventTime is when the last lastEventTime came.
	lastEventTime chiveclock.Moment
	// unavailable says that no runner or no configuration is known.
	unavailable bool
	// groupBroken says that a runner refused for the sake of another of its group.
	groupBroken bool
	// heldResponse is a runner's own failure, for the caller if nothing better comes.
	heldResponse *bufferedResponse

	status       int
	cause        string
	firstLatency time.Duration
}

// admit decides whether the request may be sent at all. Otherwise it answers.
func (x *exchange) admit() bool {
	y := x.relay
	request, err := y.Dialect.Request(x.r)
	if err != nil {
		return x.reject(http.StatusBadRequest, err.Error())
	}
	x.request, x.lastEvent = request, request.LastEvent
	x.fleet = y.Fleet()
	if x.fleet.Config == nil {
		x.unavailable = true
		return x.refuse("no configuration is known yet")
	}
	fresh := x.configFresh()
	x.route = x.fleet.Config.Route(hostOnly(x.r.Host), x.r.URL.Path)
	if x.route == nil {
		if !fresh {
			return x.refuse("the configuration may be out of date")
		}
		return x.reject(http.StatusNotFound, "no route matches")
	}
	if !x.checkKey(fresh) {
		return false
	}
	x.service = x.pickService()
	x.setDeadline()
	return x.readBody()
}

// hostOnly returns a host without its port.
func hostOnly(host string) string {
	name, _, err := net.SplitHostPort(host)
	if err != nil {
		return host
	}
	return name
}

// configFresh reports whether the configuration is known to be new enough.
func (x *exchange) configFresh() bool {
	return x.fleet.IsConfigFresh(chiveclock.Now(), x.relay.ConfigMaxAge)
}

// checkKey finds the workspace of the request's key.
func (x *exchange) checkKey(fresh bool) bool {
	if x.route.Public || !x.fleet.Config.RequiresKey() {
		return true
	}
	if !fresh {
		return x.refuse("the keys may be out of date")
	}
	x.workspace = x.fleet.Config.Workspace(x.request.Key)
	if x.workspace == nil {
		return x.reject(http.StatusUnauthorized, "the key is not known")
	}
	return true
}

func (x *exchange) pickService() *chivefleet.Service {
	sum := 0
	for _, t := range x.route.Targets {
		sum += t.Weight
	}
	at := 0
	if sum > 0 {
		at = rand.IntN(sum)
	}
	for _, t := range x.route.Targets {
		if at -= t.Weight; at < 0 {
			return x.fleet.Config.Services[t.Service]
		}
	}
	return x.fleet.Config.Services[x.route.Targets[0].Service]
}

func (x *exchange) setDeadline() {
	left := x.request.Timeout
	if left == 0 {
		left = defaultTimeout
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	x.deadline = x.start.Add(left)
}

// readBody reads the whole body.
func (x *exchange) readBody() bool {
	limit := x.fleet.Config.MaxBodyBytes
	if limit == 0 {
		limit = 1 << 30
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return x.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		x.cause = "caller broke off its request: " + err.Error()
		panic(http.ErrAbortHandler)
	}
	x.body = body
	return true
}

// forward sends the request to runners until one answers it.
func (x *exchange) forward() {
	x.relay.State.CountRequest(x.service.Name)
	ctx, cancel := context.WithTimeout(x.r.Context(), chiveclock.Until(x.deadline))
	defer cancel()
	var runner *chivefleet.Runner
	for {
		if runner == nil {
			runner = x.reserveRunner()
		}
		if runner == nil {
			x.respondUnserved(ctx)
			return
		}
		done, next := x.tryRunner(ctx, runner)
		if done {
			return
		}
		again := ctx.Err() == nil && (next != nil || x.mayRetry())
		x.relay.Log.Info("Attempt failed.", "request", x.request.ID, "runner", runner.ID, "attempt", x.attempts, "cause", x.cause,
			"ran", x.mayHaveRun, "again", again, "moved", next != nil, "left", formatMillis(chiveclock.Until(x.deadline)))
		if next != nil && (!again || !x.recheckKey()) {
			x.relay.State.Release(next.ID)
			again = false
		}
		if !again {
			x.respondUnserved(ctx)
			return
		}
		runner = next
	}
}

// tryRunner makes an attempt at a runner that was reserved. It reports whether the
// caller has its final answer, and returns the runner that is reserved for the
// next attempt where the request was moved.
func (x *exchange) tryRunner(ctx context.Context, runner *chivefleet.Runner) (done bool, next *chivefleet.Runner) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	s := x.newInflightAttempt(runner, leave)
	x.relay.State.addInflight(runner.ID, s)
	done = x.attempt(ctx, runner)
	next = x.relay.State.removeInflight(runner.ID, s)
	if done && next != nil {
		x.relay.State.Release(next.ID)
		next = nil
	}
	return done, next
}

// reserveRunner picks a runner, after another look at what has changed.
func (x *exchange) reserveRunner() *chivefleet.Runner {
	if !x.recheckKey() {
		return nil
	}
	if chiveclock.Until(x.deadline) < minAttemptTime {
		x.cause = "too little time is left"
		return nil
	}
	usable := x.fleet.UsableRunners(x.service.Name)
	runner := x.relay.State.Reserve(usable, x.chooser(), x.reserveOptions())
	if runner == nil && x.cause == "" {
		x.unavailable = len(usable) == 0
		x.cause = "no runner has room"
		if x.unavailable {
			x.cause = "the service has no runner"
		}
	}
	return runner
}

// priority returns that of the request: its workspace's before its route's.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}

// recheckKey reports whether the newest configuration admits the request.
func (x *exchange) recheckKey() bool {
	x.fleet = x.relay.Fleet()
	if x.workspace == nil {
		return true
	}
	if !x.configFresh() {
		x.cause = "the keys may be out of date"
		return false
	}
	if x.fleet.Config.Workspace(x.request.Key) == nil {
		x.cause = "the key was taken away"
		return false
	}
	return true
}

// mayRetry reports whether the request may be sent once more.
func (x *exchange) mayRetry() bool {
	if x.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	if x.responseStarted && !x.route.Resumable {
		return false
	}
	if x.attempts == 0 {
		return true
	}
	if x.attempts >= max(1, x.route.MaxAttempts) {
		return false
	}
	return x.relay.State.TakeRetry(x.service.Name)
}

// respondUnserved answers a request that no runner will serve.
func (x *exchange) respondUnserved(ctx context.Context) {
	switch {
	case x.r.Context().Err() != nil:
		x.cause = "caller left"
		panic(http.ErrAbortHandler)
	case x.responseStarted:
		x.cause = "stream broke: " + x.cause
		panic(http.ErrAbortHandler)
	case x.heldResponse != nil:
		x.writeResponse(x.heldResponse)
	case !x.mayHaveRun:
		x.refuse(x.cause)
	case ctx.Err() != nil || chiveclock.Until(x.deadline) < minAttemptTime:
		x.respondError(http.StatusGatewayTimeout, "no answer before the deadline")
	default:
		x.respondError(http.StatusBadGateway, x.cause)
	}
}

// refuse answers that the request has not run and tells when to come back.
func (x *exchange) refuse(cause string) bool {
	after := retryAfter
	if x.unavailable || x.groupBroken {
		after = recoveryRetryAfter
	}
	after += time.Duration(rand.Int64N(int64(after / 2)))
	x.relay.Dialect.Refuse(x.w.Header(), after)
	x.respondError(http.StatusServiceUnavailable, cause)
	return false
}

// reject answers that the request cannot be served at all.
func (x *exchange) reject(status int, cause string) bool {
	x.respondError(status, cause)
	return false
}

func (x *exchange) respondError(status int, cause string) {
	x.status, x.cause = status, cause
	x.firstLatency = chiveclock.Since(x.start)
	http.Error(x.w, cause, status)
}

// verdict returns what is known of the request.
func (x *exchange) verdict() chiveverdict.Verdict {
	switch {
	case x.status != 0 && x.status < http.StatusInternalServerError && x.attempts > 0:
		return chiveverdict.Ran
	case x.mayHaveRun:
		return chiveverdict.MayHaveRun
	}
	return chiveverdict.NotRun
}

// reportOutcome logs the end of the request.
func (x *exchange) reportOutcome() {
	o := Outcome{Status: x.status, Verdict: x.verdict(), Attempts: x.attempts, FirstLatency: x.firstLatency, TotalLatency: chiveclock.Since(x.start)}
	if x.route != nil {
		o.Route, o.Kind = x.route.Name, x.route.Kind.String()
	}
	if x.relay.Observe != nil {
		x.relay.Observe(o)
	}
	text := "Request failed."
	if x.cause == "" {
		text = "Request served."
	}
	x.relay.Log.Info(text, "request", x.request.ID, "route", o.Route, "workspace", x.workspaceName(), "status", o.Status,
		"verdict", o.Verdict, "cause", x.cause, "runner", x.runnerID, "attempts", o.Attempts, "event", x.lastEvent, "first", formatMillis(o.FirstLatency),
		"took", formatMillis(o.TotalLatency), "version", x.configVersion(), "age", x.configAge())
}

// formatMillis rounds a time for logs.
func formatMillis(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// configVersion returns that of the configuration that decided the request.
func (x *exchange) configVersion() int64 {
	if x.fleet == nil || x.fleet.Config == nil {
		return 0
	}
	return x.fleet.Config.Version
}

// configAge returns how long ago that configuration was known to be the newest.
func (x *exchange) configAge() string {
	if x.fleet == nil || x.fleet.ConfigConfirmedAt == 0 {
		return "never"
	}
	return formatMillis(chiveclock.Since(x.fleet.ConfigConfirmedAt))
}
