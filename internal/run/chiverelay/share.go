package chiverelay

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
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
	if x.workspace != nil && x.relay.Board.over(x.service.Name, x.workspace.Name) {
		queue = int(overQueue * float64(queue))
	}
	return chivechoice.Chooser{QueueLimit: queue}
}

// over reports whether a workspace has more than its share of a service.
func (b *Board) over(service, workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger(service).OverShare(asTime(chiveclock.Now()), workspace)
}

// serve counts a request of a workspace that a runner has begun.
func (b *Board) serve(service, workspace string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger(service).Add(asTime(chiveclock.Now()), workspace, cost)
}

// Served returns the recent service of workspaces through this entry VM, by service
// and workspace.
func (b *Board) Served() map[string]map[string]float64 {
	now := asTime(chiveclock.Now())
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

// State takes what another entry VM or zone has served of late.
func (b *Board) State(source string, served map[string]map[string]float64) {
	now := asTime(chiveclock.Now())
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, levels := range served {
		b.ledger(service).SetRemoteRates(now, source, levels)
	}
}

func (b *Board) ledger(service string) *chivefair.Ledger {
	l := b.ledgers[service]
	if l == nil {
		l = &chivefair.Ledger{}
		b.ledgers[service] = l
	}
	return l
}

// asTime converts a moment for meters, which use differences alone.
func asTime(m chiveclock.Moment) time.Time {
	return time.Unix(0, int64(m))
}
