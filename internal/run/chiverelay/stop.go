package chiverelay

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// stopPlan says what becomes of requests while the process stops.
type stopPlan struct {
	// lateFrom is when requests begin to be refused that answerBy comes too early for, and
	// answerBy when those are given up that have no whole answer.
	lateFrom, answerBy chiveclock.Moment
}

// stopRetryAfter replaces retryAfter if the process stops: other entry VMs have room.
const stopRetryAfter = 50 * time.Millisecond

// causeStopping is the cause of requests that are refused or given up because the process stops.
const causeStopping = "this entry VM stops"

// Stop prepares the end of the process. The connection of each caller is closed after its next
// response. From lateFrom on, a request that may outlast answerBy is refused as not run in place of
// being sent to a runner. At answerBy all requests are given up that have no whole answer: they get
// the response that fits what is known of them, and streams that have begun are broken off.
func (rl *Relay) Stop(lateFrom, answerBy chiveclock.Moment) {
	rl.stopping.Store(&stopPlan{lateFrom: lateFrom, answerBy: answerBy})
	_, end := rl.lifetime()
	time.AfterFunc(chiveclock.Until(answerBy), end)
}

// lifetime returns a context that ends when all requests are given up, and the function that ends it.
func (rl *Relay) lifetime() (context.Context, context.CancelFunc) {
	rl.lifetimeOnce.Do(func() { rl.alive, rl.endAll = context.WithCancel(context.Background()) })
	return rl.alive, rl.endAll
}

// isLate reports whether a request with a deadline must not be sent to a runner any more.
func (rl *Relay) isLate(deadline chiveclock.Moment) bool {
	plan := rl.stopping.Load()
	return plan != nil && deadline > plan.answerBy && chiveclock.Now() >= plan.lateFrom
}

// timeLeft returns the time until a deadline, or until requests are given up.
func (rl *Relay) timeLeft(deadline chiveclock.Moment) time.Duration {
	if plan := rl.stopping.Load(); plan != nil {
		deadline = min(deadline, plan.answerBy)
	}
	return chiveclock.Until(deadline)
}
