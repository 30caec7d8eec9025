package chivemesh

import (
	"errors"
	"math"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveturn"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// silenceTimeout is the time without a pulse after which the first successor takes
	// the holder of the map duty for suspended: the third missed pulse in a row and a margin
	// for the network. turnDelay is added for the second successor, which must not act unless the
	// first has failed, too.
	silenceTimeout = 110 * time.Millisecond
	turnDelay      = 100 * time.Millisecond
	// silenceCheckGap is the time between two checks above which the successor itself may
	// have been suspended, so that its wait starts again.
	silenceCheckGap = 120 * time.Millisecond
	// silenceMaxAge is the time after which the usual timeout of a peer applies in place
	// of the silence.
	silenceMaxAge = dutyHolderTimeout
	// successorCount is the number of entry VMs that get pulses.
	successorCount = 2
	// storeAnswerLimit is how long ago the store may have answered a successor.
	storeAnswerLimit = 2 * time.Second
)

// Pulse is sent by the holder of the map duty to its successors while a group is held,
// so that they soon notice when the holder stands still.
type Pulse struct {
	// From is the name of the holder, and Boot the incarnation of its process.
	From string `cbor:"from"`
	Boot uint64 `cbor:"boot"`
	// SentAt is when the pulse was sent, by the sender's clock.
	SentAt chiveclock.Moment `cbor:"sent"`
	// Turn is the place of the receiver among the successors, from 0.
	Turn int `cbor:"turn,omitempty"`
	// Round is the round of the change once the hold is confirmed.
	Round chiverank.Round `cbor:"round,omitzero"`
	// Ended is set once the group is released.
	Ended bool `cbor:"ended,omitempty"`
}

// validate returns an error for a pulse that no entry VM sends.
func (p *Pulse) validate() error {
	if p.From == "" || p.Boot == 0 || p.Turn < 0 || p.Turn >= successorCount {
		return errors.New("pulse has no sender, no boot ID or an impossible turn")
	}
	return nil
}

// holderWatch tells whether the holder of the map duty has fallen silent while a group
// is held. The zero value watches nobody.
type holderWatch struct {
	last Pulse
	// heardAt is when the last pulse arrived or the wait began again, checkedAt when
	// check was called last.
	heardAt, checkedAt chiveclock.Moment
	silent             bool
}

// hear records a pulse. A pulse that is out of order is ignored.
func (w *holderWatch) hear(p *Pulse, now chiveclock.Moment) {
	if p.From == w.last.From && p.Boot == w.last.Boot && p.SentAt <= w.last.SentAt {
		return
	}
	w.last, w.heardAt, w.silent = *p, now, false
}

// active reports whether the holder has said that a group is held.
func (w *holderWatch) active() bool {
	return w.last.From != "" && !w.last.Ended
}

// check reports whether the holder is silent. It must be called at least once in
// silenceCheckGap while active.
func (w *holderWatch) check(now chiveclock.Moment) bool {
	gap := now.Sub(w.checkedAt)
	w.checkedAt = now
	if !w.active() {
		return false
	}
	if now.Sub(w.heardAt) > silenceMaxAge {
		*w = holderWatch{checkedAt: now}
		return false
	}
	if w.silent {
		return true
	}
	if gap > silenceCheckGap {
		w.heardAt = now
		return false
	}
	w.silent = now.Sub(w.heardAt) > silenceTimeout+time.Duration(w.last.Turn)*turnDelay
	return w.silent
}

// BeginPulses makes the next pulse choose new successors, also if the release of a group was
// never told: the holder may have been suspended before it.
func (m *Mesh) BeginPulses() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pulsing = false
}

// Pulse tells the successors of this entry VM that it holds a group, or no longer does.
// The successors stay the same until then, or until BeginPulses. round is the round of the change, if it is known.
func (m *Mesh) Pulse(held bool, round chiverank.Round) {
	m.mu.Lock()
	conn, first := m.conn, held && !m.pulsing
	m.mu.Unlock()
	var peers []Peer
	if first {
		peers = m.Peers()
	}
	for _, o := range m.pulsePackets(held, round, peers) {
		data, err := cbor.Marshal(&o.packet)
		if err != nil {
			m.Log.Error("Packet cannot be encoded.", "error", err)
			return
		}
		if conn == nil {
			return
		}
		if _, err := conn.WriteToUDP(data, o.to); err != nil {
			m.Log.Debug("Packet was not sent.", "to", o.to, "error", err)
		}
	}
}

// pulsePackets returns the pulses to the successors, which are chosen from peers if no
// pulse was sent since the last release of a group or BeginPulses.
func (m *Mesh) pulsePackets(held bool, round chiverank.Round, peers []Peer) []outgoingPacket {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	if held && !m.pulsing {
		m.successors = findSuccessors(peers, m.Self.Zone, now)
	}
	m.pulsing = held
	var list []outgoingPacket
	for turn, p := range m.successors {
		addr, err := net.ResolveUDPAddr("udp4", p.Entry.MeshAddr)
		if err != nil {
			m.Log.Warn("Mesh address cannot be resolved.", "peer", p.Entry.Name, "error", err)
			continue
		}
		// Pulses that are sent in the same instant are in order, too.
		m.lastPulseAt = max(m.lastPulseAt+1, now)
		pulse := &Pulse{From: m.Self.Name, Boot: m.Self.Boot, SentAt: m.lastPulseAt, Turn: turn, Round: round, Ended: !held}
		list = append(list, outgoingPacket{to: addr, packet: Packet{Pulse: pulse}})
	}
	return list
}

// findSuccessors returns the peer whose turn at the duty is first among those that the store
// answers and that are not leaving, and the first one of a zone other than its own and the
// given one.
func findSuccessors(peers []Peer, zone string, now chiveclock.Moment) []Peer {
	peers = slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool {
		return p.Leaving || p.StoreAnsweredAt == 0 || now.Sub(p.StoreAnsweredAt) > storeAnswerLimit
	})
	slices.SortFunc(peers, func(a, b Peer) int { return chiveturn.Compare(a.Entry.TurnCandidate(), b.Entry.TurnCandidate()) })
	if len(peers) <= successorCount {
		return peers
	}
	first, others := peers[0], peers[1:]
	for _, p := range others {
		if p.Entry.Zone != first.Entry.Zone && p.Entry.Zone != zone {
			return []Peer{first, p}
		}
	}
	return []Peer{first, others[0]}
}

// acceptPulse stores a pulse of a registered entry VM. A pulse of another holder ends
// the watch of an earlier one.
func (m *Mesh) acceptPulse(p *Pulse) {
	if _, ok := m.Fleet().Entries[p.From]; !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.holder.hear(p, m.Clock.Now())
}

// WatchesHolder reports whether this entry VM is a successor of a holder of the map duty
// that holds a group.
func (m *Mesh) WatchesHolder() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.active()
}

// HolderRound returns the round that the holder has told of last.
func (m *Mesh) HolderRound() chiverank.Round {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.last.Round
}

// SincePulse returns the time since a holder has last told that it holds a group, or a very
// long one if it has released the group since or never held one.
func (m *Mesh) SincePulse() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holder.active() {
		return math.MaxInt64
	}
	return m.Clock.Since(m.holder.heardAt)
}

// HolderSilent reports whether the holder of the map duty that this entry VM watches has
// fallen silent while a group is held.
func (m *Mesh) HolderSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	was := m.holder.silent
	silent := m.holder.check(m.Clock.Now())
	if silent && !was {
		m.Log.Warn("Holder of the map duty is silent while it holds a group.", "peer", m.holder.last.From, "turn", m.holder.last.Turn, "for", m.Clock.Since(m.holder.heardAt))
	}
	return silent
}

// IsSilent reports whether HolderSilent has found a given process silent, and no pulse of
// it has arrived since.
func (m *Mesh) IsSilent(name string, boot uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.holder.silent && m.holder.last.From == name && m.holder.last.Boot == boot
}
