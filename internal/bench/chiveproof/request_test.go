package chiveproof

import (
	"context"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

// sendInBackground calls send and stores its result under the given name.
func (s *scriptState) sendInBackground(name string, send func() *chiveharness.Result) {
	s.pendingResults.Add(1)
	go func() {
		defer s.pendingResults.Done()
		r := send()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results[name] = r
	}()
}

// newCaller returns a caller that uses only the gateway with the given number,
// counted from 1, or all gateways if the number is 0.
func (s *scriptState) newCaller(gateway int) *chiveharness.Caller {
	c := s.fleet.NewCaller("large")
	if gateway > 0 {
		c.PinAddress(s.fleet.VMs[gateway-1].CallerAddress)
	}
	return c
}

// chat NAME tokens=N [gateway=N] sends a generation request in the background. Its
// prompt is NAME.
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args[1:])
	tokens, gateway := uint64(parseInt(ts, o["tokens"])), 0
	if o["gateway"] != "" {
		gateway = parseInt(ts, o["gateway"])
	}
	s.sendInBackground(args[0], func() *chiveharness.Result {
		c := s.newCaller(gateway)
		defer c.Close()
		r := c.Generate(context.Background(), "draft", args[0], tokens)
		if r.Complete && r.Text != chiveharness.ExpectedAnswer(args[0], tokens) {
			r.Complete, r.Error = false, "answer belongs to another request"
		}
		return r
	})
}

// post NAME [body=TEXT] [key=KEY] [gateway=N] [timeout=SECONDS] sends an order in
// the background. The body is NAME by default, and KEY is the idempotency key. With
// the key "minted", the system mints a key, which post also stores in the variable
// MINTED.
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	o := parseOptions(ts, args[1:])
	gateway := 0
	if o["gateway"] != "" {
		gateway = parseInt(ts, o["gateway"])
	}
	body := o["body"]
	if body == "" {
		body = args[0]
	}
	c := s.newCaller(gateway)
	c.RequestTimeout = o["timeout"]
	key := o["key"]
	if key == "minted" {
		minted, err := c.MintKey(context.Background(), "orders")
		ts.Check(err)
		key = minted
		ts.Setenv("MINTED", minted)
	}
	s.sendInBackground(args[0], func() *chiveharness.Result {
		defer c.Close()
		return c.Post(context.Background(), "orders", "/orders", body, key)
	})
}

// taking waits until an order is served, so that the checks that follow meet
// endpoints that accept work, not endpoints that are still avoided after an earlier
// fault.
func cmdTaking(ts *testscript.TestScript, _ bool, _ []string) {
	s := stateOf(ts)
	ctx, cancel := waitContext()
	defer cancel()
	c := s.newCaller(0)
	defer c.Close()
	ts.Check(s.fleet.WaitFor(ctx, "a served order", func() bool {
		return c.Post(ctx, "orders", "/orders", "taking", "").Complete
	}))
}

// result NAME whole|not-run|may-have-run|replayed [runs=BODY:N] [text=TEXT]
// [after=yes] [within=DURATION] waits for all pending results and checks one of
// them: how often BODY ran, that the answer or error contains TEXT, that the caller
// was told when to retry, and that the answer took at most DURATION.
func cmdResult(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	s.pendingResults.Wait()
	r := s.results[args[0]]
	ts.Logf("%s: status %d, whole %t, replayed %t, %v, after %v, took %v: %s", args[0], r.Status, r.Complete, r.Replayed, r.Verdict, r.RetryAfter, r.TotalTime.Round(time.Millisecond), r.Error)
	ok := r.Verdict.String() == args[1]
	switch args[1] {
	case "whole":
		ok = r.Complete
	case "replayed":
		ok = r.Complete && r.Replayed
	}
	if !ok {
		ts.Fatalf("result of %s is not %s", args[0], args[1])
	}
	for name, value := range parseOptions(ts, args[2:]) {
		s.checkResult(ts, r, name, value)
	}
}

// checkResult checks one option of the result command.
func (s *scriptState) checkResult(ts *testscript.TestScript, r *chiveharness.Result, name, value string) {
	switch name {
	case "runs":
		report, err := s.fleet.Report()
		ts.Check(err)
		body, count, _ := strings.Cut(value, ":")
		if report.Runs[body] != parseInt(ts, count) {
			ts.Fatalf("body %q ran %d times, want %s", body, report.Runs[body], count)
		}
	case "text":
		if !strings.Contains(r.Text+r.Error, value) {
			ts.Fatalf("answer %q does not contain %q", r.Text+r.Error, value)
		}
	case "within":
		limit, err := time.ParseDuration(value)
		ts.Check(err)
		if r.TotalTime > limit {
			ts.Fatalf("answer took longer than %v", limit)
		}
	case "after":
		if r.RetryAfter == 0 {
			ts.Fatalf("answer does not say when to retry")
		}
	}
}
