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
	// minReportPeriod is the time between two reports in a small zone.
	minReportPeriod = 250 * time.Millisecond
	// reportPeriodPerPeer lengthens the period in a large zone, so that an entry VM
	// sends and receives at most about sixty reports a second.
	reportPeriodPerPeer = 16 * time.Millisecond
	// minRoundGap is the least time between two rounds of reports.
	minRoundGap = 50 * time.Millisecond
	// missedReportLimit is the number of periods without a report after which a peer counts
	// as gone, and least the shortest such time.
	missedReportLimit = 4
	minPeerTimeout    = 1200 * time.Millisecond
	// dutyHolderTimeout is that time for the holder of the map duty: two reports and some
	// more. A group may stand still while its holder does, and one that is only
	// late loses nothing but the duty.
	dutyHolderTimeout = 700 * time.Millisecond
	// startupListenTime is how long an entry VM listens to its zone before it speaks for it:
	// two reports of each neighbour and some more.
	startupListenTime = 600 * time.Millisecond
	// maxDigestAge is how long a zone's last digest counts: a speaker that has gone
	// is missed after least, and the next one reports at once.
	maxDigestAge = 2500 * time.Millisecond
	// maxDatagramSize is the largest datagram, in bytes.
	maxDatagramSize = 32 << 10
)

// A Peer is what is known of another entry VM.
type Peer struct {
	Entry chivefleet.Entry
	// Boot is the incarnation of its process.
	Boot    uint64
	Leaving bool
	// HoldsMapDuty says that it holds the duty to balance expert maps.
	HoldsMapDuty bool
	// StoreAnsweredAt is when the store last answered it, as far as its reports came
	// without delay; 0 where it did not.
	StoreAnsweredAt chiveclock.Moment
	// ConfigConfirmedAt is when its configuration was the newest, as far as its reports
	// came without delay; 0 where it has none.
	ConfigConfirmedAt chiveclock.Moment
	// Revisions tell how new its copies of the store's tables are. They are known of
	// peers in the same zone only.
	Revisions map[string]chivehub.Revision
}

// setStatus takes over what a message that was made at a moment says.
func (p *Peer) setStatus(boot uint64, s Status, made chiveclock.Moment) {
	p.Boot, p.Leaving, p.HoldsMapDuty, p.StoreAnsweredAt = boot, s.Leaving, s.HoldsMapDuty, 0
	if s.SinceStoreAnswer >= 0 {
		p.StoreAnsweredAt = made.Add(-s.SinceStoreAnswer)
	}
}

// setConfigConfirmed takes over how new its configuration is.
func (p *Peer) setConfigConfirmed(s *Header, made chiveclock.Moment) {
	p.ConfigConfirmedAt = 0
	if s.ConfigVersion > 0 {
		p.ConfigConfirmedAt = made.Add(-s.ConfigAge)
	}
}

// A Mesh exchanges reports with all other entry VMs.
type Mesh struct {
	Self chivefleet.Entry
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// SinceStoreAnswer returns how long ago the store last answered this entry VM; negative
	// where it did not.
	SinceStoreAnswer func() time.Duration
	// Revisions returns how new the copies of the store's tables are.
	Revisions func() map[string]chivehub.Revision
	// Load returns what this entry VM has at runners and has served.
	Load func() Load
	// HoldsMapDuty reports whether this entry VM holds the duty to balance expert maps.
	HoldsMapDuty func() bool
	// SlowRunners returns the paces of slow runners that this entry VM found itself.
	SlowRunners func() map[string]float64
	// OnReport takes the load and the slow runners that a peer or a zone reports.
	OnReport func(source string, load Load, slow map[string]float64)
	// Clock is the VM's.
	Clock chiveclock.Clock
	Log   *log.Logger

	mu          sync.Mutex
	neighbours  map[string]*neighbour
	remoteZones map[string]*remoteZone
	leaving     bool
	sendNow     chan struct{}
	// peersKnownAt is when the other entry VMs were first known.
	peersKnownAt chiveclock.Moment
}

// Leave tells the others that this entry VM takes no new callers.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.SendNow()
}

// SendNow has the next reports sent at once.
func (m *Mesh) SendNow() {
	select {
	case m.sendNowChannel() <- struct{}{}:
	default:
	}
}

func (m *Mesh) sendNowChannel() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sendNow == nil {
		m.sendNow = make(chan struct{}, 1)
	}
	return m.sendNow
}

// Peers returns the entry VMs that are alive, but for this one.
func (m *Mesh) Peers() []Peer {
	entries := m.Fleet().Entries
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Peer
	for _, n := range m.neighbours {
		if n.alive {
			list = append(list, n.Peer)
		}
	}
	for name, z := range m.remoteZones {
		list = append(list, z.peers(name, entries, now)...)
	}
	return list
}

// ConfigConfirmedAt returns the newest moment at which a peer knew a version of the
// configuration to be the newest; 0 where none does.
func (m *Mesh) ConfigConfirmedAt(version int64) chiveclock.Moment {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest chiveclock.Moment
	for _, n := range m.neighbours {
		if n.alive {
			newest = max(newest, n.sender.confirmation(version))
		}
	}
	for _, z := range m.remoteZones {
		newest = max(newest, z.sender.confirmation(version))
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
	hurry := m.sendNowChannel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hurry:
		case <-timer.C:
		}
		m.sendRound(conn)
		timer.Reset(m.reportPeriod())
		if chiveclock.Sleep(ctx, minRoundGap) != nil {
			return nil
		}
	}
}

// reportPeriod returns the time between two rounds of reports. Others must notice soon
// when the holder of the map duty has gone.
func (m *Mesh) reportPeriod() time.Duration {
	if m.HoldsMapDuty() {
		return minReportPeriod
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return reportPeriodFor(len(m.neighbours))
}

// reportPeriodFor returns the time between two rounds in a zone with so many neighbours.
func reportPeriodFor(neighbours int) time.Duration {
	return max(minReportPeriod, time.Duration(neighbours)*reportPeriodPerPeer)
}

// sendRound reports to the zone and, where this entry VM speaks for it, to others.
func (m *Mesh) sendRound(conn *net.UDPConn) {
	// The view asks the mesh for lent confirmations.
	fleet := m.Fleet()
	report := m.buildReport(fleet)
	for _, p := range m.roundPackets(fleet, report) {
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

// outgoingPacket is a packet and where it goes.
type outgoingPacket struct {
	to     *net.UDPAddr
	packet Packet
}

// roundPackets returns what a round sends.
func (m *Mesh) roundPackets(fleet *chivefleet.Fleet, report *Report) []outgoingPacket {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateNeighbours(fleet.Entries)
	report.Leaving = m.leaving
	list := m.reportPackets(report)
	if m.isAggregator() {
		list = append(list, m.digestPackets(fleet.Entries, report)...)
		list = append(list, m.relayPackets()...)
	}
	return list
}

// buildReport returns what this entry VM reports.
func (m *Mesh) buildReport(fleet *chivefleet.Fleet) *Report {
	r := &Report{
		Header: Header{From: m.Self.Name, Boot: m.Self.Boot}, Status: Status{HoldsMapDuty: m.HoldsMapDuty(), SinceStoreAnswer: m.SinceStoreAnswer()},
		Revisions: m.Revisions(), Load: m.Load(), SlowRunners: m.SlowRunners(),
	}
	if fleet.Config != nil {
		r.ConfigVersion, r.ConfigAge = fleet.Config.Version, m.Clock.Since(fleet.Confirmed)
	}
	return r
}

// receive takes datagrams in.
func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Reports cannot be read.", "error", err)
				time.Sleep(minReportPeriod)
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
	case p.Report != nil && m.acceptReport(p.Report):
		m.OnReport(p.Report.From, p.Report.Load, p.Report.SlowRunners)
	case p.Digest != nil && m.acceptDigest(p.Digest):
		m.OnReport(zoneSourcePrefix+p.Digest.Zone, p.Digest.Load, p.Digest.SlowRunners)
	}
}

// zoneSourcePrefix begins the names of zones as sources of load.
const zoneSourcePrefix = "zone/"
