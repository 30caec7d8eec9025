package chiveentry

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// configMaxAge returns how long a confirmation of the configuration counts.
func (e *Daemon) configMaxAge() time.Duration {
	return time.Duration(float64(e.settings.KeyRevocationTime) * freshnessFraction)
}

// fleet returns the newest view, with what peers know of its configuration.
func (e *Daemon) fleet() *chivefleet.Fleet {
	f := e.tracker.Fleet()
	if f.Config == nil || f.IsConfigFresh(chiveclock.Now(), chivehub.LongPollWait) {
		return f
	}
	lent := e.mesh.ConfigConfirmedAt(f.Config.Version)
	if lent <= f.ConfigConfirmedAt {
		return f
	}
	next := *f
	next.ConfigConfirmedAt = lent
	return &next
}

// followers returns those of the store's tables.
func (e *Daemon) followers(ctx context.Context) []*chivefollow.Follower {
	t := e.settings.Tables
	follow := func(table string, wait time.Duration, into chan chivefollow.Table) *chivefollow.Follower {
		return &chivefollow.Follower{
			Source: e.source, Table: table, Log: e.log.WithPrefix("store"),
			Wait:     func() time.Duration { return wait },
			OnUpdate: func(t chivefollow.Table) { sendTable(ctx, into, t) },
		}
	}
	return []*chivefollow.Follower{
		follow(t.Operators, chivehub.LongPollWait, e.tracker.operatorTables),
		follow(t.Runners, watchTimeout, e.tracker.runnerTables),
		follow(t.System, watchTimeout, e.tracker.entryTables),
	}
}

// sendTable gives a copy to the tracker, unless the daemon ends and nobody takes it.
func sendTable(ctx context.Context, into chan<- chivefollow.Table, t chivefollow.Table) {
	select {
	case into <- t:
	case <-ctx.Done():
	}
}
