package chivemesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// Error is the class of errors of this package.
var Error = errs.Class("mesh")

const (
	// basePeriod is the time between two reports in a small zone.
	basePeriod = 250 * time.Millisecond
	// periodPerEntry lengthens the period in a large zone, so that an entry VM
	// sends and receives at most about sixty reports a second.
	periodPerEntry = 16 * time.Millisecond
	// leastGap is the least time between two rounds of reports.
	leastGap = 50 * time.Millisecond
	// missed is the number of periods without a report after which a peer counts
	// as gone, and least the shortest such time.
	missed = 4
	least  = 1200 * time.Millisecond
	// dutySilence is that time for the holder of the map duty: two reports and some
	// more. A group may stand still while its holder does, and one that is only
	// late loses nothing but the duty.
	dutySilence = 700 * time.Millisecond
	// listenTime is how long an entry VM listens to its zone before it speaks for it:
	// two reports of each neighbour and some more.
	listenTime = 600 * time.Millisecond
	// digestAge is how long a zone's last digest counts: a speaker that has gone
	// is missed after least, and the next one reports at once.
	digestAge = 2500 * time.Millisecond
	// maxPacket is the largest datagram, in bytes.
	maxPacket = 32 << 10
)

// A Peer is what is known of another entry VM.
type Peer struct {
	Entry chivefleet.Entry
	// Boot is the incarnation of its process.
	Boot    uint64
	Leaving bool
	// Duty says that it holds the duty to balance expert maps.
	Duty bool
	// Answered is when the store last answered it, as far as its reports came
	// without delay; 0 where it did not.
	Answered chiveclock.Moment
	// Confirmed is when its configuration was the newest, as far as its reports
	// came without delay; 0 where it has none.
	Confirmed chiveclock.Moment
	// Marks tell how new its copies of the store's tables are. They are known of
	// peers in the same zone only.
	Marks map[string]chivehub.Mark
}

// note takes over what a message that was made at a moment says.
func (p *Peer) note(boot uint64, s Seen, made chiveclock.Moment) {
	p.Boot, p.Leaving, p.Duty, p.Answered = boot, s.Leaving, s.Duty, 0
	if s.Answered >= 0 {
		p.Answered = made.Add(-s.Answered)
	}
}

// noteConfig takes over how new its configuration is.
func (p *Peer) noteConfig(s *Stamp, made chiveclock.Moment) {
	p.Confirmed = 0
	if s.Version > 0 {
		p.Confirmed = made.Add(-s.Age)
	}
}

// A Mesh exchanges reports with all other entry VMs.
type Mesh struct {
	Self chivefleet.Entry
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// Answered returns how long ago the store last answered this entry VM; negative
	// where it did not.
	Answered func() time.Duration
	// Marks returns how new the copies of the store's tables are.
	Marks func() map[string]chivehub.Mark
	// Load returns what this entry VM has at runners and has served.
	Load func() Load
	// Duty reports whether this entry VM holds the duty to balance expert maps.
	Duty func() bool
	// Slow returns the paces of slow runners that this entry VM found itself.
	Slow func() map[string]float64
	// Heard takes the load and the slow runners that a peer or a zone reports.
	Heard func(source string, load Load, slow map[string]float64)
	// Clock is the VM's.
	Clock chiveclock.Clock
	Log   *log.Logger

	mu      sync.Mutex
	near    map[string]*neighbour
	zones   map[string]*zone
	leaving bool
	hurry   chan struct{}
	// followed is when the other entry VMs were first known.
	followed chiveclock.Moment
}

// Leave tells the others that this entry VM takes no new callers.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.Hurry()
}

// Hurry has the next reports sent at once.
func (m *Mesh) Hurry() {
	select {
	case m.hurried() <- struct{}{}:
	default:
	}
}

func (m *Mesh) hurried() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.hurry == nil {
		m.hurry = make(chan struct{}, 1)
	}
	return m.hurry
}

// Peers returns the entry VMs that are alive, but for this one.
func (m *Mesh) Peers() []Peer {
	entries := m.Fleet().Entries
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Peer
	for _, n := range m.near {
		if n.alive {
			list = append(list, n.Peer)
		}
	}
	for name, z := range m.zones {
		list = append(list, z.peers(name, entries, now)...)
	}
	return list
}

// Confirmed returns the newest moment at which a peer knew a version of the
// configuration to be the newest; 0 where none does.
func (m *Mesh) Confirmed(version int64) chiveclock.Moment {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest chiveclock.Moment
	for _, n := range m.near {
		if n.alive {
			newest = max(newest, n.sender.lent(version))
		}
	}
	for _, z := range m.zones {
		newest = max(newest, z.sender.lent(version))
	}
	return newest
}

// Run exchanges reports until the context ends.
func (m *Mesh) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", m.Self.Mesh)
	if err != nil {
		return Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go m.receive(ctx, conn)
	hurry := m.hurried()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hurry:
		case <-timer.C:
		}
		m.round(conn)
		timer.Reset(m.period())
		if chiveclock.Sleep(ctx, leastGap) != nil {
			return nil
		}
	}
}

// period returns the time between two rounds of reports. Others must notice soon
// when the holder of the map duty has gone.
func (m *Mesh) period() time.Duration {
	if m.Duty() {
		return basePeriod
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return periodOf(len(m.near))
}

// periodOf returns the time between two rounds in a zone with so many neighbours.
func periodOf(neighbours int) time.Duration {
	return max(basePeriod, time.Duration(neighbours)*periodPerEntry)
}

// round reports to the zone and, where this entry VM speaks for it, to others.
func (m *Mesh) round(conn *net.UDPConn) {
	// The view asks the mesh for lent confirmations.
	fleet := m.Fleet()
	report := m.report(fleet)
	for _, p := range m.packets(fleet, report) {
		data, err := cbor.Marshal(&p.packet)
		if err != nil {
			m.Log.Error("Report cannot be encoded.", "error", err)
			return
		}
		if _, err := conn.WriteToUDP(data, p.to); err != nil {
			m.Log.Debug("Report was not sent.", "to", p.to, "error", err)
		}
	}
}

// addressed is a packet and where it goes.
type addressed struct {
	to     *net.UDPAddr
	packet Packet
}

// packets returns what a round sends.
func (m *Mesh) packets(fleet *chivefleet.Fleet, report *Report) []addressed {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follow(fleet.Entries)
	report.Leaving = m.leaving
	list := m.reports(report)
	if m.speaks() {
		list = append(list, m.digests(fleet.Entries, report)...)
		list = append(list, m.forwards()...)
	}
	return list
}

// report returns what this entry VM reports.
func (m *Mesh) report(fleet *chivefleet.Fleet) *Report {
	r := &Report{
		Stamp: Stamp{From: m.Self.Name, Boot: m.Self.Boot}, Seen: Seen{Duty: m.Duty(), Answered: m.Answered()},
		Marks: m.Marks(), Load: m.Load(), Slow: m.Slow(),
	}
	if fleet.Config != nil {
		r.Version, r.Age = fleet.Config.Version, m.Clock.Since(fleet.Confirmed)
	}
	return r
}

// receive takes datagrams in.
func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxPacket)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Reports cannot be read.", "error", err)
				time.Sleep(basePeriod)
			}
			continue
		}
		p, err := decode(buffer[:n])
		if err != nil {
			m.Log.Warn("Report is malformed.", "error", err)
			continue
		}
		m.handle(p)
	}
}

// handle takes a message over and hands its load on.
func (m *Mesh) handle(p *Packet) {
	switch {
	case p.Report != nil && m.take(p.Report):
		m.Heard(p.Report.From, p.Report.Load, p.Report.Slow)
	case p.Digest != nil && m.takeDigest(p.Digest):
		m.Heard(zoneSource+p.Digest.Zone, p.Digest.Load, p.Digest.Slow)
	}
}

// zoneSource begins the names of zones as sources of load.
const zoneSource = "zone/"
