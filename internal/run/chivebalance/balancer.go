// Package chivebalance keeps the load of the ranks of each group even. One entry
// VM at a time has this duty, under a lease. It samples how often experts are
// chosen, plans expert maps and makes the ranks switch to them.
package chivebalance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

const (
	// leaseName is the name of the lease on the duty.
	leaseName = "maps"
	// leaseTTL is the time without a renewal after which the lease lapses.
	leaseTTL = 4 * time.Second
	// leaseRenewInterval is the time between two renewals.
	leaseRenewInterval = time.Second
	// candidateCheckInterval is the time between two checks whether this entry VM
	// should try to take the lease.
	candidateCheckInterval = 100 * time.Millisecond
	// watchCheckInterval is the time between two checks while the holder is watched.
	watchCheckInterval = 15 * time.Millisecond
	// panicPause is how long a group is left alone after its round has panicked. The group may
	// be held meanwhile.
	panicPause = time.Second
	// leaseStepTimeout bounds one read, renewal or release of the lease.
	leaseStepTimeout = 1200 * time.Millisecond
)

// Balancer competes for the lease and balances all groups while it holds it.
type Balancer struct {
	// Engine reads the ranks and sends them orders.
	Engine chiverank.Engine
	// Table stores the row of the lease.
	Table chiverow.Table
	// Name identifies this entry VM and its incarnation.
	Name string
	// Zone is the availability zone of this entry VM.
	Zone string
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// Candidate reports whether this entry VM should try to take the lease, that
	// is, whether no other live entry VM reports that it holds the lease.
	Candidate func() bool
	// HasEnded reports whether the process with a given Name has ended, or is silent while
	// it holds a group.
	HasEnded func(name string) bool
	// Watching reports whether this entry VM is to notice soon when the holder of the
	// lease is silent; nil means that it never is.
	Watching func() bool
	// Pulse tells successors that this entry VM holds a group, or that it no longer does;
	// nil means that there are none. round is the round of the change, if it is known, and
	// KnownRound returns the one that another holder has told of last, and SincePulse the
	// time since it did so.
	Pulse      func(held bool, round chiverank.Round)
	KnownRound func() chiverank.Round
	SincePulse func() time.Duration
	// BeginPulses is called before the first Pulse of a hold; it may be nil.
	BeginPulses func()
	// OnHold is called with the time from a hold of a group, ordered or taken over, until
	// its release, OnTakeover when the change of an earlier holder has ended. Both may be
	// nil.
	OnHold     func(time.Duration)
	OnTakeover func(chiverank.Takeover)
	// ReportSlow receives the slowdowns of all slow runners of a group by runner
	// ID, in every round in which slowdowns are read.
	ReportSlow func(group string, slowdowns map[string]float64)
	Log        *log.Logger
	// RecentPause returns a high quantile of the recent pauses between events of a service's
	// streams, or 0 if it is not known; nil means that it never is.
	RecentPause func(service string) time.Duration
	// Clock is the clock of the VM.
	Clock chiveclock.Clock

	holdsDuty atomic.Bool
	// leaseFailing reports that the last step on the lease failed.
	leaseFailing bool
	groups       map[string]*group
	// tokenSeqs counts the tokens that this process has issued for each group.
	tokenSeqs map[string]*int64
	// demand holds the newest demand for experts in each group, inheritedFence the
	// fencing token under which it was last inherited.
	demand         demandByGroup
	inheritedFence uint64
}

// HoldsDuty reports whether this entry VM balances the groups now.
func (b *Balancer) HoldsDuty() bool {
	return b.holdsDuty.Load()
}

// Run competes for the lease and balances the groups until the context ends. It
// then releases the lease and returns nil.
func (b *Balancer) Run(ctx context.Context) error {
	keeper := &chivelease.Keeper{Table: b.Table, Duty: leaseName, Holder: b.Name, TTL: leaseTTL, Now: bootTime, HasEnded: b.HasEnded, State: b.demand.encode}
	b.groups, b.tokenSeqs = map[string]*group{}, map[string]*int64{}
	for ctx.Err() == nil {
		if !b.Candidate() {
			_ = chiveclock.Sleep(ctx, b.checkInterval())
			continue
		}
		b.stepLease(ctx, keeper)
		if _, held := keeper.Held(); !held {
			_ = chiveclock.Sleep(ctx, candidateCheckInterval)
			continue
		}
		b.runDuty(ctx, keeper)
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseStepTimeout)
	defer cancel()
	if err := keeper.Release(releaseCtx); err != nil {
		b.Log.Warn("Cannot release the lease.", "error", err)
	}
	return nil
}

// checkInterval returns the time until the next check of Candidate.
func (b *Balancer) checkInterval() time.Duration {
	if b.Watching != nil && b.Watching() {
		return watchCheckInterval
	}
	return candidateCheckInterval
}

// stepLease renews the lease or tries to take it. It logs the first failure in a
// row and the first success after it.
func (b *Balancer) stepLease(ctx context.Context, keeper *chivelease.Keeper) {
	ctx, cancel := context.WithTimeout(ctx, leaseStepTimeout)
	defer cancel()
	err := keeper.Step(ctx)
	switch failed := err != nil; {
	case failed && !b.leaseFailing:
		b.Log.Warn("Cannot renew or read the lease.", "error", err)
	case !failed && b.leaseFailing:
		b.Log.Info("Lease can be renewed or read again.")
	}
	b.leaseFailing = err != nil
}

// runDuty balances the groups and renews the lease until the context or the term
// ends.
func (b *Balancer) runDuty(ctx context.Context, keeper *chivelease.Keeper) {
	term := newLeaseTerm(keeper, b.Clock, b.Pulse)
	term.begin = b.BeginPulses
	fence, _ := term.Held()
	b.Log.Info("Acquired the lease.", "duty", leaseName, "fence", fence)
	b.inheritDemand(keeper, fence)
	b.holdsDuty.Store(true)
	termCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = chiveguard.Repeat(termCtx, b.Log, "balancing of groups", func() error {
			b.balanceGroups(termCtx, term)
			return nil
		})
	}()
	for ctx.Err() == nil {
		if current, _ := keeper.Held(); current != fence || term.fenced.Load() {
			break
		}
		waitRenewal(ctx, term)
		began := b.Clock.Now()
		b.stepLease(ctx, keeper)
		term.checked(began)
	}
	b.holdsDuty.Store(false)
	stop()
	<-done
	term.stopPulses()
	b.groups = map[string]*group{}
	b.Log.Info("Stopped acting under the lease.", "duty", leaseName, "fence", fence)
}

// waitRenewal waits until the next renewal is due: after leaseRenewInterval, or at once if
// the process was suspended.
func waitRenewal(ctx context.Context, term *leaseTerm) {
	timer := time.NewTimer(leaseRenewInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-term.suspended:
	case <-ctx.Done():
	}
}

// inheritDemand takes over the demand that the previous holder of the lease left, once
// under each fencing token: the same token is reacquired without a previous holder.
func (b *Balancer) inheritDemand(keeper *chivelease.Keeper, fence uint64) {
	if fence == b.inheritedFence {
		return
	}
	b.inheritedFence = fence
	if err := b.demand.decode(keeper.Inherited()); err != nil {
		b.Log.Warn("Demand that the previous holder left is malformed and ignored.", "duty", leaseName, "error", err)
	}
}

// balanceGroups runs a round of every group, one after the other, and repeats
// that after roundInterval until the context ends. A group whose round panics is loaded anew
// after panicPause; the others go on.
func (b *Balancer) balanceGroups(ctx context.Context, term *leaseTerm) {
	pausedUntil := map[string]chiveclock.Moment{}
	for ctx.Err() == nil {
		fleet := b.Fleet()
		found := collectGroups(fleet)
		for name, members := range found {
			if b.Clock.Now() < pausedUntil[name] {
				continue
			}
			g := b.groups[name]
			if g == nil {
				g = newGroup(name, b, term)
				b.groups[name] = g
			}
			if !chiveguard.Do(b.Log, "round of group "+name, func() { g.round(ctx, members) }) {
				delete(b.groups, name)
				pausedUntil[name] = b.Clock.Now().Add(panicPause)
			}
		}
		for name := range b.groups {
			if found[name] == nil {
				delete(b.groups, name)
			}
		}
		_ = chiveclock.Sleep(ctx, roundInterval)
	}
}
