package chivemesh

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// pair is two entry VMs of a zone, each with a clock of its own.
type pair struct {
	fleet  *chivefleet.Fleet
	clocks map[string]*chiveclock.Moment
	meshes map[string]*Mesh
}

func newPair() *pair {
	p := &pair{clocks: map[string]*chiveclock.Moment{}, meshes: map[string]*Mesh{}}
	p.fleet = &chivefleet.Fleet{
		Config: &chivefleet.Config{Version: 3}, ConfigConfirmedAt: chiveclock.Moment(10 * time.Hour),
		Entries: map[string]chivefleet.Entry{"a": {Name: "a", Boot: 1, Zone: "z", MeshAddr: "127.0.0.1:1"}, "b": {Name: "b", Boot: 1, Zone: "z", MeshAddr: "127.0.0.1:2"}},
	}
	for name := range p.fleet.Entries {
		p.start(name, 1, 10*time.Hour)
	}
	return p
}

// start starts a process of an entry VM whose clock has the given reading.
func (p *pair) start(name string, boot uint64, reading time.Duration) {
	e := p.fleet.Entries[name]
	e.Boot = boot
	p.fleet.Entries[name] = e
	clock := chiveclock.Moment(reading)
	p.clocks[name] = &clock
	m := newMesh(e, p.fleet)
	m.Clock = func() chiveclock.Moment { return clock }
	p.meshes[name] = m
}

// send passes the reports of one entry VM to the other, a millisecond after the last.
func (p *pair) send(from, to string) {
	for _, c := range p.clocks {
		*c = c.Add(time.Millisecond)
	}
	m := p.meshes[from]
	p.meshes[to].roundPackets(p.fleet, p.meshes[to].buildReport(p.fleet))
	for _, o := range m.roundPackets(p.fleet, m.buildReport(p.fleet)) {
		p.meshes[to].handle(&o.packet)
	}
}

// TestReadingOfEarlierBoot guards against a configuration that counts as confirmed in the future,
// so that keys that were taken away are admitted for hours (CONFIG): after a loss of power a peer
// echoes a reading of the clock that the VM had before.
func TestReadingOfEarlierBoot(t *testing.T) {
	p := newPair()
	p.send("a", "b")
	p.send("b", "a")
	if p.meshes["a"].ConfigConfirmedAt(3) == 0 {
		t.Error("a reading of this process confirms nothing")
	}
	p.start("a", 2, 2*time.Second)
	p.send("b", "a")
	if got := p.meshes["a"].ConfigConfirmedAt(3); got != 0 {
		t.Errorf("at %v the configuration counts as confirmed at %v", time.Duration(*p.clocks["a"]), time.Duration(got))
	}
	if len(p.meshes["a"].Peers()) != 1 {
		t.Error("the rest of the message is lost")
	}
	p.send("a", "b")
	p.send("b", "a")
	if p.meshes["a"].ConfigConfirmedAt(3) == 0 {
		t.Error("a reading of the new process confirms nothing")
	}
}

// TestBadReadings checks that a message whose echoed reading is of another process, of the future
// or none confirms nothing, loses nothing else, and is logged once for each reason.
func TestBadReadings(t *testing.T) {
	const now = chiveclock.Moment(time.Hour)
	tests := []struct {
		give string
		echo Reading
		want error
	}{
		{"none", Reading{}, errNoReading},
		{"another process", Reading{Boot: 9, At: now - 1}, errForeignReading},
		{"the future", Reading{Boot: 5, At: now + 1}, errFutureReading},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		entries := map[string]chivefleet.Entry{"b": {Name: "b", Boot: 1, MeshAddr: "127.0.0.1:1"}}
		m := newMesh(chivefleet.Entry{Name: "a", Boot: 5}, &chivefleet.Fleet{Entries: entries})
		m.Clock, m.Log = func() chiveclock.Moment { return now }, log.New(&out)
		load := 0
		m.OnReport = func(_ string, l Load, _ map[string]float64) { load = l.InFlight["r"] }
		m.updateNeighbours(entries)
		for k := range 3 {
			m.handle(&Packet{Report: &Report{
				Header: Header{From: "b", Boot: 1, SentAt: chiveclock.Moment(k + 1), Echo: tt.echo, ConfigVersion: 3}, Load: Load{InFlight: map[string]int{"r": k + 1}},
			}})
		}
		if n := strings.Count(out.String(), tt.want.Error()); n != 1 {
			t.Errorf("%s: %d lines, want one:\n%s", tt.give, n, out.String())
		}
		if m.ConfigConfirmedAt(3) != 0 || load != 3 || len(m.Peers()) != 1 {
			t.Errorf("%s: confirmed at %v, load %d, %d peers", tt.give, m.ConfigConfirmedAt(3), load, len(m.Peers()))
		}
	}
}

// TestSuspensionWhileReporting guards against a confirmation that looks younger than it is (CONFIG):
// the process was suspended after it had computed the age and before it read its clock for the
// message.
func TestSuspensionWhileReporting(t *testing.T) {
	const suspension = 30 * time.Second
	p := newPair()
	p.send("a", "b")
	b := p.meshes["b"]
	report := b.buildReport(p.fleet)
	for _, c := range p.clocks {
		*c = c.Add(suspension)
	}
	for _, o := range b.roundPackets(p.fleet, report) {
		p.meshes["a"].handle(&o.packet)
	}
	if got := p.meshes["a"].ConfigConfirmedAt(3); got > p.fleet.ConfigConfirmedAt {
		t.Errorf("the configuration counts as confirmed %v later than it was", got.Sub(p.fleet.ConfigConfirmedAt))
	}
}
