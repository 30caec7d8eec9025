package chivemesh

import (
	"net"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// remoteZone holds the state of another zone.
type remoteZone struct {
	// sender is the zone's aggregator, as heard directly and not through a relay.
	sender senderState
	digest *Digest
	// createdAt is when the aggregator created the digest, by the local clock. It may
	// be too late by the network delays.
	createdAt chiveclock.Moment
	// fromAggregator is set if the digest came directly from the aggregator. Only
	// such digests are relayed.
	fromAggregator bool
}

// peers returns the entry VMs of the zone that are alive, or none if the digest is
// too old. Those that are not registered in the zone are left out.
func (z *remoteZone) peers(name string, entries map[string]chivefleet.Entry, now chiveclock.Moment) []Peer {
	if z.digest == nil || now.Sub(z.createdAt) > maxDigestAge {
		return nil
	}
	var list []Peer
	for id, member := range z.digest.Members {
		e, ok := entries[id]
		if !ok || e.Zone != name {
			continue
		}
		p := Peer{Entry: e}
		p.setStatus(member.Boot, member.Status, z.createdAt)
		p.setConfigConfirmed(&z.digest.Header, z.createdAt)
		list = append(list, p)
	}
	return list
}

// acceptDigest stores the digest of another zone. It returns false for one that is
// not newer than the stored digest.
func (m *Mesh) acceptDigest(d *Digest) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Zone == m.Self.Zone || m.remoteZones == nil {
		return false
	}
	z := m.remoteZones[d.Zone]
	if z == nil {
		z = &remoteZone{}
		m.remoteZones[d.Zone] = z
	}
	fromAggregator := d.RelayDelay == 0
	if fromAggregator && !m.acceptHeader(&z.sender, &d.Header, now) {
		return false
	}
	createdAt := now.Add(-d.RelayDelay)
	if createdAt <= z.createdAt {
		return false
	}
	m.newestConfig = max(m.newestConfig, d.ConfigVersion)
	z.digest, z.createdAt, z.fromAggregator = d, createdAt, fromAggregator
	return true
}

// digestPackets returns the packets with the digest of this zone to the aggregators
// of the other zones. If the aggregator of a zone is not known, all entry VMs of that
// zone get the digest.
func (m *Mesh) digestPackets(entries map[string]chivefleet.Entry, own *Report) []outgoingPacket {
	now := m.Clock.Now()
	digest := m.buildDigest(own)
	var list []outgoingPacket
	for name, e := range entries {
		if e.Zone == m.Self.Zone {
			continue
		}
		var aggregator senderState
		if z := m.remoteZones[e.Zone]; z != nil && now.Sub(z.sender.heardAt) <= minPeerTimeout {
			aggregator = z.sender
		}
		if aggregator.name != "" && aggregator.name != name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", e.MeshAddr)
		if err != nil {
			m.Log.Warn("Mesh address cannot be resolved.", "peer", name, "error", err)
			continue
		}
		d := digest
		d.Header = aggregator.replyHeader(d.Header, now)
		list = append(list, outgoingPacket{to: addr, packet: Packet{Digest: &d}})
	}
	return list
}

// relayPackets returns the packets that relay the digests of other zones to the
// neighbours.
func (m *Mesh) relayPackets() []outgoingPacket {
	now := m.Clock.Now()
	var list []outgoingPacket
	for _, z := range m.remoteZones {
		if z.digest == nil || !z.fromAggregator || now.Sub(z.createdAt) > maxDigestAge {
			continue
		}
		d := *z.digest
		// Receivers take a RelayDelay of 0 for a digest of the aggregator itself.
		d.RelayDelay = max(now.Sub(z.createdAt), 1)
		for _, n := range m.neighbours {
			list = append(list, outgoingPacket{to: n.addr, packet: Packet{Digest: &d}})
		}
	}
	return list
}
