// Package chivebalance implements the duty to keep the expert maps of groups in
// balance: one entry VM holds it by a lease, reads which experts are in demand,
// plans and changes maps.
package chivebalance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

const (
	// leaseName names the lease.
	leaseName = "maps"
	// leaseTTL is the time without a renewal after which the lease lapses.
	leaseTTL = 4 * time.Second
	// leaseRenewInterval is the time between two renewals, watchPeriod that between two
	// looks at whether the holder lives.
	leaseRenewInterval     = time.Second
	candidateCheckInterval = 100 * time.Millisecond
	// leaseStepTimeout bounds one step on the lease.
	leaseStepTimeout = 1200 * time.Millisecond
)

// A Balancer takes part in the duty.
type Balancer struct {
	Engine chiverank.Engine
	Table  chiverow.Table
	// Name is that of this entry VM with its incarnation.
	Name string
	// Zone is that of this entry VM.
	Zone string
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// Candidate reports whether this entry VM should try to hold the lease: no
	// other one that is alive says that it holds it.
	Candidate func() bool
	// HasEnded reports whether the process of a name has ended.
	HasEnded func(name string) bool
	// ReportSlow takes the runners of a group that are slow, with their paces.
	ReportSlow func(group string, paces map[string]float64)
	Log        *log.Logger

	holdsDuty atomic.Bool
	// leaseFailing says that the last step on the lease failed.
	leaseFailing bool
	groups       map[string]*group
	// tokenSeqs counts the tokens of each group that this process has given.
	tokenSeqs map[string]*int64
}

// leaseTerm is the duty of a holder. It lasts until another holder is seen, also
// while the store cannot be reached: the ranks refuse the orders of all but the
// newest holder, so that an old one does no harm.
type leaseTerm struct {
	keeper *chivelease.Keeper
	fenced atomic.Bool
}

// Held implements chiverank.Lease.Held.
func (t *leaseTerm) Held() (uint64, bool) {
	fence, _ := t.keeper.Held()
	return fence, fence != 0 && !t.fenced.Load()
}

// HoldsDuty reports whether this entry VM holds the duty.
func (b *Balancer) HoldsDuty() bool {
	return b.holdsDuty.Load()
}

// Run takes part until the context ends and then gives the lease back.
func (b *Balancer) Run(ctx context.Context) error {
	keeper := &chivelease.Keeper{Table: b.Table, Duty: leaseName, Holder: b.Name, TTL: leaseTTL, Now: bootTime, HasEnded: b.HasEnded}
	b.groups, b.tokenSeqs = map[string]*group{}, map[string]*int64{}
	for ctx.Err() == nil {
		if !b.Candidate() {
			_ = chiveclock.Sleep(ctx, candidateCheckInterval)
			continue
		}
		b.stepLease(ctx, keeper)
		if _, held := keeper.Held(); !held {
			_ = chiveclock.Sleep(ctx, candidateCheckInterval)
			continue
		}
		b.runDuty(ctx, keeper)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseStepTimeout)
	defer cancel()
	if err := keeper.Release(last); err != nil {
		b.Log.Warn("Lease was not given back.", "error", err)
	}
	return nil
}

// stepLease renews the lease or tries to take it.
func (b *Balancer) stepLease(ctx context.Context, keeper *chivelease.Keeper) {
	ctx, cancel := context.WithTimeout(ctx, leaseStepTimeout)
	defer cancel()
	err := keeper.Step(ctx)
	switch failed := err != nil; {
	case failed && !b.leaseFailing:
		b.Log.Warn("Lease could not be renewed or read.", "error", err)
	case !failed && b.leaseFailing:
		b.Log.Info("Lease is renewed or read again.")
	}
	b.leaseFailing = err != nil
}

// runDuty carries out the duty while the lease is held.
func (b *Balancer) runDuty(ctx context.Context, keeper *chivelease.Keeper) {
	term := &leaseTerm{keeper: keeper}
	fence, _ := term.Held()
	b.Log.Info("Duty is held.", "duty", leaseName, "fence", fence)
	b.holdsDuty.Store(true)
	held, lose := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.balanceGroups(held, term)
	}()
	for ctx.Err() == nil {
		if now, ok := term.Held(); !ok || now != fence {
			break
		}
		_ = chiveclock.Sleep(ctx, leaseRenewInterval)
		b.stepLease(ctx, keeper)
	}
	b.holdsDuty.Store(false)
	lose()
	<-done
	b.groups = map[string]*group{}
	b.Log.Info("Duty is no longer held.", "duty", leaseName, "fence", fence)
}

// balanceGroups balances all groups in turn.
func (b *Balancer) balanceGroups(ctx context.Context, term *leaseTerm) {
	for ctx.Err() == nil {
		fleet := b.Fleet()
		found := collectGroups(fleet)
		for name, members := range found {
			g := b.groups[name]
			if g == nil {
				g = newGroup(name, b, term)
				b.groups[name] = g
			}
			g.round(ctx, members)
		}
		for name := range b.groups {
			if found[name] == nil {
				delete(b.groups, name)
			}
		}
		_ = chiveclock.Sleep(ctx, roundInterval)
	}
}
