package chiverelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// attempt sends the request to a runner and forwards the response. It reports
// whether the exchange is over: the caller has its final response or is gone.
// Otherwise x.cause holds the reason.
func (x *exchange) attempt(ctx context.Context, runner *chivefleet.Runner) bool {
	x.runnerID = runner.ID
	// A request that must not run twice takes a new connection: if the runner had
	// closed an idle one, it would be unknown whether the request ran. So does a further
	// attempt at a runner: what it writes on an idle one may be its answer to an earlier one.
	fresh := x.fresh || !x.route.Repeatable() || x.tried[runner.ID]
	conn, err := x.relay.Pool.Get(ctx, runner.Address, fresh)
	if err != nil {
		if chiverunner.IsRefused(err) {
			x.relay.Crashes.noteEnd(runner.Incarnation())
		}
		x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s cannot be reached: %v", runner.ID, err))
		x.tried[runner.ID] = true
		x.noteUnreachable(runner)
		return false
	}
	if !x.mayStillSend(runner) {
		conn.Close()
		return false
	}
	x.attempts++
	x.retryTaken, x.brokeOff = false, false
	x.tried[runner.ID] = true
	resp, stop, err := conn.Exchange(ctx, chiverunner.Outgoing{
		Request: x.r, Header: x.requestHeader(runner), Body: x.body,
		Match:      func(resp *http.Response) bool { return x.relay.Dialect.Matches(x.request.ID, resp) },
		Unreturned: func(resp *http.Response) { x.applyUnreturned(runner, x.relay.Dialect.Response(resp)) },
	})
	if err != nil {
		var sendErr *chiverunner.SendError
		if !errors.As(err, &sendErr) || sendErr.Sent {
			x.mayHaveRun = true
			x.noteBreak(ctx, runner)
		}
		x.noteUnbounded(runner, err)
		x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s broke off: %v", runner.ID, err))
		return false
	}
	if conn.Reused() && x.relay.Dialect.Anonymous(resp) {
		// It may be a late response to an earlier request: neither an answer to this one nor
		// a promise that it does not run.
		conn.Abort()
		x.mayHaveRun, x.fresh = true, true
		x.applyUnreturned(runner, x.relay.Dialect.Response(resp))
		x.cause = fmt.Sprintf("runner %s answered %d without naming the request on a connection that was used before", runner.ID, resp.StatusCode)
		return false
	}
	var once sync.Once
	x.endAttempt = func(complete bool) { once.Do(func() { x.putConn(conn, resp, stop, complete) }) }
	result := x.forwardResponse(ctx, runner, resp)
	x.endAttempt(result == responseDelivered)
	return result != attemptFailed
}

// putConn returns a connection to the pool and releases the runner if its response has been
// read to the end, else it aborts the connection.
func (x *exchange) putConn(conn *chiverunner.Conn, resp *http.Response, stop func() bool, complete bool) {
	switch {
	case !stop() || !complete:
		conn.Abort()
		return
	case !conn.Reusable(resp):
		conn.Close()
	default:
		x.relay.Pool.Put(conn)
	}
	x.releaseRunner()
}

// attemptResult is the result of forwarding a runner's response.
type attemptResult uint8

const (
	// attemptFailed means that the caller still waits for its final response.
	attemptFailed attemptResult = iota
	// responseDelivered means that the caller has the whole response.
	responseDelivered
	// callerGone means that the caller disconnected during the response.
	callerGone
)

// bufferedResponse is a whole response of a runner. Error responses are kept while
// the request is retried.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// recordFailure sets the cause of a failed attempt and marks the runner as suspect.
// It does not mark the runner if the context has ended: the caller disconnected,
// the deadline passed or the request is being migrated.
func (x *exchange) recordFailure(ctx context.Context, id, cause string) {
	x.cause = cause
	if ctx.Err() == nil {
		x.relay.State.MarkSuspect(id)
	}
}

// noteUnbounded logs and counts an answer that exceeds a bound and may have no end. It
// does nothing for other errors.
func (x *exchange) noteUnbounded(runner *chivefleet.Runner, err error) {
	if !errors.Is(err, chiverunner.ErrUnbounded) {
		return
	}
	x.unbounded++
	x.relay.Log.Warn("Answer of a runner may have no end, connection reset.", "runner", runner.ID, "request", x.request.ID, "error", err)
}

// requestHeader returns the encoded header of the request to a runner, from the
// request line to the blank line.
func (x *exchange) requestHeader(runner *chivefleet.Runner) []byte {
	q := RunnerRequest{Runner: runner.ID, TimeLeft: x.relay.timeLeft(x.deadline), LastEvent: x.lastEvent, Priority: x.priority()}
	if x.workspace != nil {
		q.Workspace = x.workspace.Name
	}
	h := x.relay.Dialect.Outgoing(x.r.Header, q)
	var b bytes.Buffer
	b.WriteString(x.r.Method + " " + requestTarget(x.r) + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	if len(x.body) > 0 || x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	if err := h.Write(&b); err != nil {
		panic("relay: write request header to buffer: " + err.Error())
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// forwardResponse forwards a runner's response to the caller.
func (x *exchange) forwardResponse(ctx context.Context, runner *chivefleet.Runner, resp *http.Response) attemptResult {
	decoded := x.relay.Dialect.Response(resp)
	x.applyNotices(runner, decoded)
	if decoded.NotRun {
		faultID := runner.ID
		if other := x.fleet.RunnerAt(x.service.Name, decoded.FaultAddress); other != nil {
			faultID = other.ID
			x.groupBroken = other != runner
		}
		cause := fmt.Sprintf("runner %s refused with %d, runner %s at fault", runner.ID, resp.StatusCode, faultID)
		if decoded.Pause > 0 {
			cause += fmt.Sprintf(", asked for a pause of %v", decoded.Pause)
		}
		if decoded.Leaving {
			cause += ", is leaving"
		}
		x.recordFailure(ctx, faultID, cause)
		return attemptFailed
	}
	if x.workspace != nil && !x.mayHaveRun {
		x.relay.State.addUsage(x.service.Name, x.workspace.Name, x.chargeWork())
	}
	x.mayHaveRun = true
	ok := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	if ok && !decoded.Signed {
		x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s answered without a signature", runner.ID))
		return attemptFailed
	}
	if endsRequest(resp.StatusCode) && !decoded.Signed && x.relay.Dialect.Anonymous(resp) {
		// Some other server may have answered, whose word must not end the request for good.
		x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s answered %d without a signature and the id of the request", runner.ID, resp.StatusCode))
		return attemptFailed
	}
	if !x.mayAnswer(resp.StatusCode) {
		x.cause = fmt.Sprintf("runner %s answered %d without saying that the request has not run", runner.ID, resp.StatusCode)
		return attemptFailed
	}
	if ok && x.route.Kind == chivefleet.Streaming {
		if x.responseStarted && !x.continuesStream(resp) {
			x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s answered %d of type %q, which is no part of the stream", runner.ID, resp.StatusCode, mediaType(resp)))
			return attemptFailed
		}
		return x.forwardStream(ctx, runner, resp)
	}
	return x.forwardWhole(ctx, runner, resp, ok)
}

// endsRequest reports whether callers take a status for the final one of a request that failed.
func endsRequest(status int) bool {
	return status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
}

// forwardWhole reads the whole response before it forwards any of it. Server
// errors, and any error of a stream that has started, are kept in x.heldResponse.
func (x *exchange) forwardWhole(ctx context.Context, runner *chivefleet.Runner, resp *http.Response, ok bool) attemptResult {
	body, release, err := x.holding.readAnswer(resp.Body)
	if errors.Is(err, errNoMemory) {
		x.cause, x.noMemory = err.Error(), true
		return attemptFailed
	}
	if err != nil {
		x.noteBreak(ctx, runner)
		x.noteUnbounded(runner, err)
		x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s broke off its answer: %v", runner.ID, err))
		return attemptFailed
	}
	// A response may be kept until the end of the exchange.
	x.onEnd = append(x.onEnd, release)
	whole := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if !ok {
		x.cause = fmt.Sprintf("runner %s failed with %d", runner.ID, resp.StatusCode)
		if x.responseStarted || resp.StatusCode >= http.StatusInternalServerError {
			x.heldResponse = whole
			return attemptFailed
		}
	}
	// The runner has done its part, however slowly the caller reads.
	x.endAttempt(true)
	if !x.writeResponse(whole) {
		return callerGone
	}
	if ok {
		x.cause = ""
		x.relay.Crashes.noteAnswer(x.suspects())
	}
	return responseDelivered
}

// writeResponse writes a whole response to the caller. It reports whether the write
// succeeded.
func (x *exchange) writeResponse(b *bufferedResponse) bool {
	x.relay.Dialect.Returned(x.w.Header(), b.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	x.status, x.firstLatency = b.status, chiveclock.Since(x.start)
	x.w.WriteHeader(b.status)
	out := x.newCallerWriter()
	defer out.close()
	if err := out.writeWhole(b.body); err != nil {
		x.cause = "caller left: " + err.Error()
		return false
	}
	return true
}

// forwardStream forwards the events of a stream as they arrive. It skips events
// that the caller already has.
func (x *exchange) forwardStream(ctx context.Context, runner *chivefleet.Runner, resp *http.Response) attemptResult {
	events := chiverunner.NewEventReader(resp.Body)
	count := 0
	buffer := newStreamBuffer(x.holding, events, func() ([]byte, error) { return x.readEvent(ctx, runner, events, &count) })
	defer buffer.close()
	buffer.onWaited = func() { x.lastEventTime = chiveclock.Now() }
	buffer.onError = x.giveUpNext
	out := x.newCallerWriter()
	defer out.close()
	out.onBlocked = buffer.readOn
	for {
		p, flush, err := buffer.next()
		if errors.Is(err, io.EOF) {
			x.finishStream(resp)
			return responseDelivered
		}
		if err != nil {
			return attemptFailed
		}
		x.startStream(resp)
		if err := out.write(p, flush); err != nil {
			x.endAttempt(false)
			buffer.close()
			x.cause = "caller left: " + err.Error()
			return callerGone
		}
	}
}

// readEvent returns the next event of a stream that the caller lacks. At the end of the stream
// it ends the attempt; other errors are recorded as its failure. count is the number of events
// that were read.
func (x *exchange) readEvent(ctx context.Context, runner *chivefleet.Runner, events *chiverunner.EventReader, count *int) ([]byte, error) {
	for {
		e, err := events.Next()
		*count++
		if errors.Is(err, io.EOF) || *count == provenEvents && err == nil {
			x.relay.Crashes.noteAnswer(x.suspects())
		}
		if errors.Is(err, io.EOF) {
			x.endAttempt(true)
			return nil, err
		}
		if err != nil {
			if *count <= provenEvents && !errors.Is(err, chiverunner.ErrStalled) {
				x.noteBreak(ctx, runner)
			}
			x.noteUnbounded(runner, err)
			x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s broke off its stream after event %d: %v", runner.ID, x.lastEvent, err))
			x.endAttempt(false)
			return nil, err
		}
		if e.ID >= 0 && e.ID <= x.lastEvent {
			continue
		}
		if e.ID < 0 && x.lastEvent >= 0 && !e.Comment {
			x.recordFailure(ctx, runner.ID, fmt.Sprintf("runner %s sent an event without an id after event %d", runner.ID, x.lastEvent))
			x.endAttempt(false)
			return nil, chiverunner.ErrNoEvent
		}
		x.recordPause()
		x.lastEvent = max(x.lastEvent, e.ID)
		x.noteProgress()
		return e.Raw, nil
	}
}

// giveUpNext releases the runner of the attempt and the one that is reserved for the request, for
// it is unknown when the caller has read what has arrived. The retry is charged already.
func (x *exchange) giveUpNext() {
	if next := x.releaseRunner(); next != nil {
		x.relay.State.Release(next.ID)
		x.retryTaken = true
	}
	x.releaseRunner = func() *chivefleet.Runner { return nil }
}

// recordPause records the time since the last event, if the route has a target for
// it.
func (x *exchange) recordPause() {
	now := chiveclock.Now()
	if x.responseStarted && x.route.PauseTarget > 0 {
		pause := now.Sub(x.lastEventTime)
		x.longestPause = max(x.longestPause, pause)
		x.relay.State.RecordPause(x.service.Name, pause, x.route.PauseTarget)
	}
	x.lastEventTime = now
}

// startStream sends the response header unless it was already sent: a stream that
// resumes at another runner keeps the header of the first.
func (x *exchange) startStream(resp *http.Response) {
	if x.responseStarted {
		return
	}
	x.responseStarted, x.status, x.firstLatency = true, resp.StatusCode, chiveclock.Since(x.start)
	x.streamType = mediaType(resp)
	x.recordFirst()
	x.relay.Dialect.Returned(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

// continuesStream reports whether a response may be a further part of the stream that has started.
func (x *exchange) continuesStream(resp *http.Response) bool {
	return resp.StatusCode == x.status && mediaType(resp) == x.streamType
}

// mediaType returns the media type of a response without its parameters.
func mediaType(resp *http.Response) string {
	name, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(name))
}

// finishStream completes a stream, which may have had no events.
func (x *exchange) finishStream(resp *http.Response) {
	x.startStream(resp)
	x.cause = ""
}
