package chiverelay

import (
	"slices"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// noteUnreachable records that no connection to a runner could be set up.
func (x *exchange) noteUnreachable(runner *chivefleet.Runner) {
	if x.unreachableUntil == nil {
		x.unreachableUntil = map[chivefleet.Incarnation]chiveclock.Moment{}
	}
	x.unreachableUntil[runner.Incarnation()] = chiveclock.Now().Add(suspectDuration)
}

// reachable returns the runners without those that the request could not reach a moment ago:
// connecting again at once would only hold the request. It modifies the given slice.
func (x *exchange) reachable(runners []*chivefleet.Runner) []*chivefleet.Runner {
	if len(x.unreachableUntil) == 0 {
		return runners
	}
	now := chiveclock.Now()
	return slices.DeleteFunc(runners, func(r *chivefleet.Runner) bool { return now < x.unreachableUntil[r.Incarnation()] })
}
