package chiveentry

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// maxAge returns how long a confirmation of the configuration counts.
func (e *Entry) maxAge() time.Duration {
	return time.Duration(float64(e.settings.Revoke) * freshPart)
}

// fleet returns the newest view, with what peers know of its configuration.
func (e *Entry) fleet() *chivefleet.Fleet {
	f := e.tracker.Fleet()
	if f.Config == nil || f.Fresh(chiveboot.Now(), configWait) {
		return f
	}
	lent := e.mesh.Confirmed(f.Config.Version)
	if lent <= f.Confirmed {
		return f
	}
	next := *f
	next.Confirmed = lent
	return &next
}

// followers returns those of the store's tables.
func (e *Entry) followers(ctx context.Context) []*chivefollow.Follower {
	t := e.settings.Tables
	follow := func(table string, into chan chivefollow.Table) *chivefollow.Follower {
		return &chivefollow.Follower{
			Source: e.parts.Store, Table: table, Log: e.log.WithPrefix("store"),
			Wait:    func() time.Duration { return runnerWait },
			Changed: func(t chivefollow.Table) { hand(ctx, into, t) },
		}
	}
	operators, runners, own := follow(t.Operators, e.tracker.operators), follow(t.Runners, e.tracker.servers), follow(t.Own, e.tracker.entries)
	operators.Wait, operators.Hurry = e.operatorsWait, e.hurry
	runners.Pause = e.runnerPause
	own.Pause = func() time.Duration { return entryPause }
	return []*chivefollow.Follower{operators, runners, own}
}

// runnerPause returns how long changes of runners gather.
func (e *Entry) runnerPause() time.Duration {
	return min(max(leastPause, time.Duration(len(e.tracker.Fleet().Entries))*pausePerEntry), mostPause)
}

// hand gives a copy to the tracker, unless the daemon ends and nobody takes it.
func hand(ctx context.Context, into chan<- chivefollow.Table, t chivefollow.Table) {
	select {
	case into <- t:
	case <-ctx.Done():
	}
}

// operatorsWait returns how long a call for the operators' table waits. A few
// entry VMs confirm the configuration every configWait; the others take it from
// them and wait longer.
func (e *Entry) operatorsWait() time.Duration {
	short := e.confirms() || chiveboot.Since(e.fleet().Confirmed) > e.lentAge()
	e.waits.Store(!short)
	if short {
		return configWait
	}
	return runnerWait
}

// lentAge is how old what peers lend may be before an entry VM asks the store
// itself.
func (e *Entry) lentAge() time.Duration {
	return e.maxAge() / 2
}

// confirms reports whether this entry VM is one of the few that confirm the
// configuration for all.
func (e *Entry) confirms() bool {
	before := 0
	for _, p := range e.mesh.Peers() {
		if !p.Leaving && p.Entry.Name < e.settings.Entry.Name {
			before++
		}
	}
	return before < confirmers
}

// hasten ends a long call for the operators' table when peers no longer lend
// their confirmations.
func (e *Entry) hasten() {
	if !e.waits.Load() || chiveboot.Since(e.fleet().Confirmed) < e.lentAge() {
		return
	}
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}
