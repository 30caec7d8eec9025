package chivemesh

import (
	"maps"
	"net"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// neighbour is another entry VM of the same zone.
type neighbour struct {
	Peer
	sender      senderState
	alive       bool
	addr        *net.UDPAddr
	load        Load
	slowRunners map[string]float64
}

// updateNeighbours keeps up with the registered entry VMs, and notes which have gone silent.
func (m *Mesh) updateNeighbours(entries map[string]chivefleet.Entry) {
	now := m.Clock.Now()
	if m.neighbours == nil {
		m.neighbours, m.remoteZones = map[string]*neighbour{}, map[string]*remoteZone{}
	}
	if m.peersKnownAt == 0 && len(entries) > 0 {
		m.peersKnownAt = now
	}
	for name, e := range entries {
		n := m.neighbours[name]
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
			m.neighbours[name] = n
		}
		n.Entry, n.addr = e, addr
	}
	for name, n := range m.neighbours {
		if _, ok := entries[name]; !ok {
			delete(m.neighbours, name)
			continue
		}
		limit := max(minPeerTimeout, missedReportLimit*reportPeriodFor(len(m.neighbours)))
		if n.HoldsMapDuty {
			limit = dutyHolderTimeout
		}
		if n.alive && now.Sub(n.sender.heardAt) > limit {
			n.alive = false
			m.Log.Warn("Peer is silent.", "peer", name, "for", now.Sub(n.sender.heardAt))
		}
	}
}

// reportPackets returns the packets to the neighbours.
func (m *Mesh) reportPackets(report *Report) []outgoingPacket {
	list := make([]outgoingPacket, 0, len(m.neighbours))
	for _, n := range m.neighbours {
		r := *report
		r.Header = n.sender.replyHeader(r.Header, m.Clock.Now())
		list = append(list, outgoingPacket{to: n.addr, packet: Packet{Report: &r}})
	}
	return list
}

// acceptReport notes a report. It returns false for one that is out of order or comes
// from nobody known.
func (m *Mesh) acceptReport(r *Report) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.neighbours[r.From]
	if n == nil || !n.sender.accept(&r.Header, now) {
		return false
	}
	if !n.alive {
		m.Log.Info("Peer reports.", "peer", r.From, "boot", r.Boot)
	}
	n.alive, n.Revisions, n.load, n.slowRunners = true, r.Revisions, r.Load, r.SlowRunners
	n.setStatus(r.Boot, r.Status, now)
	n.setConfigConfirmed(&r.Header, now)
	return true
}

// isAggregator reports whether this entry VM isAggregator for its zone: the first by name that
// is alive and stays. One that has just started knows nothing of its zone yet.
func (m *Mesh) isAggregator() bool {
	if m.peersKnownAt == 0 || m.Clock.Since(m.peersKnownAt) < startupListenTime {
		return false
	}
	for _, n := range m.neighbours {
		if n.alive && !n.Leaving && (m.leaving || n.Entry.Name < m.Self.Name) {
			return false
		}
	}
	return true
}

// buildDigest sums up the zone of this entry VM.
func (m *Mesh) buildDigest(own *Report) Digest {
	d := Digest{
		Header: own.Header, Zone: m.Self.Zone, Members: map[string]Member{m.Self.Name: {Boot: own.Boot, Status: own.Status}},
		Load: own.clone(), SlowRunners: map[string]float64{},
	}
	maps.Copy(d.SlowRunners, own.SlowRunners)
	for name, n := range m.neighbours {
		if !n.alive {
			continue
		}
		d.Members[name] = Member{Boot: n.Boot, Status: Status{Leaving: n.Leaving, HoldsMapDuty: n.HoldsMapDuty, SinceStoreAnswer: m.Clock.Age(n.StoreAnsweredAt)}}
		d.add(&n.load)
		for id, pace := range n.slowRunners {
			d.SlowRunners[id] = max(d.SlowRunners[id], pace)
		}
	}
	return d
}
