package chiveproof

import (
	"context"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

// keep stores a result under a name once it is there.
func (s *state) keep(name string, send func() *chiveharness.Result) {
	s.pending.Add(1)
	go func() {
		defer s.pending.Done()
		r := send()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results[name] = r
	}()
}

// caller returns a caller that uses the gateway at a position, or all for 0.
func (s *state) caller(gateway int) *chiveharness.Caller {
	c := s.fleet.NewCaller("large")
	if gateway > 0 {
		c.PinAddress(s.fleet.VMs[gateway-1].CallerAddress)
	}
	return c
}

// chat NAME tokens=N [gateway=N] sends a generation request in the background.
func cmdChat(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	o := options(ts, args[1:])
	tokens, gateway := uint64(number(ts, o["tokens"])), 0
	if o["gateway"] != "" {
		gateway = number(ts, o["gateway"])
	}
	s.keep(args[0], func() *chiveharness.Result {
		c := s.caller(gateway)
		defer c.Close()
		r := c.Generate(context.Background(), "draft", args[0], tokens)
		if r.Complete && r.Text != chiveharness.ExpectedAnswer(args[0], tokens) {
			r.Complete, r.Error = false, "answer is another's"
		}
		return r
	})
}

// post NAME [body=TEXT] [key=KEY] [gateway=N] [timeout=SECONDS] sends an order in
// the background. The key "minted" is asked of the system.
func cmdPost(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	o := options(ts, args[1:])
	gateway := 0
	if o["gateway"] != "" {
		gateway = number(ts, o["gateway"])
	}
	body := o["body"]
	if body == "" {
		body = args[0]
	}
	c := s.caller(gateway)
	c.RequestTimeout = o["timeout"]
	key := o["key"]
	if key == "minted" {
		minted, err := c.MintKey(context.Background(), "orders")
		ts.Check(err)
		key = minted
		ts.Setenv("MINTED", minted)
	}
	s.keep(args[0], func() *chiveharness.Result {
		defer c.Close()
		return c.Post(context.Background(), "orders", "/orders", body, key)
	})
}

// taking waits until an order is served: a check that follows is of endpoints that
// take work, not of those passed over after an earlier fault.
func cmdTaking(ts *testscript.TestScript, _ bool, _ []string) {
	s := of(ts)
	ctx, cancel := bounded()
	defer cancel()
	c := s.caller(0)
	defer c.Close()
	ts.Check(s.fleet.WaitFor(ctx, "an order that is served", func() bool {
		return c.Post(ctx, "orders", "/orders", "taking", "").Complete
	}))
}

// result NAME whole|not-run|may-have-run|replayed [runs=BODY:N] [text=PART]
// [after=yes] [within=DURATION] checks a result, once it is there.
func cmdResult(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	s.pending.Wait()
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
		ts.Fatalf("%s is not %s", args[0], args[1])
	}
	for name, value := range options(ts, args[2:]) {
		s.checkResult(ts, r, name, value)
	}
}

func (s *state) checkResult(ts *testscript.TestScript, r *chiveharness.Result, name, value string) {
	switch name {
	case "runs":
		report, err := s.fleet.Report()
		ts.Check(err)
		body, count, _ := strings.Cut(value, ":")
		if report.Runs[body] != number(ts, count) {
			ts.Fatalf("%s ran %d times, not %s", body, report.Runs[body], count)
		}
	case "text":
		if !strings.Contains(r.Text+r.Error, value) {
			ts.Fatalf("%q does not contain %q", r.Text+r.Error, value)
		}
	case "within":
		bound, err := time.ParseDuration(value)
		ts.Check(err)
		if r.TotalTime > bound {
			ts.Fatalf("that took longer than %v", bound)
		}
	case "after":
		if r.RetryAfter == 0 {
			ts.Fatalf("the caller was not told when to come back")
		}
	}
}
