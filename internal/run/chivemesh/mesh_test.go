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

// TestRelayedConfirmation guards against a relayed freshness proof that is later than
// the real one. Two entry VMs with unsynchronized clocks report to each other over a
// network that delays and drops datagrams.
func TestRelayedConfirmation(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 11))
		start := chiveclock.Now()
		s := &senderState{}
		// The peer's clock is ahead by skew. All other times are by the local clock:
		// sentAt and arrivedAt of the last local report, and the real confirmation.
		skew := chiveclock.Moment(r.Int64N(int64(time.Hour)))
		var sentAt, arrivedAt chiveclock.Moment
		confirmed := start
		now := start
		for range 200 {
			now = now.Add(time.Duration(r.Int64N(int64(time.Second))))
			if r.IntN(3) == 0 {
				confirmed = max(confirmed, now.Add(-time.Duration(r.Int64N(int64(time.Second)))))
			}
			if r.IntN(2) == 0 {
				// A local report arrives at the peer after a delay.
				sentAt, arrivedAt = now, now.Add(time.Duration(r.Int64N(int64(3*time.Second))))
				now = arrivedAt
			}
			if sentAt == 0 {
				continue
			}
			// The peer's report may take any time, which the receiver cannot know.
			_, ignored := s.accept(&Header{
				From: "b", Boot: 1, SentAt: now + skew, Echo: Reading{Boot: 7, At: sentAt}, EchoDelay: now.Sub(arrivedAt), ConfigVersion: 3, ConfigAge: now.Sub(confirmed),
			}, 7, now)
			if ignored != nil {
				t.Fatalf("seed %d: %v", seed, ignored)
			}
			if got := s.confirmation(3); got > confirmed {
				t.Fatalf("seed %d: relayed confirmation is %v later than the real one", seed, got.Sub(confirmed))
			}
		}
	}
}

// simulatedNow returns the simulated time of a synctest bubble.
func simulatedNow() chiveclock.Moment { return chiveclock.Moment(time.Now().UnixNano()) }

// newMesh returns a Mesh without load for an entry VM of a fixed fleet.
func newMesh(self chivefleet.Entry, fleet *chivefleet.Fleet) *Mesh {
	return &Mesh{
		Self: self, Clock: simulatedNow, Log: log.New(io.Discard), Fleet: func() *chivefleet.Fleet { return fleet },
		SinceStoreAnswer: func() time.Duration { return 0 }, Revisions: func() map[string]chivehub.Revision { return nil },
		Load: func() Load { return Load{InFlight: map[string]int{}} }, HoldsMapDuty: func() bool { return false },
		SlowRunners: func() map[string]float64 { return nil }, OnReport: func(string, Load, map[string]float64) {},
	}
}

// TestAcceptReport checks that reports that are old or from an unknown sender are
// refused, and that a restart of the sender discards its earlier confirmation.
func TestAcceptReport(t *testing.T) {
	entries := map[string]chivefleet.Entry{"b": {Name: "b", MeshAddr: "127.0.0.1:1"}}
	m := newMesh(chivefleet.Entry{Name: "a", Boot: 1}, &chivefleet.Fleet{Entries: entries})
	m.updateNeighbours(entries)
	tests := []struct {
		give   string
		header Header
		want   bool
	}{
		{"unknown sender", Header{From: "c", Boot: 1, SentAt: 5}, false},
		{"first report", Header{From: "b", Boot: 1, SentAt: 5, Echo: Reading{Boot: 1, At: 1}, ConfigVersion: 2}, true},
		{"duplicate", Header{From: "b", Boot: 1, SentAt: 5}, false},
		{"older report", Header{From: "b", Boot: 1, SentAt: 4}, false},
		{"newer report", Header{From: "b", Boot: 1, SentAt: 6, Echo: Reading{Boot: 1, At: 2}, ConfigVersion: 2}, true},
		{"restarted sender", Header{From: "b", Boot: 2, SentAt: 1, ConfigVersion: 2}, true},
	}
	for _, tt := range tests {
		if got := m.acceptReport(&Report{Header: tt.header}); got != tt.want {
			t.Errorf("%s: accepted is %t", tt.give, got)
		}
	}
	if m.ConfigConfirmedAt(2) != 0 {
		t.Error("confirmation of the earlier process was kept")
	}
}

// network carries datagrams between entry VMs of several zones in simulated time.
type network struct {
	t          *testing.T
	rng        *rand.Rand
	fleet      *chivefleet.Fleet
	meshes     map[string]*Mesh
	nameByAddr map[string]string
	// loads holds the requests in flight that each entry VM was told, by receiver,
	// source and runner.
	loads   map[string]map[string]map[string]int
	stopped map[string]bool
	// sent counts all datagrams, crossZone those between zones.
	crossZone, sent int
	lossRate        float64
	// ticksUntilRound is the number of ticks of run until an entry VM's next round.
	ticksUntilRound map[string]int
}

// newNetwork returns a network with a number of entry VMs in each zone. Each has one
// request in flight at a runner of its own and one at a runner that all share.
func newNetwork(t *testing.T, zones, each int, seed uint64) *network {
	n := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), fleet: &chivefleet.Fleet{Entries: map[string]chivefleet.Entry{}},
		meshes: map[string]*Mesh{}, nameByAddr: map[string]string{}, loads: map[string]map[string]map[string]int{}, stopped: map[string]bool{}, ticksUntilRound: map[string]int{},
	}
	for z := range zones {
		for i := range each {
			name := fmt.Sprintf("vm-%d-%d", z, i)
			e := chivefleet.Entry{Name: name, Boot: 1, Zone: fmt.Sprint(z), MeshAddr: fmt.Sprintf("127.0.%d.%d:7000", z, i+1)}
			n.fleet.Entries[name], n.nameByAddr[e.MeshAddr] = e, name
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

// run lets all running entry VMs send their rounds, which are not synchronized.
func (n *network) run(d time.Duration) {
	const ticksPerPeriod = 5
	for end := time.Now().Add(d); time.Now().Before(end); {
		for _, name := range n.shuffledNames() {
			m := n.meshes[name]
			if n.ticksUntilRound[name]--; n.ticksUntilRound[name] > 0 {
				continue
			}
			n.ticksUntilRound[name] = int(m.reportPeriod() * ticksPerPeriod / minReportPeriod)
			if n.stopped[name] {
				continue
			}
			for _, p := range m.roundPackets(n.fleet, m.buildReport(n.fleet)) {
				n.deliver(m.Self, p)
			}
		}
		time.Sleep(minReportPeriod / ticksPerPeriod)
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

// alivePeers returns the names of the peers that an entry VM considers alive.
func (n *network) alivePeers(name string) map[string]bool {
	list := map[string]bool{}
	for _, p := range n.meshes[name].Peers() {
		list[p.Entry.Name] = true
	}
	return list
}

// checkViews compares the view of each entry VM with the true state: which entry VMs
// run, and the load that they put on runners.
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
			n.t.Errorf("%s: %s considers %d entry VMs alive, %d are", when, name, len(got), len(want))
		}
		sum := map[string]int{}
		for source, inFlight := range n.loads[name] {
			if n.stopped[source] || n.isStoppedZone(source) {
				continue
			}
			for id, k := range inFlight {
				sum[id] += k
			}
		}
		if !maps.Equal(sum, load) {
			n.t.Errorf("%s: %s has load at %d runners and %d requests at the shared one, not %d and %d", when, name, len(sum), sum["shared"], len(load), load["shared"])
		}
	}
}

// isStoppedZone reports whether a source of load is a zone whose entry VMs are all
// stopped.
func (n *network) isStoppedZone(source string) bool {
	name, ok := strings.CutPrefix(source, zoneSourcePrefix)
	for _, e := range n.fleet.Entries {
		if e.Zone == name && !n.stopped[e.Name] {
			return false
		}
	}
	return ok
}

// detectionBound is the time within which all peers must detect that an entry VM has
// stopped: in a small fleet, directory responses may list it for at most six seconds.
const detectionBound = 6 * time.Second

// TestViewsConverge guards against views that stay wrong after failures. Entry VMs,
// among them aggregators, stop and continue while datagrams are lost; all views must
// match the true state within detectionBound.
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
				// The aggregator of a zone is the first by name.
				n.stopped["vm-0-0"], n.stopped["vm-1-0"] = round%2 == 0, round%3 == 0
				for z := range 3 {
					// The last entry VM of a zone keeps running, except in one round in which
					// a whole zone is stopped.
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

// TestAggregatorRestart guards against an incomplete digest after the aggregator
// restarts: it must not send one before it has listened to its zone.
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
				t.Fatalf("%d entry VMs are considered alive, 7 are", len(got))
			}
		}
	})
}

// dutyDetectionBound is the time within which all peers must detect that the holder of
// the map duty has stopped: its group is paused until another one takes over the duty.
const dutyDetectionBound = 1300 * time.Millisecond

// TestDutyHolderDetection guards against a late takeover of the map duty. It stops the
// holder, which is also the aggregator of its zone, and checks that no entry VM in any
// zone considers it alive after dutyDetectionBound.
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
					t.Errorf("seed %d: %s considers the stopped holder alive", seed, name)
				}
			}
		})
	}
}

// TestCrossZoneTraffic guards against traffic between zones that grows with the fleet.
// The number of datagrams must depend on the number of zones only; without digests it
// would grow with the square of the number of entry VMs.
func TestCrossZoneTraffic(t *testing.T) {
	var crossZone []int
	for _, each := range []int{3, 12, 40} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, each, 1)
			n.run(2 * time.Second)
			n.crossZone, n.sent = 0, 0
			n.run(5 * time.Second)
			t.Logf("%d entry VMs: %d datagrams in 5 s, %d of them between zones", 3*each, n.sent, n.crossZone)
			crossZone = append(crossZone, n.crossZone)
		})
	}
	if crossZone[2] > 2*crossZone[0] {
		t.Errorf("datagrams between zones are %v", crossZone)
	}
}

// FuzzDecode checks that decode accepts no datagram with an invalid header.
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
			t.Errorf("accepted %+v", p)
		}
	})
}

// header returns the header of the report or digest.
func (p *Packet) header() *Header {
	if p.Report != nil {
		return &p.Report.Header
	}
	return &p.Digest.Header
}
