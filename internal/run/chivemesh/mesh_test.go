package chivemesh

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// TestConfirmed has two entry VMs report to each other over a network that delays
// and loses datagrams, each with a clock of its own, and checks that a lent
// confirmation is never newer than the real one.
func TestConfirmed(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 11))
		start := chiveclock.Now()
		s := &sender{}
		// The peer's clock is ahead by skew; confirmed is by the local clock.
		skew := chiveclock.Moment(r.Int64N(int64(time.Hour)))
		var received, receivedAt chiveclock.Moment
		confirmed := start
		now := start
		for range 200 {
			now = now.Add(time.Duration(r.Int64N(int64(time.Second))))
			if r.IntN(3) == 0 {
				confirmed = max(confirmed, now.Add(-time.Duration(r.Int64N(int64(time.Second)))))
			}
			if r.IntN(2) == 0 {
				// A report of ours arrives after a delay.
				received, receivedAt = now, now.Add(time.Duration(r.Int64N(int64(3*time.Second))))
				now = receivedAt
			}
			if received == 0 {
				continue
			}
			// Its answer may arrive at any later time, which the receiver cannot know.
			s.take(&Stamp{
				From: "b", Boot: 1, Sent: now + skew, Echo: received, Kept: now.Sub(receivedAt), Version: 3, Age: now.Sub(confirmed),
			}, now)
			if got := s.lent(3); got > confirmed {
				t.Fatalf("seed %d: lent confirmation is %v newer than the real one", seed, got.Sub(confirmed))
			}
		}
	}
}

// simulated reads the simulated time of a test.
func simulated() chiveclock.Moment { return chiveclock.Moment(time.Now().UnixNano()) }

// newMesh returns a Mesh of an entry VM that knows the others.
func newMesh(self chivefleet.Entry, fleet *chivefleet.Fleet) *Mesh {
	return &Mesh{
		Self: self, Clock: simulated, Log: log.New(io.Discard), Fleet: func() *chivefleet.Fleet { return fleet },
		Answered: func() time.Duration { return 0 }, Marks: func() map[string]chivehub.Mark { return nil },
		Load: func() Load { return Load{Busy: map[string]int{}} }, Duty: func() bool { return false },
		Slow: func() map[string]float64 { return nil }, Heard: func(string, Load, map[string]float64) {},
	}
}

// TestTake passes over reports that are old or of strangers, and forgets what an
// earlier process confirmed.
func TestTake(t *testing.T) {
	entries := map[string]chivefleet.Entry{"b": {Name: "b", Mesh: "127.0.0.1:1"}}
	m := newMesh(chivefleet.Entry{Name: "a"}, &chivefleet.Fleet{Entries: entries})
	m.follow(entries)
	tests := []struct {
		give  string
		stamp Stamp
		want  bool
	}{
		{"a stranger", Stamp{From: "c", Boot: 1, Sent: 5}, false},
		{"the first", Stamp{From: "b", Boot: 1, Sent: 5, Echo: 1, Version: 2}, true},
		{"the same again", Stamp{From: "b", Boot: 1, Sent: 5}, false},
		{"an older one", Stamp{From: "b", Boot: 1, Sent: 4}, false},
		{"a newer one", Stamp{From: "b", Boot: 1, Sent: 6, Echo: 2, Version: 2}, true},
		{"a new process", Stamp{From: "b", Boot: 2, Sent: 1, Version: 2}, true},
	}
	for _, tt := range tests {
		if got := m.take(&Report{Stamp: tt.stamp}); got != tt.want {
			t.Errorf("%s: taken is %t", tt.give, got)
		}
	}
	if m.Confirmed(2) != 0 {
		t.Error("what an earlier process confirmed is kept")
	}
}

// network carries datagrams between entry VMs of several zones in simulated time.
type network struct {
	t       *testing.T
	draw    *rand.Rand
	fleet   *chivefleet.Fleet
	meshes  map[string]*Mesh
	byAddr  map[string]string
	heard   map[string]map[string]map[string]int
	stopped map[string]bool
	// far and sent count the datagrams, and those between zones.
	far, sent int
	lost      float64
	// due is the number of looks until an entry VM's next round.
	due map[string]int
}

// newNetwork returns a network of entry VMs, each with one request at a runner of
// its own and one at a runner that all share.
func newNetwork(t *testing.T, zones, each int, seed uint64) *network {
	n := &network{
		t: t, draw: rand.New(rand.NewPCG(seed, 3)), fleet: &chivefleet.Fleet{Entries: map[string]chivefleet.Entry{}},
		meshes: map[string]*Mesh{}, byAddr: map[string]string{}, heard: map[string]map[string]map[string]int{}, stopped: map[string]bool{}, due: map[string]int{},
	}
	for z := range zones {
		for i := range each {
			name := fmt.Sprintf("vm-%d-%d", z, i)
			e := chivefleet.Entry{Name: name, Boot: 1, Zone: fmt.Sprint(z), Mesh: fmt.Sprintf("127.0.%d.%d:7000", z, i+1)}
			n.fleet.Entries[name], n.byAddr[e.Mesh] = e, name
		}
	}
	for name, e := range n.fleet.Entries {
		m := newMesh(e, n.fleet)
		m.Load = func() Load { return Load{Busy: map[string]int{"shared": 1, "runner of " + name: 1}} }
		m.Heard = func(source string, load Load, _ map[string]float64) { n.heard[name][source] = load.Busy }
		n.meshes[name], n.heard[name] = m, map[string]map[string]int{}
		n.due[name] = n.draw.IntN(5)
	}
	return n
}

// run has all entry VMs that live make their rounds, each at its own moments.
func (n *network) run(d time.Duration) {
	const parts = 5
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, name := range n.shuffled() {
			m := n.meshes[name]
			if n.due[name]--; n.due[name] > 0 {
				continue
			}
			n.due[name] = int(m.period() * parts / basePeriod)
			if n.stopped[name] {
				continue
			}
			for _, p := range m.packets(n.fleet, m.report(n.fleet)) {
				n.carry(m.Self, p)
			}
		}
		time.Sleep(basePeriod / parts)
	}
}

func (n *network) shuffled() []string {
	var names []string
	for name := range n.meshes {
		names = append(names, name)
	}
	n.draw.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (n *network) carry(from chivefleet.Entry, p addressed) {
	to := n.byAddr[(&net.UDPAddr{IP: p.to.IP, Port: p.to.Port}).String()]
	n.sent++
	if n.fleet.Entries[to].Zone != from.Zone {
		n.far++
	}
	if n.stopped[to] || n.draw.Float64() < n.lost {
		return
	}
	data, err := cbor.Marshal(&p.packet)
	if err != nil {
		n.t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil {
		n.t.Fatal(err)
	}
	n.meshes[to].handle(got)
}

// alive returns the peers that an entry VM takes for alive.
func (n *network) alive(name string) map[string]bool {
	list := map[string]bool{}
	for _, p := range n.meshes[name].Peers() {
		list[p.Entry.Name] = true
	}
	return list
}

// check compares what every entry VM knows with what a naive one that asks all
// others would know: who lives, and what load they put on runners.
func (n *network) check(when string) {
	n.t.Helper()
	for name := range n.meshes {
		if n.stopped[name] {
			continue
		}
		want, load := map[string]bool{}, map[string]int{}
		for other := range n.meshes {
			if other != name && !n.stopped[other] {
				want[other] = true
				load["shared"]++
				load["runner of "+other]++
			}
		}
		if got := n.alive(name); !maps.Equal(got, want) {
			n.t.Errorf("%s: %s takes %d entry VMs for alive, %d are", when, name, len(got), len(want))
		}
		sum := map[string]int{}
		for source, busy := range n.heard[name] {
			if n.stopped[source] || n.gone(source) {
				continue
			}
			for id, k := range busy {
				sum[id] += k
			}
		}
		if !maps.Equal(sum, load) {
			n.t.Errorf("%s: %s knows a load at %d runners and %d requests at one, not %d and %d", when, name, len(sum), sum["shared"], len(load), load["shared"])
		}
	}
}

// gone reports whether a source of load is a zone without entry VMs that live.
func (n *network) gone(source string) bool {
	name, ok := strings.CutPrefix(source, zoneSource)
	for _, e := range n.fleet.Entries {
		if e.Zone == name && !n.stopped[e.Name] {
			return false
		}
	}
	return ok
}

// lostBound is how soon after its end an entry VM must be unknown to all: the
// directory may name it for six seconds in a small fleet.
const lostBound = 6 * time.Second

// TestZones has zones report to each other while entry VMs end and start again,
// those that speak for their zones among them, and datagrams are lost. Everyone
// comes to know who lives and what load there is.
func TestZones(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, 5, seed)
			n.lost = 0.02 * float64(seed%3)
			n.run(5 * time.Second)
			n.check("after the start")
			for round := range 6 {
				for name := range n.meshes {
					n.stopped[name] = n.draw.IntN(4) == 0
				}
				// Those that speak are the first by name.
				n.stopped["vm-0-0"], n.stopped["vm-1-0"] = round%2 == 0, round%3 == 0
				for z := range 3 {
					// In one round a whole zone is gone.
					n.stopped[fmt.Sprintf("vm-%d-4", z)] = false
					for i := range 5 {
						n.stopped[fmt.Sprintf("vm-%d-%d", z, i)] = n.stopped[fmt.Sprintf("vm-%d-%d", z, i)] || round == 4 && z == 1
					}
				}
				n.run(lostBound)
				n.check(fmt.Sprintf("seed %d, round %d", seed, round))
			}
		})
	}
}

// TestRestart starts the entry VM that speaks for its zone anew: it says nothing of
// its zone before it has listened.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 2, 4, 5)
		n.run(5 * time.Second)
		e := n.meshes["vm-0-0"].Self
		e.Boot = 2
		m := newMesh(e, n.fleet)
		m.Load, m.Heard = n.meshes["vm-0-0"].Load, n.meshes["vm-0-0"].Heard
		n.meshes["vm-0-0"] = m
		for range 40 {
			n.run(basePeriod / 5)
			if got := n.alive("vm-1-3"); len(got) != 7 {
				t.Fatalf("%d entry VMs are taken for alive, 7 are", len(got))
			}
		}
	})
}

// dutyBound is how soon all must know that the holder of the map duty has gone: a
// group that it holds stands still until another takes the duty over.
const dutyBound = 1300 * time.Millisecond

// TestDuty stops the holder of the map duty, which speaks for its zone, too, and
// checks that nobody in any zone takes it for alive soon after.
func TestDuty(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, 8, seed)
			n.meshes["vm-1-0"].Duty = func() bool { return true }
			n.run(4 * time.Second)
			n.stopped["vm-1-0"] = true
			n.run(dutyBound)
			for name := range n.meshes {
				if name != "vm-1-0" && n.alive(name)["vm-1-0"] {
					t.Errorf("seed %d: %s takes the holder for alive", seed, name)
				}
			}
		})
	}
}

// TestTraffic answers a pattern of load: a fleet that grows. The datagrams between
// zones depend on the number of zones alone; when all reported to all they grew
// with the square of the entry VMs.
func TestTraffic(t *testing.T) {
	var far []int
	for _, each := range []int{3, 12, 40} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, each, 1)
			n.run(2 * time.Second)
			n.far, n.sent = 0, 0
			n.run(5 * time.Second)
			t.Logf("%d entry VMs: %d datagrams in 5 s, %d of them between zones", 3*each, n.sent, n.far)
			far = append(far, n.far)
		})
	}
	if far[2] > 2*far[0] {
		t.Errorf("datagrams between zones are %v", far)
	}
}

// FuzzDecode feeds datagrams of strangers.
func FuzzDecode(f *testing.F) {
	for _, p := range []Packet{
		{Report: &Report{Stamp: Stamp{From: "a", Boot: 1}}},
		{Digest: &Digest{Stamp: Stamp{From: "a", Boot: 1}, Zone: "z"}},
	} {
		data, err := cbor.Marshal(&p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decode(data)
		if err != nil {
			return
		}
		if s := p.stamp(); s.From == "" || s.Boot == 0 || s.Age < 0 {
			t.Errorf("took %+v", p)
		}
	})
}

// stamp returns that of the message.
func (p *Packet) stamp() *Stamp {
	if p.Report != nil {
		return &p.Report.Stamp
	}
	return &p.Digest.Stamp
}
