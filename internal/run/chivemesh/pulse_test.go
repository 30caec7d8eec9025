package chivemesh

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	testPulsePeriod = 30 * time.Millisecond
	testCheckPeriod = 15 * time.Millisecond
	// maxNotice is the longest time in which the silence of a holder must be noticed.
	maxNotice = 200 * time.Millisecond
)

// TestHolderWatch checks when a successor finds the holder silent: a holder that falls
// silent while a group is held, within maxNotice, but no holder that merely loses some
// pulses or has released the group, and not because the successor itself stood still.
func TestHolderWatch(t *testing.T) {
	tests := []struct {
		give string
		turn int
		// lossRate is the fraction of pulses that are lost, but never three in a row.
		lossRate float64
		// stop is when the holder stops, ended when it releases the group, 0 for never.
		stop, ended time.Duration
		// sleep is how long the successor stands still, from 300 ms on.
		sleep time.Duration
		want  bool
	}{
		{"holder is alive", 0, 0, 0, 0, 0, false},
		{"pulses are lost", 0, 0.4, 0, 0, 0, false},
		{"holder stops", 0, 0, 500 * time.Millisecond, 0, 0, true},
		{"holder stops, pulses are lost", 0, 0.4, 500 * time.Millisecond, 0, 0, true},
		{"holder stops, second successor", 1, 0, 500 * time.Millisecond, 0, 0, true},
		{"group was released before", 0, 0, 600 * time.Millisecond, 500 * time.Millisecond, 0, false},
		{"successor stood still", 0, 0, 0, 0, 400 * time.Millisecond, false},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			for seed := range uint64(100) {
				r := rand.New(rand.NewPCG(seed, 5))
				var w holderWatch
				const start = chiveclock.Moment(time.Hour)
				noticed, lost := time.Duration(-1), 0
				phase := time.Duration(r.Int64N(int64(testPulsePeriod/time.Millisecond))) * time.Millisecond
				for now := time.Duration(0); now < time.Second; now += time.Millisecond {
					sleeping := tt.sleep > 0 && now > 300*time.Millisecond && now < 300*time.Millisecond+tt.sleep
					running := tt.stop == 0 || now < tt.stop
					if (now+phase)%testPulsePeriod == 0 && running && !sleeping {
						if lost++; r.Float64() >= tt.lossRate || lost > 2 {
							lost = 0
							w.hear(&Pulse{From: "a", Boot: 1, SentAt: start.Add(now), Turn: tt.turn, Ended: tt.ended > 0 && now >= tt.ended}, start.Add(now))
						}
					}
					if now%testCheckPeriod == 0 && !sleeping && w.check(start.Add(now)) && noticed < 0 {
						noticed = now
					}
				}
				if (noticed >= 0) != tt.want {
					t.Fatalf("seed %d: noticed at %v, want a notice: %t", seed, noticed, tt.want)
				}
				if limit := tt.stop + maxNotice + time.Duration(tt.turn)*turnDelay; tt.want && (noticed < tt.stop || noticed > limit) {
					t.Errorf("seed %d: noticed at %v, want from %v to %v", seed, noticed, tt.stop, limit)
				}
			}
		})
	}
}

// TestHolderWatchEnds checks that a silent holder is not reported forever, since each
// report may cost a read of the lease, and that pulses of the next holder end it.
func TestHolderWatchEnds(t *testing.T) {
	now := chiveclock.Moment(time.Hour)
	var w holderWatch
	w.hear(&Pulse{From: "a", Boot: 1, SentAt: 1}, now)
	silent := 0
	for range 400 {
		now = now.Add(testCheckPeriod)
		if w.check(now) {
			silent++
		}
	}
	if longest := int(silenceMaxAge / testCheckPeriod); silent == 0 || silent > longest || w.active() {
		t.Errorf("silent in %d checks, still active: %t", silent, w.active())
	}
	w.hear(&Pulse{From: "a", Boot: 1, SentAt: 2}, now)
	w.silent = true
	w.hear(&Pulse{From: "b", Boot: 7, SentAt: 1}, now)
	if w.silent || w.last.From != "b" {
		t.Error("pulse of the next holder does not end the watch of the first")
	}
	w.hear(&Pulse{From: "b", Boot: 7, SentAt: 1, Ended: true}, now)
	if !w.active() {
		t.Error("pulse that is out of order is not ignored")
	}
}

// TestFindSuccessors checks whom a holder tells that it holds a group.
func TestFindSuccessors(t *testing.T) {
	const now = chiveclock.Moment(time.Hour)
	peer := func(name, zone string) Peer {
		return Peer{Entry: chivefleet.Entry{Name: name, Zone: zone}, StoreAnsweredAt: now}
	}
	cut, leaving := peer("a0", "a"), peer("a1", "a")
	cut.StoreAnsweredAt, leaving.Leaving = 0, true
	tests := []struct {
		give  string
		peers []Peer
		want  []string
	}{
		{"no peers", nil, nil},
		{"one peer", []Peer{peer("a3", "a")}, []string{"a3"}},
		{"one zone", []Peer{peer("a4", "a"), peer("a3", "a"), peer("a2", "a")}, []string{"a2", "a3"}},
		{"another zone", []Peer{peer("a2", "a"), peer("a3", "a"), peer("b1", "b"), peer("c1", "c")}, []string{"a2", "b1"}},
		{"cut off from the store, leaving", []Peer{cut, leaving, peer("a2", "a"), peer("c1", "c"), peer("c2", "c")}, []string{"a2", "c1"}},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			var got []string
			for _, p := range findSuccessors(tt.peers, "a", now) {
				got = append(got, p.Entry.Name)
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("successors are %v, want %v", got, tt.want)
			}
		})
	}
}

// TestPulseDatagram checks that pulses are small, since they are sent often, that malformed
// ones are refused, and that datagrams without them stay as they were.
func TestPulseDatagram(t *testing.T) {
	const maxSize = 140
	data, err := cbor.Marshal(&Packet{Pulse: &Pulse{From: "edge-of-a-long-zone-name-17", Boot: 1 << 63, SentAt: 1 << 60, Turn: 1, Round: chiverank.Round{Version: 1 << 50, Pass: 1 << 40}, Ended: true}})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxSize {
		t.Errorf("pulse has %d bytes, want at most %d", len(data), maxSize)
	}
	if p, err := decode(data); err != nil || p.Pulse == nil || p.Pulse.Turn != 1 || p.Pulse.Round.Pass != 1<<40 {
		t.Errorf("decoded %+v, %v", p, err)
	}
	for i, p := range []Pulse{{Boot: 1}, {From: "a"}, {From: "a", Boot: 1, Turn: -1}, {From: "a", Boot: 1, Turn: successorCount}} {
		data, err := cbor.Marshal(&Packet{Pulse: &p})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(data); err == nil {
			t.Errorf("malformed pulse %d is accepted", i)
		}
	}
	with, _ := cbor.Marshal(&Packet{Report: &Report{}})
	without, _ := cbor.Marshal(&struct {
		Report *Report `cbor:"report,omitempty"`
	}{&Report{}})
	if !slices.Equal(with, without) {
		t.Error("datagram with a report has changed")
	}
}

// TestPulsePackets checks that a holder sends pulses to the same successors until it has
// told them that the group is released, and that a pulse of an unknown sender is ignored.
func TestPulsePackets(t *testing.T) {
	entries := map[string]chivefleet.Entry{}
	for i := range 4 {
		name := fmt.Sprint("e", i)
		entries[name] = chivefleet.Entry{Name: name, Zone: "a", MeshAddr: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
	}
	m := newMesh(entries["e0"], &chivefleet.Fleet{Entries: entries})
	m.Self.Boot = 9
	m.updateNeighbours(entries)
	for _, n := range m.neighbours {
		n.alive, n.StoreAnsweredAt = true, m.Clock.Now()
	}
	first := m.pulsePackets(true, chiverank.Round{}, m.Peers())
	m.neighbours["e1"].Leaving = true
	second, last := m.pulsePackets(true, chiverank.Round{}, m.Peers()), m.pulsePackets(false, chiverank.Round{}, nil)
	for _, list := range [][]outgoingPacket{first, second, last} {
		if len(list) != successorCount || list[0].to.Port != 1001 || list[1].to.Port != 1002 {
			t.Fatalf("pulses go to %v, want e1 and e2", list)
		}
	}
	if first[0].packet.Pulse.Ended || !last[0].packet.Pulse.Ended || second[0].packet.Pulse.SentAt <= first[0].packet.Pulse.SentAt {
		t.Error("pulses do not tell the end, or have no order")
	}
	m.pulsePackets(true, chiverank.Round{}, m.Peers())
	m.neighbours["e2"].Leaving = true
	// The holder was suspended, so that it did not tell the end.
	m.BeginPulses()
	if list := m.pulsePackets(true, chiverank.Round{}, m.Peers()); len(list) != 1 || list[0].to.Port != 1003 {
		t.Errorf("pulses of a new hold go to %v, want e3", list)
	}
	m.handle(&Packet{Pulse: &Pulse{From: "stranger", Boot: 1, SentAt: 1}})
	if m.WatchesHolder() {
		t.Error("pulse of an entry VM that is not registered is accepted")
	}
	m.handle(&Packet{Pulse: &Pulse{From: "e2", Boot: 1, SentAt: 1}})
	if !m.WatchesHolder() || m.IsSilent("e2", 1) || m.SincePulse() > time.Minute {
		t.Error("holder is not watched, or silent at once")
	}
	m.handle(&Packet{Pulse: &Pulse{From: "e2", Boot: 1, SentAt: 2, Ended: true}})
	if m.SincePulse() < time.Hour {
		t.Error("pulse that tells the end counts as one of a holder")
	}
}

// TestLostPulses checks how many pulses in a row may be lost before the holder counts as
// silent, and that its next pulse ends that.
func TestLostPulses(t *testing.T) {
	for _, lost := range []int{1, 2, 3, 4} {
		now := chiveclock.Moment(time.Hour)
		var w holderWatch
		w.hear(&Pulse{From: "a", Boot: 1, SentAt: now}, now)
		silent := false
		for range time.Duration(lost+1) * testPulsePeriod / time.Millisecond {
			now = now.Add(time.Millisecond)
			silent = w.check(now) || silent
		}
		if silent != (lost > 2) {
			t.Errorf("%d pulses are lost: silent is %t", lost, silent)
		}
		w.hear(&Pulse{From: "a", Boot: 1, SentAt: now}, now)
		if w.check(now) {
			t.Errorf("%d pulses are lost: still silent after the next", lost)
		}
	}
}
