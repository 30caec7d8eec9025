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
	x.runner = runner.ID
	// A connection that the runner has closed meanwhile would leave open whether
	// the request ran.
	fresh := !x.route.Repeatable()
	conn, err := x.relay.Pool.Get(ctx, runner.Address, fresh)
	if err != nil {
		x.suspect(ctx, runner.ID, fmt.Sprintf("runner %s cannot be reached: %v", runner.ID, err))
		x.tried[runner.ID] = true
		return false
	}
	x.attempts++
	x.tried[runner.ID] = true
	match := func(resp *http.Response) bool { return x.relay.Dialect.Matches(x.request.ID, resp) }
	resp, stop, err := conn.Exchange(ctx, x.r, x.header(runner), x.body, match)
	if err != nil {
		conn.Abort()
		var unsent *chiverunner.SendError
		if !errors.As(err, &unsent) || unsent.Sent {
			x.mayHaveRun = true
		}
		x.suspect(ctx, runner.ID, fmt.Sprintf("runner %s broke off: %v", runner.ID, err))
		return false
	}
	result := x.pass(ctx, runner, resp)
	if !stop() || result != passed {
		conn.Abort()
		return result != failed
	}
	if !conn.Reusable(resp) {
		conn.Close()
		return true
	}
	x.relay.Pool.Put(conn)
	return true
}

// result is what became of a runner's answer.
type result uint8

const (
	// failed means that the caller still waits for its final answer.
	failed result = iota
	// passed means that the caller has the whole answer.
	passed
	// dropped means that the caller has left in the middle of the answer.
	dropped
)

// heldAnswer is a runner's own failure, kept while the request is tried again.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// suspect notes that a runner failed, unless it was the caller that left.
func (x *exchange) suspect(ctx context.Context, id, cause string) {
	x.cause = cause
	if ctx.Err() == nil {
		x.relay.Board.Suspect(id)
	}
}

// header returns the header of the request for a runner.
func (x *exchange) header(runner *chivefleet.Runner) []byte {
	o := Outgoing{Runner: runner.ID, Left: chiveclock.Until(x.deadline), LastEvent: x.last, Priority: x.priority()}
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

// pass hands the runner's answer to the caller.
func (x *exchange) pass(ctx context.Context, runner *chivefleet.Runner, resp *http.Response) result {
	answer := x.relay.Dialect.Answer(resp)
	if answer.NotRun {
		fault := runner.ID
		if other := x.fleet.At(x.service.Name, answer.Fault); other != nil {
			fault = other.ID
			x.broken = other != runner
		}
		x.suspect(ctx, fault, fmt.Sprintf("runner %s refused with %d, runner %s at fault", runner.ID, resp.StatusCode, fault))
		return failed
	}
	if x.workspace != nil && !x.mayHaveRun {
		x.relay.Board.serve(x.service.Name, x.workspace.Name, max(1, x.request.Cost))
	}
	x.mayHaveRun = true
	ok := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	if ok && !answer.Signed {
		x.suspect(ctx, runner.ID, fmt.Sprintf("runner %s answered without a signature", runner.ID))
		return failed
	}
	if ok && x.route.Kind == chivefleet.Streaming {
		return x.passStream(ctx, runner, resp)
	}
	return x.passWhole(ctx, runner, resp, ok)
}

// passWhole reads the whole answer before the caller gets any of it.
func (x *exchange) passWhole(ctx context.Context, runner *chivefleet.Runner, resp *http.Response, ok bool) result {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		x.suspect(ctx, runner.ID, fmt.Sprintf("runner %s broke off its answer: %v", runner.ID, err))
		return failed
	}
	held := &heldAnswer{status: resp.StatusCode, header: resp.Header, body: body}
	if !ok {
		x.cause = fmt.Sprintf("runner %s failed with %d", runner.ID, resp.StatusCode)
		if x.begun || resp.StatusCode >= http.StatusInternalServerError {
			x.held = held
			return failed
		}
	}
	if !x.deliver(held) {
		return dropped
	}
	if ok {
		x.cause = ""
	}
	return passed
}

// deliver hands a whole answer to the caller.
func (x *exchange) deliver(a *heldAnswer) bool {
	x.relay.Dialect.Returned(x.w.Header(), a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.status, x.first = a.status, chiveclock.Since(x.began)
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.cause = "caller left: " + err.Error()
		return false
	}
	return true
}

// passStream hands over the events of a stream as they come.
func (x *exchange) passStream(ctx context.Context, runner *chivefleet.Runner, resp *http.Response) result {
	events := chiverunner.NewEventReader(resp.Body)
	flush := http.NewResponseController(x.w)
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			x.finishStream(resp)
			return passed
		}
		if err != nil {
			x.suspect(ctx, runner.ID, fmt.Sprintf("runner %s broke off its stream after event %d: %v", runner.ID, x.last, err))
			return failed
		}
		if e.ID >= 0 && e.ID <= x.last {
			continue
		}
		x.notePause()
		x.beginStream(resp)
		_, err = x.w.Write(e.Raw)
		if err == nil && !events.Pending() {
			err = flush.Flush()
		}
		if err != nil {
			x.cause = "caller left: " + err.Error()
			return dropped
		}
		x.last = max(x.last, e.ID)
	}
}

// notePause notes the pause since the last event.
func (x *exchange) notePause() {
	now := chiveclock.Now()
	if x.begun && x.route.Pause > 0 {
		x.relay.Board.Pause(x.service.Name, now.Sub(x.event), x.route.Pause)
	}
	x.event = now
}

// beginStream sends the header before the first event. A stream that goes on at
// another runner keeps the header of the first.
func (x *exchange) beginStream(resp *http.Response) {
	if x.begun {
		return
	}
	x.begun, x.status, x.first = true, resp.StatusCode, chiveclock.Since(x.began)
	x.relay.Dialect.Returned(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
}

func (x *exchange) finishStream(resp *http.Response) {
	x.beginStream(resp)
	x.cause = ""
}
