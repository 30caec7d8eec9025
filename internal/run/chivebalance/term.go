package chivebalance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// pulsePeriod is the time between two pulses to the successors of the holder while a
	// group is held.
	pulsePeriod = 30 * time.Millisecond
	// pauseLimit is the time between two pulses above which the process counts as
	// suspended. Successors may notice the silence up to 40 ms earlier. That the orders of
	// both overlap is safe, as they are for ranks that do not check tokens; a lower limit
	// would break off more changes in short stalls.
	pauseLimit = 150 * time.Millisecond
	// maxCheckAge is the time since the last step on the lease above which the process
	// counts as suspended, also between two changes. It covers a renewal that times out
	// and the next, and is below leaseTTL.
	maxCheckAge = 2*leaseStepTimeout + leaseRenewInterval + 200*time.Millisecond
	// endPulses is the number of pulses that tell the end of a watch: a successor that
	// misses it takes over needlessly. They are sent pulsePeriod apart, since packets are
	// often lost in a row.
	endPulses = 3
	// retryTime is how long pulses go on after a group could not be released, until
	// the next attempt.
	retryTime = time.Second
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
	// begin is called before the first pulse of a watch; nil means that nobody is told.
	begin func()
	// mu guards the fields below up to pulsedAt, and their changes together with it.
	mu sync.Mutex
	// checkedAt is the moment at which the last step on the lease began, or 0 if the
	// process was suspended since then, foundAt that at which this was found.
	checkedAt, foundAt chiveclock.Moment
	// pulsedAt is the moment of the last pulse, 0 while nobody watches.
	pulsedAt atomic.Int64
	// stopPulses ends the last watch at once, also one that goes on by itself.
	stopPulses func()
	// round is the round of the change for which the group is held, if it is known.
	round atomic.Pointer[chiverank.Round]
	// suspended receives a value when the process was found to have been suspended.
	suspended chan struct{}
}

func newLeaseTerm(keeper *chivelease.Keeper, clock chiveclock.Clock, pulse func(held bool, round chiverank.Round)) *leaseTerm {
	t := &leaseTerm{keeper: keeper, clock: clock, pulse: pulse, stopPulses: func() {}, suspended: make(chan struct{}, 1)}
	t.checked(clock.Now())
	return t
}

// Held implements chiverank.Lease.
func (t *leaseTerm) Held() (uint64, bool) {
	return t.heldAt(t.clock.Now())
}

// heldAt returns the result of Held at a moment that was just read.
func (t *leaseTerm) heldAt(now chiveclock.Moment) (uint64, bool) {
	fence, _ := t.keeper.Held()
	return fence, fence != 0 && !t.fenced.Load() && !t.wasSuspended(now)
}

// Supersede implements chiverank.Lease.
func (t *leaseTerm) Supersede(fence uint64) {
	t.fenced.Store(true)
	t.keeper.Supersede(fence)
}

// checked records that a step on the lease began at a moment and is done. It does not count
// if a suspension was found since.
func (t *leaseTerm) checked(began chiveclock.Moment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.foundAt == 0 || began >= t.foundAt {
		t.checkedAt = began
	}
}

// wasSuspended reports whether the process was suspended since the last step on the
// lease. It signals that once.
func (t *leaseTerm) wasSuspended(now chiveclock.Moment) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checkedAt == 0 {
		return true
	}
	pulsed := chiveclock.Moment(t.pulsedAt.Load())
	if now.Sub(t.checkedAt) <= maxCheckAge && (pulsed == 0 || now.Sub(pulsed) <= pauseLimit) {
		return false
	}
	// The age of the last pulse counts once: the next one follows the renewal.
	t.checkedAt, t.foundAt = 0, now
	t.pulsedAt.Store(0)
	select {
	case t.suspended <- struct{}{}:
	default:
	}
	return true
}

// recordPulse stores the moment of a pulse, unless the lease is not held then.
func (t *leaseTerm) recordPulse(now chiveclock.Moment) bool {
	if _, held := t.heldAt(now); !held {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.checkedAt == 0 {
		return false
	}
	t.pulsedAt.Store(int64(now))
	return true
}

// watch sends pulses until the returned function is called, none while the lease is not
// held. If the group was not released, they go on until the next watch, or for retryTime.
// It ends an earlier watch and is called by one goroutine only.
func (t *leaseTerm) watch() (end func(released bool)) {
	t.stopPulses()
	t.round.Store(nil)
	if t.begin != nil {
		t.begin()
	}
	if t.recordPulse(t.clock.Now()) {
		t.sendPulse(true)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan bool, 1)
	done := make(chan struct{})
	t.stopPulses = func() {
		stop()
		<-done
		t.pulsedAt.Store(0)
	}
	go func() {
		defer close(done)
		_ = chiveguard.Call("pulses", func() error {
			t.sendPulses(ctx, ended)
			return nil
		})
	}()
	return func(released bool) {
		if released {
			// No order needs the pulses any more.
			t.pulsedAt.Store(0)
		}
		ended <- released
	}
}

// sendPulses sends pulses until a value on ended tells that the group was released, then
// those that tell so. If it was not, they go on for retryTime.
func (t *leaseTerm) sendPulses(ctx context.Context, ended <-chan bool) {
	ticker := time.NewTicker(pulsePeriod)
	defer ticker.Stop()
	var limit <-chan time.Time
	for watching := true; watching; {
		select {
		case <-ctx.Done():
			return
		case released := <-ended:
			if watching = !released; watching {
				limit = time.After(retryTime)
			}
		case <-limit:
			watching = false
		case <-ticker.C:
			if t.recordPulse(t.clock.Now()) {
				t.sendPulse(true)
			}
		}
	}
	t.pulsedAt.Store(0)
	for i := range endPulses {
		if i > 0 && chiveclock.Sleep(ctx, pulsePeriod) != nil {
			return
		}
		t.sendPulse(false)
	}
}

// tellRound tells successors of the round at once: none of them can complete the change
// without it before the first rank is armed.
func (t *leaseTerm) tellRound(r chiverank.Round) {
	t.round.Store(&r)
	t.sendPulse(true)
}

// sendPulse sends a pulse unless the lease is not held: it would tell successors that the
// group is taken care of.
func (t *leaseTerm) sendPulse(held bool) {
	if t.pulse == nil {
		return
	}
	if _, ok := t.Held(); !ok {
		return
	}
	var round chiverank.Round
	if r := t.round.Load(); r != nil {
		round = *r
	}
	t.pulse(held, round)
}
