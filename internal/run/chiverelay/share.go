package chiverelay

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
)

// engineQueue is the number of requests beyond its slots that a model runner may
// have, plainQueue that of a plain service. Their answers still begin within the
// goal of the usual routes. These places are kept for workspaces within their
// share: others find no room a little earlier, so that they are refused first.
const (
	engineQueue = 1
	plainQueue  = 6
	// overQueue is the part of a queue that workspaces over their share may use.
	overQueue = 0.5
)

// chooser returns the way in which a runner is chosen for the request.
func (x *exchange) chooser() chivechoice.Chooser {
	queue := plainQueue
	if x.service.Engine != nil {
		queue = engineQueue
	}
	if x.workspace != nil && x.relay.State.over(x.service.Name, x.workspace.Name) {
		queue = int(overQueue * float64(queue))
	}
	return chivechoice.Chooser{Queue: queue}
}

// over reports whether a workspace has more than its share of a service.
func (b *RunnerState) over(service, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger(service).Over(asTime(chiveboot.Now()), workspace)
}

// serve counts a request of a workspace that a runner has begun.
func (b *RunnerState) serve(service, workspace string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger(service).Add(asTime(chiveboot.Now()), workspace, cost)
}

// WorkspaceUsage returns the recent service of workspaces through this entry VM, by service
// and workspace.
func (b *RunnerState) WorkspaceUsage() map[string]map[string]float64 {
	now := asTime(chiveboot.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]map[string]float64{}
	for service, l := range b.ledgers {
		if levels := l.Own(now); len(levels) > 0 {
			list[service] = levels
		}
	}
	return list
}

// SetPeerUsage takes what another entry VM or zone has served of late.
func (b *RunnerState) SetPeerUsage(source string, served map[string]map[string]float64) {
	now := asTime(chiveboot.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, levels := range served {
		b.ledger(service).State(now, source, levels)
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

// asTime converts a moment for meters, which use differences alone.
func asTime(m chiveboot.Moment) time.Time {
	return time.Unix(0, int64(m))
}
