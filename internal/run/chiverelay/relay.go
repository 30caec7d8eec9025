package chiverelay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivecost"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// defaultTimeout applies to requests whose caller sets no timeout.
	defaultTimeout = 30 * time.Second
	// retryAfter is the shortest time after which refused callers are told to
	// retry. Up to half of it is added at random, so that callers do not retry all
	// at once.
	retryAfter = 800 * time.Millisecond
	// recoveryRetryAfter replaces retryAfter when a group of ranks has broken or no
	// runner or configuration is available: the remaining ranks detect the failure
	// after 1.5 s and then form the group again.
	recoveryRetryAfter = 1700 * time.Millisecond
	// brokenGroupRetryAfter replaces retryAfter when a group lacks a rank: the rank has
	// to start again and the group to form, and most callers retry only once.
	brokenGroupRetryAfter = 2400 * time.Millisecond
	// minAttemptTime is the shortest time until the deadline at which a request is
	// still sent to a runner.
	minAttemptTime = 15 * time.Millisecond
	// refusalReadTime is how long the server reads the body of a request that is turned away before
	// the caller gets its answer.
	refusalReadTime = time.Second
)

// Relay is an HTTP handler that forwards the requests of callers to runners.
type Relay struct {
	Dialect Dialect
	State   *RunnerState
	Pool    *chiverunner.Pool
	// Crashes keeps requests that crash runners from them.
	Crashes CrashGuard
	// Rates keeps requests within the rates that runners name.
	Rates RateCaps
	// Work estimates the work of requests to services that are balanced by it.
	Work WorkBook
	Log  *log.Logger
	// Zone is the availability zone of this entry VM.
	Zone string
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// ConfigMaxAge is how long a configuration may admit requests with a key after
	// it was last confirmed to be the newest.
	ConfigMaxAge time.Duration
	// Observe is called with the outcome of each request. It may be nil.
	Observe func(Outcome)

	// Memory limits what is held for callers.
	Memory Memory

	// stopping is set once the process stops, by Stop.
	stopping atomic.Pointer[stopPlan]
	// alive and endAll are the results of lifetime.
	lifetimeOnce sync.Once
	alive        context.Context
	endAll       context.CancelFunc
}

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler to abort
// the connection if a response cannot be completed.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if rl.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{relay: rl, w: w, r: r, start: chiveclock.Now(), work: 1, tried: map[string]bool{}, lastEvent: -1}
	x.holding = x.newHolding()
	defer x.end()
	if x.admit() {
		x.forward()
	} else {
		x.shortenReadDeadline()
	}
	x.holding.release()
	if x.holding.cut.Load() {
		// The response must not look complete.
		x.cause = errCut.Error()
		panic(http.ErrAbortHandler)
	}
}

// exchange is the processing of one request of a caller.
type exchange struct {
	relay    *Relay
	w        http.ResponseWriter
	r        *http.Request
	start    chiveclock.Moment
	deadline chiveclock.Moment
	request  Request
	body     []byte
	// readDeadline is the time until which the body may arrive.
	readDeadline time.Time
	// holding counts the memory that is held for the request.
	holding *holding
	// fingerprints are those of the request, set once it is admitted.
	fingerprints []string
	fleet        *chivefleet.Fleet
	route        *chivefleet.Route
	service      *chivefleet.Service
	workspace    *chivefleet.Workspace
	// work is the expected work of the request, in usual requests of the service. estimate
	// holds what it rests on if the service is balanced by work, and charged the work that the
	// workspace was charged with.
	work     float64
	estimate chivecost.Estimate
	charged  float64
	// choice is the runner that was chosen last, as it was then.
	choice chivechoice.Candidate
	// current is the latest attempt.
	current *inflightAttempt

	// tried holds the IDs of the runners that were tried, including those that
	// could not be reached.
	tried map[string]bool
	// unreachableUntil holds until when runners that could not be reached get no further
	// attempt.
	unreachableUntil map[chivefleet.Incarnation]chiveclock.Moment
	// retryTaken reports whether the next attempt is charged to the retry budget already.
	retryTaken bool
	// attempts counts how often the request was sent to a runner.
	attempts int
	// runnerID is the runner of the latest attempt.
	runnerID string
	// fresh reports that further attempts need new connections.
	fresh bool
	// brokeOff reports whether the latest attempt broke off unanswered at a runner that is not
	// leaving.
	brokeOff bool
	// unbounded counts the attempts whose answer exceeded a bound on its size.
	unbounded int
	// noMemory reports whether an answer was given up for want of memory here.
	noMemory bool
	// mayHaveRun reports whether a runner may have started the request.
	mayHaveRun bool
	// responseStarted reports whether the caller has part of the response; lastEvent is the
	// ID of the last event that it has or that is buffered for it, or -1.
	responseStarted bool
	lastEvent       int64
	// streamType is the media type of the stream that has started.
	streamType string
	// lastEventTime is when the last event arrived.
	lastEventTime chiveclock.Moment
	// longestPause is the longest pause between two events of a stream with a pause target.
	longestPause time.Duration
	// unavailable reports whether no runner or no configuration is known.
	unavailable bool
	// groupClosed reports whether the last reservation failed because no group of ranks
	// is open, forming whether one is being formed.
	groupClosed, forming bool
	// pauseLeft is the time until the first runner takes requests again if the last
	// reservation failed because all have asked for a pause, else 0.
	pauseLeft time.Duration
	// excludedFor is how long the request or a part of its prompt is kept from runners, 0 if
	// neither is.
	excludedFor time.Duration
	// allLeaving reports whether the last reservation failed because all runners that have
	// asked for no pause say that they are leaving.
	allLeaving bool
	// stopped reports whether the request was refused because the process stops.
	stopped bool
	// notAdmitted reports whether the request was refused for its urgency or want of room, and
	// returnAfter when it is to return then; it is 0 if that is not known.
	notAdmitted bool
	returnAfter time.Duration
	// groupBroken reports whether a runner refused the request because another
	// runner of its group failed.
	groupBroken bool
	// heldResponse is an error response of a runner, returned to the caller if no
	// retry succeeds.
	heldResponse *bufferedResponse

	// releaseRunner ends the latest attempt at its runner, once, and returns the runner to
	// which the request migrates.
	releaseRunner func() *chivefleet.Runner
	// endAttempt ends the use of the latest connection to a runner, once. It is kept if the
	// response is complete; then the runner is released, too.
	endAttempt func(complete bool)

	// onEnd holds functions that are called at the end of the exchange.
	onEnd []func()
	// status is the status of the response, 0 if none was sent.
	status int
	// cause is why the request or its latest attempt failed, empty on success.
	cause        string
	firstLatency time.Duration
}

// end releases what the exchange holds and reports its outcome.
func (x *exchange) end() {
	for _, f := range x.onEnd {
		f()
	}
	x.learnWork()
	x.holding.release()
	x.reportOutcome()
}

// forward sends the request to runners until one responds or no further attempt is
// allowed.
func (x *exchange) forward() {
	x.fingerprints = fingerprints(x.workspaceName(), x.r.Method, x.r.Host, requestTarget(x.r), x.body)
	x.relay.State.CountRequest(x.service.Name)
	x.relay.Crashes.countRequest(x.suspects())
	x.estimateWork()
	if !x.enter() {
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), chiveclock.Until(x.deadline))
	defer cancel()
	alive, _ := x.relay.lifetime()
	defer context.AfterFunc(alive, cancel)()
	x.holding.cancel = cancel
	var runner *chivefleet.Runner
	for {
		if runner == nil {
			runner = x.reserveRunner()
		}
		if runner == nil && x.awaitGroup(ctx) {
			continue
		}
		if runner == nil {
			x.respondUnserved(ctx)
			return
		}
		done, next := x.tryRunner(ctx, runner)
		if done {
			return
		}
		retry := ctx.Err() == nil && (next != nil || x.mayRetry())
		x.relay.Log.Info("Attempt failed.", "request", x.request.ID, "runner", runner.ID, "attempt", x.attempts, "cause", x.cause,
			"ran", x.mayHaveRun, "again", retry, "moved", next != nil, "left", formatMillis(chiveclock.Until(x.deadline)), "event", x.lastEvent, "parts", x.loggedParts(), "fingerprints", x.fingerprints)
		if next != nil && (!retry || !x.recheckKey()) {
			x.relay.State.Release(next.ID)
			retry, next = false, nil
		}
		if !retry {
			x.respondUnserved(ctx)
			return
		}
		if next != nil && !x.isOpen(next) {
			// It has left since it was reserved.
			x.relay.State.Release(next.ID)
			next, x.retryTaken = nil, true
		}
		runner = next
	}
}

// tryRunner makes an attempt at a runner that was reserved, and releases it. It
// reports whether the exchange is over; if not, next is the runner that is reserved
// for the request if it is being migrated, else nil.
func (x *exchange) tryRunner(ctx context.Context, runner *chivefleet.Runner) (done bool, next *chivefleet.Runner) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := x.newInflightAttempt(runner, cancel)
	x.current = a
	x.noteProgress()
	x.relay.State.addInflight(runner.ID, a)
	x.releaseRunner = sync.OnceValue(func() *chivefleet.Runner { return x.relay.State.removeInflight(runner.ID, a) })
	done = x.attempt(ctx, runner)
	next = x.releaseRunner()
	if done && next != nil {
		x.relay.State.Release(next.ID)
		next = nil
	}
	return done, next
}

// reserveRunner reserves a runner according to the newest view of the fleet. It
// returns nil if there is none or the request is no longer admitted.
func (x *exchange) reserveRunner() *chivefleet.Runner {
	// A request that is turned away here does not wait for a group.
	x.forming = false
	if !x.recheckKey() || x.isExcluded() {
		return nil
	}
	if chiveclock.Until(x.deadline) < minAttemptTime {
		x.cause = "too little time is left"
		return nil
	}
	if x.relay.isLate(x.deadline) {
		x.cause, x.stopped = causeStopping, true
		return nil
	}
	open := x.openRunners()
	openCount := len(open)
	usable := x.reachable(open)
	runner := x.relay.State.Reserve(usable, x.chooser(), x.reserveOptions())
	if runner == nil && (x.cause == "" || len(usable) < openCount) {
		x.unavailable = len(usable) == 0
		switch {
		case x.pauseLeft > 0:
			x.cause = "all runners have asked for a pause, the shortest of " + formatMillis(x.pauseLeft)
		case x.allLeaving:
			x.cause = "all runners say that they are leaving"
		case x.groupClosed:
			x.cause = "the group of ranks is not open"
		case openCount > 0 && x.unavailable:
			x.cause = "no runner can be reached"
		case x.unavailable:
			x.cause = "the service has no runner"
		default:
			x.cause = "no runner has room"
		}
	}
	return runner
}

// priority returns the priority of the request: its workspace's, or its route's if
// the workspace has none.
func (x *exchange) priority() int {
	if x.workspace != nil && x.workspace.Priority != nil {
		return *x.workspace.Priority
	}
	return x.route.Priority
}

// recheckKey updates the view of the fleet and reports whether the newest
// configuration still admits the request's key, for the same workspace.
func (x *exchange) recheckKey() bool {
	x.fleet = x.relay.Fleet()
	if x.workspace == nil {
		return true
	}
	if !x.configFresh() {
		x.cause = "the keys may be out of date"
		return false
	}
	w := x.fleet.Config.Workspace(x.request.Key)
	switch {
	case w == nil:
		x.cause = "the key was taken away"
	case w.Name != x.workspace.Name:
		x.cause = "the key was given to another workspace"
	default:
		return true
	}
	return false
}

// mayRetry reports whether the request may be sent again: not at once if there was no memory for
// its answer. If it was sent before,
// the retry is charged to the retry budget of the service.
func (x *exchange) mayRetry() bool {
	if x.noMemory || x.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	if x.responseStarted && !x.route.Resumable {
		return false
	}
	if x.attempts == 0 {
		return true
	}
	if x.attempts >= max(1, x.route.MaxAttempts) || x.mayCrashNext() {
		return false
	}
	x.retryTaken = x.retryTaken || x.relay.State.TakeRetry(x.service.Name)
	return x.retryTaken
}

// respondUnserved ends an exchange without a successful response: it responds with
// an error, or aborts the connection if the caller is gone or has part of a stream.
func (x *exchange) respondUnserved(ctx context.Context) {
	switch {
	case x.holding.cut.Load():
		x.cause = errCut.Error()
		panic(http.ErrAbortHandler)
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
	case x.relay.timeLeft(x.deadline) <= 0 && chiveclock.Until(x.deadline) > 0:
		x.respondError(http.StatusGatewayTimeout, causeStopping)
	case ctx.Err() != nil || chiveclock.Until(x.deadline) < minAttemptTime:
		x.respondError(http.StatusGatewayTimeout, "no answer before the deadline")
	default:
		x.respondError(http.StatusBadGateway, x.cause)
	}
}

// refuse responds with status 503, which means that the request has not run, and
// with the time after which to retry. It always returns false.
func (x *exchange) refuse(cause string) bool {
	delay := retryAfter
	switch {
	case x.stopped:
		delay = stopRetryAfter
	case x.excludedFor > 0:
		delay = max(delay, x.excludedFor)
	case x.pauseLeft > 0:
		delay = max(delay, x.pauseLeft)
	case x.groupClosed && !x.forming:
		delay = brokenGroupRetryAfter
	case x.unavailable || x.groupBroken:
		delay = recoveryRetryAfter
	default:
		x.setReturn()
	}
	if x.returnAfter > 0 {
		delay = x.returnAfter
	} else {
		delay += time.Duration(rand.Int64N(int64(delay / 2)))
	}
	x.relay.Dialect.Refuse(x.w.Header(), delay)
	x.respondError(http.StatusServiceUnavailable, cause)
	return false
}

// reject responds with an error that a retry would not resolve. It always returns
// false.
func (x *exchange) reject(status int, cause string) bool {
	x.respondError(status, cause)
	return false
}

// respondError responds with a status and with the cause as the body. The status is 502 in place of
// one that would promise too much.
func (x *exchange) respondError(status int, cause string) {
	if !x.mayAnswer(status) {
		status = http.StatusBadGateway
	}
	x.status, x.cause = status, cause
	x.firstLatency = chiveclock.Since(x.start)
	http.Error(x.w, cause, status)
}
