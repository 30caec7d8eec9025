package chivemesh

import (
	"net"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// zone is what is known of another zone.
type zone struct {
	// sender is the entry VM that speaks for it, as far as it was heard directly.
	sender sender
	digest *Digest
	// made is when the speaker made the digest.
	made chiveclock.Moment
	// direct says that the digest came from the speaker, so that it is passed on.
	direct bool
}

// peers returns the entry VMs of the zone that are alive.
func (z *zone) peers(name string, entries map[string]chivefleet.Entry, now chiveclock.Moment) []Peer {
	if z.digest == nil || now.Sub(z.made) > digestAge {
		return nil
	}
	var list []Peer
	for member, seen := range z.digest.Members {
		e, ok := entries[member]
		if !ok || e.Zone != name {
			continue
		}
		p := Peer{Entry: e}
		p.note(seen.Boot, seen.Seen, z.made)
		p.noteConfig(&z.digest.Stamp, z.made)
		list = append(list, p)
	}
	return list
}

// takeDigest notes the digest of another zone. It returns false for one that is
// not newer than what is known.
func (m *Mesh) takeDigest(d *Digest) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Zone == m.Self.Zone || m.zones == nil {
		return false
	}
	z := m.zones[d.Zone]
	if z == nil {
		z = &zone{}
		m.zones[d.Zone] = z
	}
	direct := d.Held == 0
	if direct && !z.sender.take(&d.Stamp, now) {
		return false
	}
	made := now.Add(-d.Held)
	if made <= z.made {
		return false
	}
	z.digest, z.made, z.direct = d, made, direct
	return true
}

// digests returns the packets to the speakers of other zones. While that of a
// zone is not known, all its entry VMs get them.
func (m *Mesh) digests(entries map[string]chivefleet.Entry, own *Report) []addressed {
	now := m.Clock.Now()
	digest := m.digest(own)
	var list []addressed
	for name, e := range entries {
		if e.Zone == m.Self.Zone {
			continue
		}
		var known sender
		if z := m.zones[e.Zone]; z != nil && now.Sub(z.sender.heard) <= least {
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
		d.Stamp = known.stamp(d.Stamp, now)
		list = append(list, addressed{to: addr, packet: Packet{Digest: &d}})
	}
	return list
}

// forwards returns the packets that pass other zones' digests on to this zone.
func (m *Mesh) forwards() []addressed {
	now := m.Clock.Now()
	var list []addressed
	for _, z := range m.zones {
		if z.digest == nil || !z.direct || now.Sub(z.made) > digestAge {
			continue
		}
		d := *z.digest
		d.Held = max(now.Sub(z.made), 1)
		for _, n := range m.near {
			list = append(list, addressed{to: n.addr, packet: Packet{Digest: &d}})
		}
	}
	return list
}
