package chivemesh

import (
	"maps"
	"net"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// neighbour holds the state of another entry VM of the same zone.
type neighbour struct {
	Peer
	sender      senderState
	alive       bool
	addr        *net.UDPAddr
	load        Load
	slowRunners map[string]float64
}

// updateNeighbours updates the neighbours from the registered entry VMs, and marks
// those that timed out as not alive.
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
		addr, err := net.ResolveUDPAddr("udp4", e.MeshAddr)
		if err != nil {
			m.Log.Warn("Mesh address cannot be resolved.", "peer", name, "error", err)
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
		timeout := max(minPeerTimeout, missedReportLimit*reportPeriodFor(len(m.neighbours)))
		if n.HoldsMapDuty {
			timeout = dutyHolderTimeout
		}
		if n.alive && now.Sub(n.sender.heardAt) > timeout {
			n.alive = false
			m.Log.Warn("Peer timed out.", "peer", name, "for", now.Sub(n.sender.heardAt))
		}
	}
}

// reportPackets returns the packets with the report to the neighbours.
func (m *Mesh) reportPackets(report *Report) []outgoingPacket {
	now := m.Clock.Now()
	m.Retries.prune(now)
	list := make([]outgoingPacket, 0, len(m.neighbours))
	for name, n := range m.neighbours {
		r := *report
		r.Header = n.sender.replyHeader(r.Header, m.Clock.Now())
		r.Former = m.Retries.formerOf(name, m.peersKnownAt, now)
		list = append(list, outgoingPacket{to: n.addr, packet: Packet{Report: &r}})
	}
	return list
}

// acceptReport stores a report. It returns false for a report that is out of order
// or comes from an unknown sender.
func (m *Mesh) acceptReport(r *Report) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.neighbours[r.From]
	if n == nil || !m.acceptHeader(&n.sender, &r.Header, now) {
		return false
	}
	if !n.alive {
		m.Log.Info("Peer is alive.", "peer", r.From, "boot", r.Boot)
	}
	n.alive, n.Revisions, n.load, n.slowRunners = true, r.Revisions, r.Load, r.SlowRunners
	m.newestConfig = max(m.newestConfig, r.ConfigVersion)
	m.Retries.note(r.From, r.Boot, r.Retries, now)
	n.setStatus(r.Boot, r.Status, now)
	n.setConfigConfirmed(&r.Header, now)
	return true
}

// acceptHeader stores the header of a message in the state of its sender. It returns false for a
// message that is out of order.
func (m *Mesh) acceptHeader(s *senderState, h *Header, now chiveclock.Moment) bool {
	ok, ignored := s.accept(h, m.Self.Boot, now)
	if ignored != nil {
		m.Log.Info("Echoed reading of the clock is ignored.", "peer", h.From, "boot", h.Boot, "why", ignored)
	}
	return ok
}

// isAggregator reports whether this entry VM is the aggregator of its zone: the first
// by name of those that are alive and not leaving. It returns false until this entry
// VM has listened for startupListenTime, since its digest would lack neighbours.
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

// buildDigest returns the digest of this entry VM's zone. The argument is its own
// report.
func (m *Mesh) buildDigest(own *Report) Digest {
	d := Digest{
		Header: own.Header, Zone: m.Self.Zone, Members: map[string]Member{m.Self.Name: {Boot: own.Boot, Status: own.Status}},
		Load: own.clone(), SlowRunners: map[string]float64{}, Facts: own.Facts,
	}
	maps.Copy(d.SlowRunners, own.SlowRunners)
	for name, n := range m.neighbours {
		if !n.alive {
			continue
		}
		d.Members[name] = Member{Boot: n.Boot, Status: Status{Leaving: n.Leaving, HoldsMapDuty: n.HoldsMapDuty, SinceStoreAnswer: m.Clock.Age(n.StoreAnsweredAt)}}
		d.add(&n.load)
		for id, slowdown := range n.slowRunners {
			d.SlowRunners[id] = max(d.SlowRunners[id], slowdown)
		}
	}
	return d
}
