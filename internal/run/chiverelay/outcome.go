package chiverelay

import (
	"net/http"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Outcome describes a finished request.
type Outcome struct {
	Route string
	// Kind is "idempotent", "once" or "stream", or empty if no route matched.
	Kind     string
	Status   int
	Verdict  chiveverdict.Verdict
	Attempts int
	// NotAdmitted reports whether the request was refused because its service has too little
	// room for its Urgency.
	NotAdmitted bool
	Urgency     int
	// Unbounded counts the attempts whose answer exceeded a bound on its size.
	Unbounded int
	// FirstLatency is the time to the response header. Streams send it with their
	// first event, other responses once they are complete. TotalLatency is the time
	// to the end of the response.
	FirstLatency, TotalLatency time.Duration
	// EstimatedWork and ActualWork are in usual requests, 0 for requests that are not
	// estimated or did not end well.
	EstimatedWork, ActualWork float64
}

// verdict returns whether the request has run, according to its attempts.
func (x *exchange) verdict() chiveverdict.Verdict {
	switch {
	case x.status != 0 && x.status < http.StatusInternalServerError && x.attempts > 0:
		return chiveverdict.Ran
	case x.mayHaveRun:
		return chiveverdict.MayHaveRun
	}
	return chiveverdict.NotRun
}

// reportOutcome logs the outcome of the request and passes it to Observe.
func (x *exchange) reportOutcome() {
	o := Outcome{Status: x.status, Verdict: x.verdict(), Attempts: x.attempts, Unbounded: x.unbounded, FirstLatency: x.firstLatency, TotalLatency: chiveclock.Since(x.start)}
	if x.route != nil {
		o.Route, o.Kind = x.route.Name, x.route.Kind.String()
		o.NotAdmitted, o.Urgency = x.notAdmitted, x.urgency()
	}
	if x.estimate.Answer > 0 && x.cause == "" {
		o.EstimatedWork, o.ActualWork = x.work, x.actualWork()
	}
	if x.relay.Observe != nil {
		x.relay.Observe(o)
	}
	logger := x.relay.Log
	if x.estimate.Answer > 0 {
		logger = logger.With(x.workFields()...)
	}
	text := "Request failed."
	if x.cause == "" {
		text = "Request served."
	}
	logger.Info(text, "request", x.request.ID, "route", o.Route, "workspace", x.workspaceName(), "status", o.Status,
		"verdict", o.Verdict, "cause", x.cause, "runner", x.runnerID, "attempts", o.Attempts, "event", x.lastEvent, "first", formatMillis(o.FirstLatency),
		"took", formatMillis(o.TotalLatency), "pause", formatMillis(x.longestPause), "version", x.configVersion(), "age", x.configAge())
}

// formatMillis formats a duration for logs, rounded to milliseconds.
func formatMillis(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}

// workspaceName returns the name of the request's workspace, or an empty string.
func (x *exchange) workspaceName() string {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

// configVersion returns the version of the configuration that the request used, or
// 0 if there was none.
func (x *exchange) configVersion() int64 {
	if x.fleet == nil || x.fleet.Config == nil {
		return 0
	}
	return x.fleet.Config.Version
}

// configAge returns how long ago the configuration that the request used was last
// confirmed to be the newest, formatted for logs.
func (x *exchange) configAge() string {
	if x.fleet == nil || x.fleet.ConfigConfirmedAt == 0 {
		return "never"
	}
	return formatMillis(chiveclock.Since(x.fleet.ConfigConfirmedAt))
}
