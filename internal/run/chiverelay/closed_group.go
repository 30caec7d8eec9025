package chiverelay

import (
	"context"
	"slices"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// maxFormingWait is how long after its start a request waits for a group of ranks
	// that is being formed. Callers abandon a stream without an event after two
	// seconds; the rest is for the first event.
	maxFormingWait = 1200 * time.Millisecond
	// formingPollInterval is the time between two looks at a group that is being
	// formed.
	formingPollInterval = 30 * time.Millisecond
	// groupStateMaxAge is the age of the view of the fleet from which groups that are
	// not open in it are tried all the same: they may have opened since.
	groupStateMaxAge = 2 * time.Second
)

// openRunners returns the runners of the service that may take the request, without
// those that take no new requests and those whose group of ranks is not open. It records
// why if none is left.
func (x *exchange) openRunners() []*chivefleet.Runner {
	x.forming, x.groupClosed = false, false
	registered := x.fleet.UsableRunners(x.service.Name)
	x.pauseLeft = x.relay.State.shortestPause(registered)
	count := len(registered)
	usable := x.relay.State.accepting(registered)
	x.allLeaving = count > 0 && len(usable) == 0 && x.pauseLeft == 0
	if !x.fleet.IsConfigFresh(chiveclock.Now(), groupStateMaxAge) {
		return usable
	}
	states := x.fleet.GroupStates(x.service.Name)
	var open []*chivefleet.Runner
	for _, r := range usable {
		if r.Membership == nil || states[r.Membership.Group] == chivefleet.GroupOpen {
			open = append(open, r)
			continue
		}
		x.forming = x.forming || states[r.Membership.Group] == chivefleet.GroupForming
	}
	x.groupClosed = len(open) == 0 && len(usable) > 0
	x.forming = x.forming && x.groupClosed
	return open
}

// isOpen reports whether a runner that was reserved may still take the request.
func (x *exchange) isOpen(runner *chivefleet.Runner) bool {
	return slices.ContainsFunc(x.openRunners(), func(r *chivefleet.Runner) bool { return r.Incarnation() == runner.Incarnation() })
}

// awaitGroup waits a moment if the last reservation failed because a group is being
// formed. It reports whether another one is to be tried.
func (x *exchange) awaitGroup(ctx context.Context) bool {
	if !x.forming || chiveclock.Since(x.start) >= maxFormingWait || chiveclock.Sleep(ctx, formingPollInterval) != nil {
		return false
	}
	x.cause = ""
	return true
}
