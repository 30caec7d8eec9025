package chiveproof

import (
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

// account honest|whole ends the load. Honest: no promise is broken. Whole: every
// request was served besides, without its caller coming back.
func cmdAccount(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	records := s.load.Stop()
	report, err := s.fleet.Report()
	ts.Check(err)
	a := chiveharness.NewAudit(records, report)
	ts.Logf("%v", a)
	for _, b := range a.Violations {
		ts.Logf("broken: %s", b)
	}
	failed := len(a.Violations) > 0 || a.Served == 0
	if args[0] != "honest" && a.Served < a.Sent || args[0] == "whole" && a.Retries > 0 {
		failed = true
		logFailures(ts, records)
	}
	if failed {
		ts.Fatalf("account is not %s", args[0])
	}
}

const (
	maxFailures = 10
	// maxLogLines bounds what is shown of a process's log.
	maxLogLines = 60
)

func logFailures(ts *testscript.TestScript, records []*chiveharness.Record) {
	shown := 0
	for _, r := range records {
		for _, at := range r.Attempts {
			if !at.Complete && shown < maxFailures {
				shown++
				ts.Logf("%s %q at %s: status %d, %v, %s", r.Kind, r.Body, at.Gateway, at.Status, at.Verdict, at.Error)
			}
		}
	}
}
