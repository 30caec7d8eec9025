package chiveentry

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// configMaxAge returns the age from which a confirmation of the configuration is
// ignored.
func (d *Daemon) configMaxAge() time.Duration {
	return time.Duration(float64(d.settings.KeyRevocationTime) * freshnessFraction)
}

// fleet returns the newest view of the fleet. If its configuration was not confirmed
// recently, a newer confirmation of the same version by a peer is used.
func (d *Daemon) fleet() *chivefleet.Fleet {
	f := d.tracker.Fleet()
	if f.Config == nil || f.IsConfigFresh(chiveclock.Now(), chivehub.LongPollWait) {
		return f
	}
	confirmed := d.mesh.ConfigConfirmedAt(f.Config.Version)
	if confirmed <= f.ConfigConfirmedAt || d.mesh.NewestConfigVersion() > f.Config.Version {
		return f
	}
	next := *f
	next.ConfigConfirmedAt = confirmed
	return &next
}

// peerConfig returns the latest version of the configuration that a peer has told, and whether all
// registered members of this zone and someone of each other zone have been heard.
func (d *Daemon) peerConfig() (newest int64, complete bool) {
	heard, zones := map[string]bool{d.settings.Entry.Name: true}, map[string]bool{}
	for _, p := range d.mesh.Peers() {
		heard[p.Entry.Name], zones[p.Entry.Zone] = true, true
	}
	entries := d.tracker.Fleet().Entries
	complete = len(entries) > 0
	for name, e := range entries {
		if e.Zone == d.settings.Entry.Zone {
			complete = complete && heard[name]
		} else {
			complete = complete && zones[e.Zone]
		}
	}
	return d.mesh.NewestConfigVersion(), complete
}

// followers returns the followers of the store's tables, which send each new replica
// to the tracker.
func (d *Daemon) followers(ctx context.Context) []*chivefollow.Follower {
	t := d.settings.Tables
	follow := func(table string, wait time.Duration, replicas chan chivefollow.Table) *chivefollow.Follower {
		return &chivefollow.Follower{
			Source: d.source, Table: table, Log: d.log.WithPrefix("store"),
			Wait:     func() time.Duration { return wait },
			OnUpdate: func(t chivefollow.Table) { sendTable(ctx, replicas, t) },
		}
	}
	return []*chivefollow.Follower{
		follow(t.Operators, chivehub.LongPollWait, d.tracker.operatorTables),
		follow(t.Runners, chivehub.LongPollWait, d.tracker.runnerTables),
		follow(t.System, watchTimeout, d.tracker.entryTables),
	}
}

// sendTable sends a replica of a table to the tracker, unless the context ends first:
// the tracker then no longer receives.
func sendTable(ctx context.Context, replicas chan<- chivefollow.Table, t chivefollow.Table) {
	select {
	case replicas <- t:
	case <-ctx.Done():
	}
}
