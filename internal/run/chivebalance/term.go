package chivebalance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// pulsePeriod is the time between two pulses to the successors of the holder while a
	// group is held.
	pulsePeriod = 30 * time.Millisecond
	// pauseLimit is the time between two pulses above which the process counts as
	// suspended: successors notice the silence and take over a little later.
	pauseLimit = 150 * time.Millisecond
	// maxCheckAge is the time since the last step on the lease above which the process
	// counts as suspended, also between two changes. It covers a renewal that times out
	// and the next, and is below leaseTTL.
	maxCheckAge = 2*leaseStepTimeout + leaseRenewInterval + 200*time.Millisecond
	// endPulses is the number of pulses that tell the end of a watch: a successor that
	// misses it takes over needlessly.
	endPulses = 3
)

// leaseTerm is the time during which this process acts under one fencing token.
// It lasts until another holder is seen or a rank reports a newer token, also
// while the store cannot be reached: ranks refuse the orders of all but the newest
// holder, so an old one does no harm. A process that was suspended sends no orders
// before it has tried to renew the lease.
type leaseTerm struct {
	keeper *chivelease.Keeper
	clock  chiveclock.Clock
	// pulse tells successors that a group is or is no longer held; nil means that there
	// are none.
	pulse  func(held bool, round chiverank.Round)
	fenced atomic.Bool
	// checkedAt is the moment at which the last step on the lease began, or 0 if the
	// process was suspended since then. pulsedAt is the moment of the last pulse, 0 while
	// nobody watches.
	checkedAt, pulsedAt atomic.Int64
	// round is the round of the change for which the group is held, if it is known.
	round atomic.Pointer[chiverank.Round]
	// suspended receives a value when the process was found to have been suspended.
	suspended chan struct{}
}

func newLeaseTerm(keeper *chivelease.Keeper, clock chiveclock.Clock, pulse func(held bool, round chiverank.Round)) *leaseTerm {
	t := &leaseTerm{keeper: keeper, clock: clock, pulse: pulse, suspended: make(chan struct{}, 1)}
	t.checked(clock.Now())
	return t
}

// Held implements chiverank.Lease.
func (t *leaseTerm) Held() (uint64, bool) {
	fence, _ := t.keeper.Held()
	return fence, fence != 0 && !t.fenced.Load() && !t.wasSuspended()
}

// Supersede implements chiverank.Lease.
func (t *leaseTerm) Supersede(fence uint64) {
	t.fenced.Store(true)
	t.keeper.Supersede(fence)
}

// checked records that a step on the lease began at a moment and is done.
func (t *leaseTerm) checked(began chiveclock.Moment) {
	t.checkedAt.Store(int64(began))
}

// wasSuspended reports whether the process was suspended since the last step on the
// lease.
func (t *leaseTerm) wasSuspended() bool {
	now := t.clock.Now()
	checked, pulsed := chiveclock.Moment(t.checkedAt.Load()), chiveclock.Moment(t.pulsedAt.Load())
	if checked != 0 && now.Sub(checked) <= maxCheckAge && (pulsed == 0 || now.Sub(pulsed) <= pauseLimit) {
		return false
	}
	t.checkedAt.Store(0)
	select {
	case t.suspended <- struct{}{}:
	default:
	}
	return true
}

// watch sends pulses until the returned function is called, none if the process was
// suspended.
func (t *leaseTerm) watch() (end func()) {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	t.round.Store(nil)
	if t.wasSuspended() {
		stop()
		return func() {}
	}
	t.sendPulse(true)
	t.pulsedAt.Store(int64(t.clock.Now()))
	go func() {
		defer close(done)
		for chiveclock.Sleep(ctx, pulsePeriod) == nil {
			if t.wasSuspended() {
				// Pulses would tell successors that the group is taken care of.
				return
			}
			t.pulsedAt.Store(int64(t.clock.Now()))
			t.sendPulse(true)
		}
	}()
	return func() {
		stop()
		<-done
		suspended := t.wasSuspended()
		t.pulsedAt.Store(0)
		for range endPulses {
			if !suspended {
				t.sendPulse(false)
			}
		}
	}
}

// tellRound tells successors of the round at once: none of them can complete the change
// without it before the first rank is armed.
func (t *leaseTerm) tellRound(r chiverank.Round) {
	t.round.Store(&r)
	t.sendPulse(true)
}

func (t *leaseTerm) sendPulse(held bool) {
	if t.pulse == nil || held && t.wasSuspended() {
		return
	}
	var round chiverank.Round
	if r := t.round.Load(); r != nil {
		round = *r
	}
	t.pulse(held, round)
}
