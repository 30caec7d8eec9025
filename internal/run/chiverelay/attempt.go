package chiverelay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// attempt sends the request to a runner. It reports whether the caller has its
// final answer; otherwise the cause says why not.
func (x *exchange) attempt(ctx context.Context, runner *chivefleet.Runner) bool {
	x.runnerID = runner.ID
	// A connection that the runner has closed meanwhile would leave open whether
	// the request ran.
	fresh := !x.route.Repeatable()
	conn, err := x.relay.Pool.Get(ctx, runner.Address, fresh)
	if err != nil {
		x.markSuspect(ctx, runner.ID, fmt.Sprintf("runner %s cannot be reached: %v", runner.ID, err))
		x.tried[runner.ID] = true
		return false
	}
	x.attempts++
	x.tried[runner.ID] = true
	match := func(resp *http.Response) bool { return x.relay.Dialect.Matches(x.request.ID, resp) }
	resp, stop, err := conn.Exchange(ctx, x.r, x.requestHeader(runner), x.body, match)
	if err != nil {
		conn.Abort()
		var unsent *chiverunner.SendError
		if !errors.As(err, &unsent) || unsent.Sent {
			x.mayHaveRun = true
		}
		x.markSuspect(ctx, runner.ID, fmt.Sprintf("runner %s broke off: %v", runner.ID, err))
		return false
	}
	result := x.forwardResponse(ctx, runner, resp)
	if !stop() || result != responseDelivered {
		conn.Abort()
		return result != attemptFailed
	}
	if !conn.Reusable(resp) {
		conn.Close()
		return true
	}
	x.relay.Pool.Put(conn)
	return true
}

// attemptResult is what became of a runner's answer.
type attemptResult uint8

const (
	// attemptFailed means that the caller still waits for its final answer.
	attemptFailed attemptResult = iota
	// responseDelivered means that the caller has the whole answer.
	responseDelivered
	// callerGone means that the caller has left in the middle of the answer.
	callerGone
)

// bufferedResponse is a runner's own failure, kept while the request is tried again.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// markSuspect notes that a runner failed, unless it was the caller that left.
func (x *exchange) markSuspect(ctx context.Context, id, cause string) {
	x.cause = cause
	if ctx.Err() == nil {
		x.relay.State.MarkSuspect(id)
	}
}

// requestHeader returns the requestHeader of the request for a runner.
func (x *exchange) requestHeader(runner *chivefleet.Runner) []byte {
	o := RunnerRequest{Runner: runner.ID, TimeLeft: chiveclock.Until(x.deadline), LastEvent: x.lastEvent, Priority: x.priority()}
	if x.workspace != nil {
		o.Workspace = x.workspace.Name
	}
	h := x.relay.Dialect.Outgoing(x.r.Header, o)
	var b bytes.Buffer
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	if len(x.body) > 0 || x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(x.body)))
	}
	if err := h.Write(&b); err != nil {
		panic("relay: writing to memory failed: " + err.Error())
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// forwardResponse hands the runner's answer to the caller.
func (x *exchange) forwardResponse(ctx context.Context, runner *chivefleet.Runner, resp *http.Response) attemptResult {
	answer := x.relay.Dialect.Answer(resp)
	if answer.NotRun {
		fault := runner.ID
		if other := x.fleet.RunnerAt(x.service.Name, answer.FaultAddress); other != nil {
			fault = other.ID
			x.groupBroken = other != runner
		}
		x.markSuspect(ctx, fault, fmt.Sprintf("runner %s refused with %d, runner %s at fault", runner.ID, resp.StatusCode, fault))
		return attemptFailed
	}
	if x.workspace != nil && !x.mayHaveRun {
		x.relay.State.addUsage(x.service.Name, x.workspace.Name, max(1, x.request.Cost))
	}
	x.mayHaveRun = true
	ok := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	if ok && !answer.Signed {
		x.markSuspect(ctx, runner.ID, fmt.Sprintf("runner %s answered without a signature", runner.ID))
		return attemptFailed
	}
	if ok && x.route.Kind == chivefleet.Streaming {
		return x.forwardStream(ctx, runner, resp)
	}
	return x.forwardWhole(ctx, runner, resp, ok)
}

// forwardWhole reads the whole answer before the caller gets any of it.
func (x *exchange) forwardWhole(ctx context.Context, runner *chivefleet.Runner, resp *http.Response, ok bool) attemptResult {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		x.markSuspect(ctx, runner.ID, fmt.Sprintf("runner %s broke off its answer: %v", runner.ID, err))
		return attemptFailed
	}
	held := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if !ok {
		x.cause = fmt.Sprintf("runner %s failed with %d", runner.ID, resp.StatusCode)
		if x.responseStarted || resp.StatusCode >= http.StatusInternalServerError {
			x.heldResponse = held
			return attemptFailed
		}
	}
	if !x.writeResponse(held) {
		return callerGone
	}
	if ok {
		x.cause = ""
	}
	return responseDelivered
}

// writeResponse hands a whole answer to the caller.
func (x *exchange) writeResponse(a *bufferedResponse) bool {
	x.relay.Dialect.Returned(x.w.Header(), a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.status, x.firstLatency = a.status, chiveclock.Since(x.start)
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.cause = "caller left: " + err.Error()
		return false
	}
	return true
}

// forwardStream hands over the events of a stream as they come.
func (x *exchange) forwardStream(ctx context.Context, runner *chivefleet.Runner, resp *http.Response) attemptResult {
	events := chiverunner.NewEventReader(resp.Body)
	flush := http.NewResponseController(x.w)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			x.finishStream(resp)
			return responseDelivered
		}
		if err != nil {
			x.markSuspect(ctx, runner.ID, fmt.Sprintf("runner %s broke off its stream after event %d: %v", runner.ID, x.lastEvent, err))
			return attemptFailed
		}
		if e.ID >= 0 && e.ID <= x.lastEvent {
			continue
		}
		x.recordPause()
		x.startStream(resp)
		_, err = x.w.Write(e.Raw)
		if err == nil && !events.Pending() {
			err = flush.Flush()
		}
		if err != nil {
			x.cause = "caller left: " + err.Error()
			return callerGone
		}
		x.lastEvent = max(x.lastEvent, e.ID)
	}
}

// recordPause notes the pause since the last event.
func (x *exchange) recordPause() {
	now := chiveclock.Now()
	if x.responseStarted && x.route.EventGapTarget > 0 {
		x.relay.State.RecordPause(x.service.Name, now.Sub(x.lastEventTime), x.route.EventGapTarget)
	}
	x.lastEventTime = now
}

// startStream sends the header before the first event. A stream that goes on at
// another runner keeps the header of the first.
func (x *exchange) startStream(resp *http.Response) {
	if x.responseStarted {
		return
	}
	x.responseStarted, x.status, x.firstLatency = true, resp.StatusCode, chiveclock.Since(x.start)
	x.relay.Dialect.Returned(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) finishStream(resp *http.Response) {
	x.startStream(resp)
	x.cause = ""
}
