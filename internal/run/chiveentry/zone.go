package chiveentry

import (
	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
)

// zone implements chivehub.Zone by the reports of the entry VMs.
type zone struct {
	entry *Daemon
}

// members returns the entry VMs of the zone that are alive, and the peers among
// them.
func (z zone) members() (list []chivehub.Member, peers []chivemesh.Peer) {
	var clock chiveboot.Clock
	e := z.entry
	list = append(list, chivehub.Member{Name: e.settings.Entry.Name, Leaving: e.leaving.Load(), Answered: e.source.Answered()})
	for _, p := range e.mesh.Peers() {
		if p.Entry.Zone != e.settings.Entry.Zone {
			continue
		}
		list = append(list, chivehub.Member{Name: p.Entry.Name, Leaving: p.Leaving, Answered: clock.Age(p.Answered)})
		peers = append(peers, p)
	}
	return list, peers
}

// Hub implements chivehub.Zone.Hub.
func (z zone) Hub() *chivehub.Hub {
	members, peers := z.members()
	name := chivehub.Choose(members)
	for _, p := range peers {
		if p.Entry.Name == name {
			return &chivehub.Hub{Name: name, Addr: p.Entry.Copies, Marks: p.Marks}
		}
	}
	return nil
}

// Place implements chivehub.Zone.Place.
func (z zone) Place() int {
	members, _ := z.members()
	return chivehub.Place(z.entry.settings.Entry.Name, members)
}

// marks returns how new the copies are that this entry VM serves, or nil where
// others have no use for them.
func (e *Daemon) marks() map[string]chivehub.Mark {
	if answered := e.source.Answered(); answered < 0 || answered > answerAge {
		return nil
	}
	t := e.settings.Tables
	list := map[string]chivehub.Mark{}
	for _, name := range []string{t.Operators, t.Runners, t.System} {
		list[name] = e.source.Journal(name).Mark()
	}
	return list
}
