package chiveproof

import (
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

// account honest|served|whole stops the load and checks the outcome of its
// requests. All three require that no guarantee is broken and that at least one
// request was served; served also requires that every request was served, and
// whole that every request was served without a retry by its caller.
func cmdAccount(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	records := s.load.Stop()
	report, err := s.fleet.Report()
	ts.Check(err)
	a := chiveharness.NewAudit(records, report)
	ts.Logf("%v", a)
	for _, v := range a.Violations {
		ts.Logf("violation: %s", v)
	}
	failed := len(a.Violations) > 0 || a.Served == 0
	if args[0] != "honest" && a.Served < a.Sent || args[0] == "whole" && a.Retries > 0 {
		failed = true
		logFailedAttempts(ts, records)
	}
	if failed {
		ts.Fatalf("account of the load is not %q", args[0])
	}
}

const (
	maxLoggedAttempts = 10
	// maxLogLines is the number of lines of a process's log shown on failure.
	maxLogLines = 60
)

// logFailedAttempts logs the first attempts that did not get a whole answer.
func logFailedAttempts(ts *testscript.TestScript, records []*chiveharness.Record) {
	logged := 0
	for _, r := range records {
		for _, at := range r.Attempts {
			if !at.Complete && logged < maxLoggedAttempts {
				logged++
				ts.Logf("%s %q at %s: status %d, %v, %s", r.Kind, r.Body, at.Gateway, at.Status, at.Verdict, at.Error)
			}
		}
	}
}
