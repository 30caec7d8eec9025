package chivemesh

import (
	"net"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// remoteZone is what is known of another remoteZone.
type remoteZone struct {
	// sender is the entry VM that speaks for it, as far as it was heard directly.
	sender senderState
	digest *Digest
	// createdAt is when the speaker createdAt the digest.
	createdAt chiveclock.Moment
	// fromAggregator says that the digest came from the speaker, so that it is passed on.
	fromAggregator bool
}

// peers returns the entry VMs of the zone that are alive.
func (z *remoteZone) peers(name string, entries map[string]chivefleet.Entry, now chiveclock.Moment) []Peer {
	if z.digest == nil || now.Sub(z.createdAt) > maxDigestAge {
		return nil
	}
	var list []Peer
	for member, seen := range z.digest.Members {
		e, ok := entries[member]
		if !ok || e.Zone != name {
			continue
		}
		p := Peer{Entry: e}
		p.setStatus(seen.Boot, seen.Status, z.createdAt)
		p.setConfigConfirmed(&z.digest.Header, z.createdAt)
		list = append(list, p)
	}
	return list
}

// acceptDigest notes the digest of another zone. It returns false for one that is
// not newer than what is known.
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
	direct := d.RelayDelay == 0
	if direct && !z.sender.accept(&d.Header, now) {
		return false
	}
	made := now.Add(-d.RelayDelay)
	if made <= z.createdAt {
		return false
	}
	z.digest, z.createdAt, z.fromAggregator = d, made, direct
	return true
}

// digestPackets returns the packets to the speakers of other zones. While that of a
// zone is not known, all its entry VMs get them.
func (m *Mesh) digestPackets(entries map[string]chivefleet.Entry, own *Report) []outgoingPacket {
	now := m.Clock.Now()
	digest := m.buildDigest(own)
	var list []outgoingPacket
	for name, e := range entries {
		if e.Zone == m.Self.Zone {
			continue
		}
		var known senderState
		if z := m.remoteZones[e.Zone]; z != nil && now.Sub(z.sender.heardAt) <= minPeerTimeout {
			known = z.sender
		}
		if known.name != "" && known.name != name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", e.Mesh)
		if err != nil {
			m.Log.Warn("Entry has no usable address.", "peer", name, "error", err)
			continue
		}
		d := digest
		d.Header = known.replyHeader(d.Header, now)
		list = append(list, outgoingPacket{to: addr, packet: Packet{Digest: &d}})
	}
	return list
}

// relayPackets returns the packets that pass other zones' digests on to this zone.
func (m *Mesh) relayPackets() []outgoingPacket {
	now := m.Clock.Now()
	var list []outgoingPacket
	for _, z := range m.remoteZones {
		if z.digest == nil || !z.fromAggregator || now.Sub(z.createdAt) > maxDigestAge {
			continue
		}
		d := *z.digest
		d.RelayDelay = max(now.Sub(z.createdAt), 1)
		for _, n := range m.neighbours {
			list = append(list, outgoingPacket{to: n.addr, packet: Packet{Digest: &d}})
		}
	}
	return list
}
