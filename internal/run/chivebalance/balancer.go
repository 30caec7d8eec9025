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
	// duty names the lease.
	duty = "maps"
	// leaseTime is the time without a renewal after which the lease lapses.
	leaseTime = 4 * time.Second
	// renewPeriod is the time between two renewals, watchPeriod that between two
	// looks at whether the holder lives.
	renewPeriod = time.Second
	watchPeriod = 100 * time.Millisecond
	// storeTimeout bounds one step on the lease.
	storeTimeout = 1200 * time.Millisecond
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

	holds atomic.Bool
	// failing says that the last step on the lease failed.
	failing bool
	groups  map[string]*group
	// rounds counts the tokens of each group that this process has given.
	rounds map[string]*int64
}

// tenure is the duty of a holder. It lasts until another holder is seen, also
// while the store cannot be reached: the ranks refuse the orders of all but the
// newest holder, so that an old one does no harm.
type tenure struct {
	keeper *chivelease.Keeper
	fenced atomic.Bool
}

// Held implements chiverank.Lease.Held.
func (t *tenure) Held() (uint64, bool) {
	fence, _ := t.keeper.Held()
	return fence, fence != 0 && !t.fenced.Load()
}

// HoldsDuty reports whether this entry VM holds the duty.
func (b *Balancer) HoldsDuty() bool {
	return b.holds.Load()
}

// Run takes part until the context ends and then gives the lease back.
func (b *Balancer) Run(ctx context.Context) error {
	keeper := &chivelease.Keeper{Table: b.Table, Duty: duty, Holder: b.Name, TTL: leaseTime, Now: bootTime, Gone: b.HasEnded}
	b.groups, b.rounds = map[string]*group{}, map[string]*int64{}
	for ctx.Err() == nil {
		if !b.Candidate() {
			_ = chiveclock.Sleep(ctx, watchPeriod)
			continue
		}
		b.step(ctx, keeper)
		if _, held := keeper.Held(); !held {
			_ = chiveclock.Sleep(ctx, watchPeriod)
			continue
		}
		b.hold(ctx, keeper)
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if err := keeper.Release(last); err != nil {
		b.Log.Warn("Lease was not given back.", "error", err)
	}
	return nil
}

// step renews the lease or tries to take it.
func (b *Balancer) step(ctx context.Context, keeper *chivelease.Keeper) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := keeper.Step(ctx)
	switch failed := err != nil; {
	case failed && !b.failing:
		b.Log.Warn("Lease could not be renewed or read.", "error", err)
	case !failed && b.failing:
		b.Log.Info("Lease is renewed or read again.")
	}
	b.failing = err != nil
}

// hold carries out the duty while the lease is held.
func (b *Balancer) hold(ctx context.Context, keeper *chivelease.Keeper) {
	term := &tenure{keeper: keeper}
	fence, _ := term.Held()
	b.Log.Info("Duty is held.", "duty", duty, "fence", fence)
	b.holds.Store(true)
	held, lose := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.work(held, term)
	}()
	for ctx.Err() == nil {
		if now, ok := term.Held(); !ok || now != fence {
			break
		}
		_ = chiveclock.Sleep(ctx, renewPeriod)
		b.step(ctx, keeper)
	}
	b.holds.Store(false)
	lose()
	<-done
	b.groups = map[string]*group{}
	b.Log.Info("Duty is no longer held.", "duty", duty, "fence", fence)
}

// work balances all groups in turn.
func (b *Balancer) work(ctx context.Context, term *tenure) {
	for ctx.Err() == nil {
		fleet := b.Fleet()
		found := gather(fleet)
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
		_ = chiveclock.Sleep(ctx, roundPeriod)
	}
}
