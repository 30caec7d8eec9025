package chiveharness

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// Audit compares the answers that callers received with the executions that the
// engines and services recorded.
type Audit struct {
	// Sent counts all requests, Served those whose last attempt got a complete answer.
	Sent   int
	Served int
	// Refused counts requests whose last attempt has the verdict not-run.
	Refused int
	// Unknown counts requests whose last attempt is incomplete and has another verdict.
	Unknown int
	// Retries counts the attempts after the first of each request.
	Retries int
	// Duplicated counts orders that ran more than once, Mismatched answers other than
	// the expected one, Lost orders that were answered but did not run, and
	// FalselyRefused orders that ran although every attempt was refused.
	Duplicated, Mismatched, Lost, FalselyRefused int
	// Violations describes each case that these four fields count.
	Violations []string
	// FirstTokenTimes and TotalTimes hold the times of served generation requests in
	// ascending order.
	FirstTokenTimes, TotalTimes []time.Duration
}

// NewAudit returns the Audit of the records of a load and a report of the stand-ins.
func NewAudit(records []*Record, report *chivestandin.Report) *Audit {
	a := &Audit{}
	for _, r := range records {
		a.addRecord(r, report.Runs[r.Body])
	}
	SortDurations(a.FirstTokenTimes)
	SortDurations(a.TotalTimes)
	return a
}

// SortDurations sorts a list in ascending order, as Quantile needs it.
func SortDurations(list []time.Duration) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}

// addRecord adds a request that ran the given number of times.
func (a *Audit) addRecord(r *Record, runs int) {
	a.Sent++
	a.Retries += len(r.Attempts) - 1
	last := r.LastAttempt()
	switch {
	case last.Complete:
		a.Served++
	case last.Verdict == chiveverdict.NotRun:
		a.Refused++
	default:
		a.Unknown++
	}
	if r.Kind == KindChat {
		a.addChat(r)
		return
	}
	a.addOrder(r, runs)
}

// addChat checks that every attempt of a generation request got the expected text or,
// if incomplete, a prefix of it.
func (a *Audit) addChat(r *Record) {
	for _, at := range r.Attempts {
		expected := ExpectedAnswer(r.Body, r.Tokens)
		if at.Complete && at.Text != expected || !strings.HasPrefix(expected, at.Text) {
			a.Mismatched++
			a.addViolation("request %q (%s) got the answer %q instead of %q", r.Body, at.ID, at.Text, expected)
		}
	}
	if last := r.LastAttempt(); last.Complete {
		a.FirstTokenTimes = append(a.FirstTokenTimes, last.FirstTokenTime)
		a.TotalTimes = append(a.TotalTimes, last.TotalTime)
	}
}

// addOrder checks the answers to an order against the number of its executions.
func (a *Audit) addOrder(r *Record, runs int) {
	last := r.LastAttempt()
	allRefused := true
	for _, at := range r.Attempts {
		allRefused = allRefused && at.Verdict == chiveverdict.NotRun
	}
	switch {
	case runs > 1:
		a.Duplicated++
		a.addViolation("order %s (%s) ran %d times", r.Body, r.Kind, runs)
	case last.Complete && runs == 0:
		a.Lost++
		a.addViolation("order %s (%s) was answered but did not run", r.Body, r.Kind)
	case allRefused && runs > 0:
		a.FalselyRefused++
		a.addViolation("order %s (%s) ran although it was refused: %s", r.Body, r.Kind, last.Error)
	case last.Complete && !strings.Contains(last.Text, strings.ReplaceAll(r.Body, `"`, `\"`)):
		a.Mismatched++
		a.addViolation("order %s got the answer %q", r.Body, last.Text)
	}
}

// addViolation adds the description of a violation.
func (a *Audit) addViolation(format string, args ...any) {
	a.Violations = append(a.Violations, fmt.Sprintf(format, args...))
}

// String returns the counts on one line.
func (a *Audit) String() string {
	return fmt.Sprintf("sent %d, served %d, refused truly %d, unknown %d, came back %d, doubled %d, lost %d, crossed %d, falsely refused %d, first token p50 %v p95 %v",
		a.Sent, a.Served, a.Refused, a.Unknown, a.Retries, a.Duplicated, a.Lost, a.Mismatched, a.FalselyRefused,
		Quantile(a.FirstTokenTimes, 0.5).Round(time.Millisecond), Quantile(a.FirstTokenTimes, 0.95).Round(time.Millisecond))
}

// Quantile returns the q-quantile, from 0 to 1, of a list in ascending order, or 0 for
// an empty list.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
