package chivemesh

import (
	"maps"
	"net"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// neighbour is another entry VM of the same zone.
type neighbour struct {
	Peer
	sender sender
	alive  bool
	addr   *net.UDPAddr
	load   Load
	slow   map[string]float64
}

// follow keeps up with the registered entry VMs, and notes which have gone silent.
func (m *Mesh) follow(entries map[string]chivefleet.Entry) {
	now := m.Clock.Now()
	if m.near == nil {
		m.near, m.zones = map[string]*neighbour{}, map[string]*zone{}
	}
	if m.followed == 0 && len(entries) > 0 {
		m.followed = now
	}
	for name, e := range entries {
		n := m.near[name]
		if e.Zone != m.Self.Zone || name == m.Self.Name || n != nil && n.Entry == e {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", e.Mesh)
		if err != nil {
			m.Log.Warn("Entry has no usable address.", "peer", name, "error", err)
			continue
		}
		if n == nil {
			n = &neighbour{}
			m.near[name] = n
		}
		n.Entry, n.addr = e, addr
	}
	for name, n := range m.near {
		if _, ok := entries[name]; !ok {
			delete(m.near, name)
			continue
		}
		limit := max(least, missed*periodOf(len(m.near)))
		if n.HoldsMapDuty {
			limit = dutySilence
		}
		if n.alive && now.Sub(n.sender.heard) > limit {
			n.alive = false
			m.Log.Warn("Peer is silent.", "peer", name, "for", now.Sub(n.sender.heard))
		}
	}
}

// reports returns the packets to the neighbours.
func (m *Mesh) reports(report *Report) []addressed {
	list := make([]addressed, 0, len(m.near))
	for _, n := range m.near {
		r := *report
		r.Header = n.sender.stamp(r.Header, m.Clock.Now())
		list = append(list, addressed{to: n.addr, packet: Packet{Report: &r}})
	}
	return list
}

// take notes a report. It returns false for one that is out of order or comes
// from nobody known.
func (m *Mesh) take(r *Report) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.near[r.From]
	if n == nil || !n.sender.take(&r.Header, now) {
		return false
	}
	if !n.alive {
		m.Log.Info("Peer reports.", "peer", r.From, "boot", r.Boot)
	}
	n.alive, n.Revisions, n.load, n.slow = true, r.Revisions, r.Load, r.SlowRunners
	n.note(r.Boot, r.Status, now)
	n.noteConfig(&r.Header, now)
	return true
}

// speaks reports whether this entry VM speaks for its zone: the first by name that
// is alive and stays. One that has just started knows nothing of its zone yet.
func (m *Mesh) speaks() bool {
	if m.followed == 0 || m.Clock.Since(m.followed) < listenTime {
		return false
	}
	for _, n := range m.near {
		if n.alive && !n.Leaving && (m.leaving || n.Entry.Name < m.Self.Name) {
			return false
		}
	}
	return true
}

// digest sums up the zone of this entry VM.
func (m *Mesh) digest(own *Report) Digest {
	d := Digest{
		Header: own.Header, Zone: m.Self.Zone, Members: map[string]Member{m.Self.Name: {Boot: own.Boot, Status: own.Status}},
		Load: own.clone(), SlowRunners: map[string]float64{},
	}
	maps.Copy(d.SlowRunners, own.SlowRunners)
	for name, n := range m.near {
		if !n.alive {
			continue
		}
		d.Members[name] = Member{Boot: n.Boot, Status: Status{Leaving: n.Leaving, HoldsMapDuty: n.HoldsMapDuty, SinceStoreAnswer: m.Clock.Age(n.StoreAnsweredAt)}}
		d.add(&n.load)
		for id, pace := range n.slow {
			d.SlowRunners[id] = max(d.SlowRunners[id], pace)
		}
	}
	return d
}
