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

// TestRelayedConfirmation has two entry VMs report to each other over a network that delays
// and loses datagrams, each with a clock of its own, and checks that a lent
// confirmation is never newer than the real one.
func TestRelayedConfirmation(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 11))
		start := chiveclock.Now()
		s := &senderState{}
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
			s.accept(&Header{
				From: "b", Boot: 1, SentAt: now + skew, EchoedSentAt: received, EchoDelay: now.Sub(receivedAt), ConfigVersion: 3, ConfigAge: now.Sub(confirmed),
			}, now)
			if got := s.confirmation(3); got > confirmed {
				t.Fatalf("seed %d: lent confirmation is %v newer than the real one", seed, got.Sub(confirmed))
			}
		}
	}
}

// simulatedNow reads the simulatedNow time of a test.
func simulatedNow() chiveclock.Moment { return chiveclock.Moment(time.Now().UnixNano()) }

// newMesh returns a Mesh of an entry VM that knows the others.
func newMesh(self chivefleet.Entry, fleet *chivefleet.Fleet) *Mesh {
	return &Mesh{
		Self: self, Clock: simulatedNow, Log: log.New(io.Discard), Fleet: func() *chivefleet.Fleet { return fleet },
		SinceStoreAnswer: func() time.Duration { return 0 }, Revisions: func() map[string]chivehub.Revision { return nil },
		Load: func() Load { return Load{InFlight: map[string]int{}} }, HoldsMapDuty: func() bool { return false },
		SlowRunners: func() map[string]float64 { return nil }, OnReport: func(string, Load, map[string]float64) {},
	}
}

// TestAcceptReport passes over reports that are old or of strangers, and forgets what an
// earlier process confirmed.
func TestAcceptReport(t *testing.T) {
	entries := map[string]chivefleet.Entry{"b": {Name: "b", Mesh: "127.0.0.1:1"}}
	m := newMesh(chivefleet.Entry{Name: "a"}, &chivefleet.Fleet{Entries: entries})
	m.updateNeighbours(entries)
	tests := []struct {
		give  string
		stamp Header
		want  bool
	}{
		{"a stranger", Header{From: "c", Boot: 1, SentAt: 5}, false},
		{"the first", Header{From: "b", Boot: 1, SentAt: 5, EchoedSentAt: 1, ConfigVersion: 2}, true},
		{"the same again", Header{From: "b", Boot: 1, SentAt: 5}, false},
		{"an older one", Header{From: "b", Boot: 1, SentAt: 4}, false},
		{"a newer one", Header{From: "b", Boot: 1, SentAt: 6, EchoedSentAt: 2, ConfigVersion: 2}, true},
		{"a new process", Header{From: "b", Boot: 2, SentAt: 1, ConfigVersion: 2}, true},
	}
	for _, tt := range tests {
		if got := m.acceptReport(&Report{Header: tt.stamp}); got != tt.want {
			t.Errorf("%s: taken is %t", tt.give, got)
		}
	}
	if m.ConfigConfirmedAt(2) != 0 {
		t.Error("what an earlier process confirmed is kept")
	}
}

// network carries datagrams between entry VMs of several zones in simulated time.
type network struct {
	t          *testing.T
	rng        *rand.Rand
	fleet      *chivefleet.Fleet
	meshes     map[string]*Mesh
	nameByAddr map[string]string
	loads      map[string]map[string]map[string]int
	stopped    map[string]bool
	// crossZone and sent count the datagrams, and those between zones.
	crossZone, sent int
	lossRate        float64
	// ticksUntilRound is the number of looks until an entry VM's next round.
	ticksUntilRound map[string]int
}

// newNetwork returns a network of entry VMs, each with one request at a runner of
// its own and one at a runner that all share.
func newNetwork(t *testing.T, zones, each int, seed uint64) *network {
	n := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), fleet: &chivefleet.Fleet{Entries: map[string]chivefleet.Entry{}},
		meshes: map[string]*Mesh{}, nameByAddr: map[string]string{}, loads: map[string]map[string]map[string]int{}, stopped: map[string]bool{}, ticksUntilRound: map[string]int{},
	}
	for z := range zones {
		for i := range each {
			name := fmt.Sprintf("vm-%d-%d", z, i)
			e := chivefleet.Entry{Name: name, Boot: 1, Zone: fmt.Sprint(z), Mesh: fmt.Sprintf("127.0.%d.%d:7000", z, i+1)}
			n.fleet.Entries[name], n.nameByAddr[e.Mesh] = e, name
		}
	}
	for name, e := range n.fleet.Entries {
		m := newMesh(e, n.fleet)
		m.Load = func() Load { return Load{InFlight: map[string]int{"shared": 1, "runner of " + name: 1}} }
		m.OnReport = func(source string, load Load, _ map[string]float64) { n.loads[name][source] = load.InFlight }
		n.meshes[name], n.loads[name] = m, map[string]map[string]int{}
		n.ticksUntilRound[name] = n.rng.IntN(5)
	}
	return n
}

// run has all entry VMs that live make their rounds, each at its own moments.
func (n *network) run(d time.Duration) {
	const parts = 5
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, name := range n.shuffledNames() {
			m := n.meshes[name]
			if n.ticksUntilRound[name]--; n.ticksUntilRound[name] > 0 {
				continue
			}
			n.ticksUntilRound[name] = int(m.reportPeriod() * parts / minReportPeriod)
			if n.stopped[name] {
				continue
			}
			for _, p := range m.roundPackets(n.fleet, m.buildReport(n.fleet)) {
				n.deliver(m.Self, p)
			}
		}
		time.Sleep(minReportPeriod / parts)
	}
}

func (n *network) shuffledNames() []string {
	var names []string
	for name := range n.meshes {
		names = append(names, name)
	}
	n.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

func (n *network) deliver(from chivefleet.Entry, p outgoingPacket) {
	to := n.nameByAddr[(&net.UDPAddr{IP: p.to.IP, Port: p.to.Port}).String()]
	n.sent++
	if n.fleet.Entries[to].Zone != from.Zone {
		n.crossZone++
	}
	if n.stopped[to] || n.rng.Float64() < n.lossRate {
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

// alivePeers returns the peers that an entry VM takes for alivePeers.
func (n *network) alivePeers(name string) map[string]bool {
	list := map[string]bool{}
	for _, p := range n.meshes[name].Peers() {
		list[p.Entry.Name] = true
	}
	return list
}

// checkViews compares what every entry VM knows with what a naive one that asks all
// others would know: who lives, and what load they put on runners.
func (n *network) checkViews(when string) {
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
		if got := n.alivePeers(name); !maps.Equal(got, want) {
			n.t.Errorf("%s: %s takes %d entry VMs for alive, %d are", when, name, len(got), len(want))
		}
		sum := map[string]int{}
		for source, busy := range n.loads[name] {
			if n.stopped[source] || n.isStoppedZone(source) {
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

// isStoppedZone reports whether a source of load is a zone without entry VMs that live.
func (n *network) isStoppedZone(source string) bool {
	name, ok := strings.CutPrefix(source, zoneSourcePrefix)
	for _, e := range n.fleet.Entries {
		if e.Zone == name && !n.stopped[e.Name] {
			return false
		}
	}
	return ok
}

// detectionBound is how soon after its end an entry VM must be unknown to all: the
// directory may name it for six seconds in a small fleet.
const detectionBound = 6 * time.Second

// TestViewsConverge has zones report to each other while entry VMs end and start again,
// those that speak for their zones among them, and datagrams are lost. Everyone
// comes to know who lives and what load there is.
func TestViewsConverge(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, 5, seed)
			n.lossRate = 0.02 * float64(seed%3)
			n.run(5 * time.Second)
			n.checkViews("after the start")
			for round := range 6 {
				for name := range n.meshes {
					n.stopped[name] = n.rng.IntN(4) == 0
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
				n.run(detectionBound)
				n.checkViews(fmt.Sprintf("seed %d, round %d", seed, round))
			}
		})
	}
}

// TestAggregatorRestart starts the entry VM that speaks for its zone anew: it says nothing of
// its zone before it has listened.
func TestAggregatorRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 2, 4, 5)
		n.run(5 * time.Second)
		e := n.meshes["vm-0-0"].Self
		e.Boot = 2
		m := newMesh(e, n.fleet)
		m.Load, m.OnReport = n.meshes["vm-0-0"].Load, n.meshes["vm-0-0"].OnReport
		n.meshes["vm-0-0"] = m
		for range 40 {
			n.run(minReportPeriod / 5)
			if got := n.alivePeers("vm-1-3"); len(got) != 7 {
				t.Fatalf("%d entry VMs are taken for alive, 7 are", len(got))
			}
		}
	})
}

// dutyDetectionBound is how soon all must know that the holder of the map duty has gone: a
// group that it holds stands still until another takes the duty over.
const dutyDetectionBound = 1300 * time.Millisecond

// TestDutyHolderDetection stops the holder of the map duty, which speaks for its zone, too, and
// checks that nobody in any zone takes it for alive soon after.
func TestDutyHolderDetection(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, 8, seed)
			n.meshes["vm-1-0"].HoldsMapDuty = func() bool { return true }
			n.run(4 * time.Second)
			n.stopped["vm-1-0"] = true
			n.run(dutyDetectionBound)
			for name := range n.meshes {
				if name != "vm-1-0" && n.alivePeers(name)["vm-1-0"] {
					t.Errorf("seed %d: %s takes the holder for alive", seed, name)
				}
			}
		})
	}
}

// TestCrossZoneTraffic answers a pattern of load: a fleet that grows. The datagrams between
// zones depend on the number of zones alone; when all reported to all they grew
// with the square of the entry VMs.
func TestCrossZoneTraffic(t *testing.T) {
	var far []int
	for _, each := range []int{3, 12, 40} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, each, 1)
			n.run(2 * time.Second)
			n.crossZone, n.sent = 0, 0
			n.run(5 * time.Second)
			t.Logf("%d entry VMs: %d datagrams in 5 s, %d of them between zones", 3*each, n.sent, n.crossZone)
			far = append(far, n.crossZone)
		})
	}
	if far[2] > 2*far[0] {
		t.Errorf("datagrams between zones are %v", far)
	}
}

// FuzzDecode feeds datagrams of strangers.
func FuzzDecode(f *testing.F) {
	for _, p := range []Packet{
		{Report: &Report{Header: Header{From: "a", Boot: 1}}},
		{Digest: &Digest{Header: Header{From: "a", Boot: 1}, Zone: "z"}},
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
		if s := p.header(); s.From == "" || s.Boot == 0 || s.ConfigAge < 0 {
			t.Errorf("took %+v", p)
		}
	})
}

// header returns that of the message.
func (p *Packet) header() *Header {
	if p.Report != nil {
		return &p.Report.Header
	}
	return &p.Digest.Header
}
