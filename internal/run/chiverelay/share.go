package chiverelay

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// engineQueueLimit is the number of requests beyond its slots that a model runner may
// have, plainQueueLimit that of a plain service. Their answers still begin within the
// goal of the usual routes. These places are kept for workspaces within their
// share: others find no room a little earlier, so that they are refused first.
const (
	engineQueueLimit = 1
	plainQueueLimit  = 6
	// overShareQueueFraction is the part of a queue that workspaces over their share may use.
	overShareQueueFraction = 0.5
)

// chooser returns the way in which a runner is chosen for the request.
func (x *exchange) chooser() chivechoice.Chooser {
	queue := plainQueueLimit
	if x.service.Engine != nil {
		queue = engineQueueLimit
	}
	if x.workspace != nil && x.relay.State.overShare(x.service.Name, x.workspace.Name) {
		queue = int(overShareQueueFraction * float64(queue))
	}
	return chivechoice.Chooser{QueueLimit: queue}
}

// overShare reports whether a workspace has more than its share of a service.
func (b *RunnerState) overShare(service, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger(service).OverShare(toTime(chiveclock.Now()), workspace)
}

// addUsage counts a request of a workspace that a runner has begun.
func (b *RunnerState) addUsage(service, workspace string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger(service).Add(toTime(chiveclock.Now()), workspace, cost)
}

// WorkspaceUsage returns the recent service of workspaces through this entry VM, by service
// and workspace.
func (b *RunnerState) WorkspaceUsage() map[string]map[string]float64 {
	now := toTime(chiveclock.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]map[string]float64{}
	for service, l := range b.ledgers {
		if levels := l.LocalRates(now); len(levels) > 0 {
			list[service] = levels
		}
	}
	return list
}

// SetPeerUsage takes what another entry VM or zone has served of late.
func (b *RunnerState) SetPeerUsage(source string, served map[string]map[string]float64) {
	now := toTime(chiveclock.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, levels := range served {
		b.ledger(service).SetRemoteRates(now, source, levels)
	}
}

func (b *RunnerState) ledger(service string) *chivefair.Ledger {
	l := b.ledgers[service]
	if l == nil {
		l = &chivefair.Ledger{}
		b.ledgers[service] = l
	}
	return l
}

// toTime converts a moment for meters, which use differences alone.
func toTime(m chiveclock.Moment) time.Time {
	return time.Unix(0, int64(m))
}
