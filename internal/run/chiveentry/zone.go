package chiveentry

import (
	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// zoneView implements chivehub.Zone from the reports of the entry VMs.
type zoneView struct {
	daemon *Daemon
}

// members returns the entry VMs of this zone that are alive, including this one, and
// the peers among them.
func (z zoneView) members() (list []chivehub.Member, peers []chivemesh.Peer) {
	var clock chiveclock.Clock
	d := z.daemon
	list = append(list, chivehub.Member{Name: d.settings.Entry.Name, Leaving: d.leaving.Load(), SinceStoreAnswer: d.source.SinceStoreAnswer()})
	for _, p := range d.mesh.Peers() {
		if p.Entry.Zone != d.settings.Entry.Zone {
			continue
		}
		list = append(list, chivehub.Member{Name: p.Entry.Name, Leaving: p.Leaving, SinceStoreAnswer: clock.Age(p.StoreAnsweredAt)})
		peers = append(peers, p)
	}
	return list, peers
}

// Hub implements chivehub.Zone.Hub.
func (z zoneView) Hub() *chivehub.Hub {
	members, peers := z.members()
	name := chivehub.Choose(members)
	for _, p := range peers {
		if p.Entry.Name == name {
			return &chivehub.Hub{Name: name, Addr: p.Entry.ReplicaAddr, Revisions: p.Revisions}
		}
	}
	return nil
}

// Position implements chivehub.Zone.Position.
func (z zoneView) Position() int {
	members, _ := z.members()
	return chivehub.Position(z.daemon.settings.Entry.Name, members)
}

// tableRevisions returns the revisions of the replicas that this entry VM serves, by
// table, or nil if it is not connected to the store.
func (d *Daemon) tableRevisions() map[string]chivehub.Revision {
	if answered := d.source.SinceStoreAnswer(); answered < 0 || answered > storeAnswerMaxAge {
		return nil
	}
	t := d.settings.Tables
	list := map[string]chivehub.Revision{}
	for _, name := range []string{t.Operators, t.Runners, t.System} {
		list[name] = d.source.Journal(name).Revision()
	}
	return list
}
