package chiverelay

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// The number of requests that a runner may queue beyond its slots. Responses to
// queued requests still start within the latency target of the usual routes. Part
// of the queue is reserved for workspaces within their share, so that the requests
// of others are refused first.
const (
	// engineQueueLimit applies to model runners.
	engineQueueLimit = 1
	// plainQueueLimit applies to runners of plain services.
	plainQueueLimit = 6
	// overShareQueueFraction is the fraction of a queue that workspaces over their
	// share may use.
	overShareQueueFraction = 0.5
)

// chooser returns the chooser of a runner for the request, with the queue limit
// that applies to the service and the workspace.
func (x *exchange) chooser() chivechoice.Chooser {
	queue := plainQueueLimit
	if x.service.Engine != nil {
		queue = engineQueueLimit
	}
	if x.workspace != nil && x.relay.State.overShare(x.service.Name, x.workspace.Name) {
		queue = int(overShareQueueFraction * float64(queue))
	}
	c := chivechoice.Chooser{QueueLimit: queue}
	if x.service.Scale != nil {
		c.WorkWeight = workWeight
	}
	return c
}

// overShare reports whether a workspace has recently used more than its share of a
// service.
func (rs *RunnerState) overShare(service, workspace string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.ledger(service).OverShare(toTime(chiveclock.Now()), workspace)
}

// addUsage charges a workspace with the cost of a request that a runner has
// started.
func (rs *RunnerState) addUsage(service, workspace string, cost float64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.ledger(service).Add(toTime(chiveclock.Now()), workspace, cost)
}

// WorkspaceUsage returns the recent usage through this entry VM, as cost per second
// by service and workspace. Idle workspaces are left out.
func (rs *RunnerState) WorkspaceUsage() map[string]map[string]float64 {
	now := toTime(chiveclock.Now())
	rs.mu.Lock()
	defer rs.mu.Unlock()
	usage := map[string]map[string]float64{}
	for service, l := range rs.ledgers {
		if workspaces := l.LocalRates(now); len(workspaces) > 0 {
			usage[service] = workspaces
		}
	}
	return usage
}

// SetPeerUsage records the recent usage reported by another entry VM or
// availability zone, as cost per second by service and workspace.
func (rs *RunnerState) SetPeerUsage(source string, usage map[string]map[string]float64) {
	now := toTime(chiveclock.Now())
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for service, workspaces := range usage {
		rs.ledger(service).SetRemoteRates(now, source, workspaces)
	}
}

// ledger returns the usage ledger of a service, created on first use. The caller
// must hold mu.
func (rs *RunnerState) ledger(service string) *chivefair.Ledger {
	l := rs.ledgers[service]
	if l == nil {
		l = &chivefair.Ledger{}
		rs.ledgers[service] = l
	}
	return l
}

// toTime converts a moment to a time for chivefair, which uses only differences
// between times.
func toTime(m chiveclock.Moment) time.Time {
	return time.Unix(0, int64(m))
}
