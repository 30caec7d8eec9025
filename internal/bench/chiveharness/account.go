package chiveharness

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// An Audit compares what callers sent and got with what engines and services
// ran.
type Audit struct {
	Sent   int
	Served int
	// Refused counts requests whose last answer was a true "not run".
	Refused int
	// Unknown counts requests whose last answer was "may have run" or none.
	Unknown int
	// Retries counts the times that callers came back for the same request.
	Retries int
	// Duplicated, Mismatched, Lost and FalselyRefused count broken promises: requests that ran
	// twice, answers that are another's or not whole, orders that were answered
	// and did not run, and refusals of requests that ran.
	Duplicated, Mismatched, Lost, FalselyRefused int
	// Violations describes each of them.
	Violations []string
	// FirstTokenTimes and TotalTimes are the sorted times of served generation requests.
	FirstTokenTimes, TotalTimes []time.Duration
}

// NewAudit returns a new Account of a load's record.
func NewAudit(records []*Record, report *chivestandin.Report) *Audit {
	a := &Audit{}
	for _, r := range records {
		a.addRecord(r, report.Runs[r.Body])
	}
	SortDurations(a.FirstTokenTimes)
	SortDurations(a.TotalTimes)
	return a
}

// SortDurations sorts a list for Quantile.
func SortDurations(list []time.Duration) {
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
}

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

func (a *Audit) addChat(r *Record) {
	for _, at := range r.Attempts {
		expected := ExpectedAnswer(r.Body, r.Tokens)
		if at.Complete && at.Text != expected || !strings.HasPrefix(expected, at.Text) {
			a.Mismatched++
			a.addViolation("request %q (%s) got %q, not %q", r.Body, at.ID, at.Text, expected)
		}
	}
	if last := r.LastAttempt(); last.Complete {
		a.FirstTokenTimes = append(a.FirstTokenTimes, last.FirstTokenTime)
		a.TotalTimes = append(a.TotalTimes, last.TotalTime)
	}
}

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
		a.addViolation("order %s (%s) was answered and did not run", r.Body, r.Kind)
	case allRefused && runs > 0:
		a.FalselyRefused++
		a.addViolation("order %s (%s) ran and was refused: %s", r.Body, r.Kind, last.Error)
	case last.Complete && !strings.Contains(last.Text, strings.ReplaceAll(r.Body, `"`, `\"`)):
		a.Mismatched++
		a.addViolation("order %s got %q", r.Body, last.Text)
	}
}

func (a *Audit) addViolation(format string, args ...any) {
	a.Violations = append(a.Violations, fmt.Sprintf(format, args...))
}

// String returns the counts on one line.
func (a *Audit) String() string {
	return fmt.Sprintf("sent %d, served %d, refused truly %d, unknown %d, came back %d, doubled %d, lost %d, crossed %d, falsely refused %d, first token p50 %v p95 %v",
		a.Sent, a.Served, a.Refused, a.Unknown, a.Retries, a.Duplicated, a.Lost, a.Mismatched, a.FalselyRefused,
		Quantile(a.FirstTokenTimes, 0.5).Round(time.Millisecond), Quantile(a.FirstTokenTimes, 0.95).Round(time.Millisecond))
}

// Quantile returns the value at a part of a sorted list, 0 for an empty one.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
