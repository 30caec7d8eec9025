package chivemesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

// Error is the class of errors of this package.
var Error = errs.Class("mesh")

const (
	// minReportPeriod is the time between two rounds of reports in a small zone. The
	// holder of the map duty always uses it.
	minReportPeriod = 250 * time.Millisecond
	// reportPeriodPerPeer is the report period per neighbour in a large zone. It
	// limits an entry VM to sending and receiving about sixty reports a second.
	reportPeriodPerPeer = 16 * time.Millisecond
	// minRoundGap is the minimum time between two rounds, also with SendNow.
	minRoundGap = 50 * time.Millisecond
	// missedReportLimit is the number of report periods without a report after which
	// a neighbour is considered unavailable, but not before minPeerTimeout.
	missedReportLimit = 4
	minPeerTimeout    = 1200 * time.Millisecond
	// dutyHolderTimeout is the timeout of the holder of the map duty: two report
	// periods and a margin. It is short because a group may be paused while the
	// holder is unavailable. A holder that is merely late loses only the duty.
	dutyHolderTimeout = 700 * time.Millisecond
	// startupListenTime is how long a new entry VM listens to its zone before it may
	// become the aggregator: two reports of each neighbour in a small zone, and a
	// margin.
	startupListenTime = 600 * time.Millisecond
	// maxDigestAge is how long the last digest of a zone is valid. It covers a change
	// of the aggregator: a failed one is detected after minPeerTimeout, and the next
	// one sends a digest at once.
	maxDigestAge = 2500 * time.Millisecond
	// maxDatagramSize is the maximum size of a datagram in bytes.
	maxDatagramSize = 32 << 10
)

// Peer holds the last reported state of another entry VM.
type Peer struct {
	Entry chivefleet.Entry
	// Boot identifies the incarnation of its process.
	Boot uint64
	// Leaving is set when it accepts no new callers.
	Leaving bool
	// HoldsMapDuty is set while it holds the duty to balance expert maps.
	HoldsMapDuty bool
	// StoreAnsweredAt is when the store last answered it, or 0 if the store does not
	// answer it. The value may be too late by the network delay of the message.
	StoreAnsweredAt chiveclock.Moment
	// ConfigConfirmedAt is when its configuration was last known to be the newest, or
	// 0 if it has none. It may be too late by the network delay.
	ConfigConfirmedAt chiveclock.Moment
	// Revisions holds the revisions of its replicas of the store's tables, by table.
	// It is set for peers of the same zone only.
	Revisions map[string]chivehub.Revision
}

// setStatus sets the state of the peer from a message that was created at createdAt.
func (p *Peer) setStatus(boot uint64, s Status, createdAt chiveclock.Moment) {
	p.Boot, p.Leaving, p.HoldsMapDuty, p.StoreAnsweredAt = boot, s.Leaving, s.HoldsMapDuty, 0
	if s.SinceStoreAnswer >= 0 {
		p.StoreAnsweredAt = createdAt.Add(-s.SinceStoreAnswer)
	}
}

// setConfigConfirmed sets ConfigConfirmedAt from the header of a message that was
// created at createdAt.
func (p *Peer) setConfigConfirmed(h *Header, createdAt chiveclock.Moment) {
	p.ConfigConfirmedAt = 0
	if h.ConfigVersion > 0 {
		p.ConfigConfirmedAt = createdAt.Add(-h.ConfigAge)
	}
}

// Mesh exchanges reports with all other entry VMs.
type Mesh struct {
	// Self is the registration of this entry VM. Run listens on its Mesh address.
	Self chivefleet.Entry
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// SinceStoreAnswer returns the time since the store last answered this entry VM,
	// or a negative value if it does not answer.
	SinceStoreAnswer func() time.Duration
	// Revisions returns the revisions of the local replicas of the store's tables.
	Revisions func() map[string]chivehub.Revision
	// Load returns the load that this entry VM puts on runners.
	Load func() Load
	// HoldsMapDuty reports whether this entry VM holds the duty to balance expert maps.
	HoldsMapDuty func() bool
	// SlowRunners returns the slowdown, by runner ID, of the slow runners that this
	// entry VM detected.
	SlowRunners func() map[string]float64
	// OnReport is called with the load and the slow runners in each accepted report
	// or digest. The source is the name of a peer, or "zone/" and the name of a zone.
	OnReport func(source string, load Load, slow map[string]float64)
	// Facts returns what this entry VM has learned. OnFacts is called with the facts of
	// each accepted report or digest and the known part of its delay. Both may be nil.
	Facts   func() Facts
	OnFacts func(facts Facts, delay time.Duration)
	// Retries connects it with the retry budgets.
	Retries RetryMemory
	// Clock is the clock of the VM.
	Clock chiveclock.Clock
	Log   *log.Logger

	mu          sync.Mutex
	neighbours  map[string]*neighbour
	remoteZones map[string]*remoteZone
	leaving     bool
	wake        chan struct{}
	// newestConfig is the latest version of the configuration that a peer has told.
	newestConfig int64
	// peersKnownAt is when the fleet first contained entry VMs, or 0.
	peersKnownAt chiveclock.Moment
	conn         *net.UDPConn
	// holder watches the holder of the map duty while this entry VM is its successor.
	holder holderWatch
	// pulsing is set while this entry VM sends pulses to its successors, the last at
	// lastPulseAt.
	pulsing     bool
	successors  []Peer
	lastPulseAt chiveclock.Moment
}

// Leave tells the peers that this entry VM accepts no new callers.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.SendNow()
}

// SendNow starts the next round of reports as soon as minRoundGap allows.
func (m *Mesh) SendNow() {
	select {
	case m.wakeChannel() <- struct{}{}:
	default:
	}
}

func (m *Mesh) wakeChannel() chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}

// Peers returns the other entry VMs that are alive, in all zones.
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

// ConfigConfirmedAt returns the latest moment at which a peer knew the given version
// of the configuration to be the newest, or 0 if no peer did. It is never later than
// the true moment, regardless of network delays.
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

// NewestConfigVersion returns the latest version of the configuration that a peer has told, or 0 if
// none has told any.
func (m *Mesh) NewestConfigVersion() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.newestConfig
}

// Run sends and receives reports until the context is canceled. It returns an error
// if it cannot listen on the mesh address.
func (m *Mesh) Run(ctx context.Context) error {
	addr, err := net.ResolveUDPAddr("udp4", m.Self.MeshAddr)
	if err != nil {
		return Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	m.mu.Lock()
	m.conn = conn
	m.mu.Unlock()
	go m.receive(ctx, conn)
	wake := m.wakeChannel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-timer.C:
		}
		chiveguard.Do(m.Log, "round of reports", func() { m.sendRound(conn) })
		timer.Reset(m.reportPeriod())
		if chiveclock.Sleep(ctx, minRoundGap) != nil {
			return nil
		}
	}
}

// reportPeriod returns the time between two rounds of reports. It is short for the
// holder of the map duty, whose failure the peers must detect quickly.
func (m *Mesh) reportPeriod() time.Duration {
	if m.HoldsMapDuty() {
		return minReportPeriod
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return reportPeriodFor(len(m.neighbours))
}

// reportPeriodFor returns the time between two rounds for a number of neighbours.
func reportPeriodFor(neighbours int) time.Duration {
	return max(minReportPeriod, time.Duration(neighbours)*reportPeriodPerPeer)
}

// sendRound sends the packets of one round.
func (m *Mesh) sendRound(conn *net.UDPConn) {
	// Fleet calls ConfigConfirmedAt, which locks m.mu, so it is called before the
	// packets are made under that lock.
	fleet := m.Fleet()
	report := m.buildReport(fleet)
	for _, p := range m.roundPackets(fleet, report) {
		data, err := encode(&p.packet)
		if err != nil {
			m.Log.Error("Packet cannot be encoded.", "error", err)
			return
		}
		if _, err := conn.WriteToUDP(data, p.to); err != nil {
			m.Log.Debug("Packet was not sent.", "to", p.to, "error", err)
		}
	}
}

// outgoingPacket is a packet and its destination.
type outgoingPacket struct {
	to     *net.UDPAddr
	packet Packet
}

// roundPackets returns the packets of one round: the report to the neighbours and, if
// this entry VM is the aggregator, its digest to the other zones and their digests to
// the neighbours.
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

// buildReport returns the report of this entry VM, without Leaving and the parts of
// the header that depend on the receiver.
func (m *Mesh) buildReport(fleet *chivefleet.Fleet) *Report {
	r := &Report{
		Header: Header{From: m.Self.Name, Boot: m.Self.Boot}, Status: Status{HoldsMapDuty: m.HoldsMapDuty(), SinceStoreAnswer: m.SinceStoreAnswer()},
		Revisions: m.Revisions(), Load: m.Load(), SlowRunners: m.SlowRunners(),
	}
	if m.Facts != nil {
		r.Facts = m.Facts()
	}
	if m.Retries.Use != nil {
		r.Retries = m.Retries.Use()
	}
	if fleet.Config != nil {
		r.ConfigVersion, r.configConfirmedAt = fleet.Config.Version, fleet.ConfigConfirmedAt
	}
	return r
}

// receive reads and handles datagrams until the context is canceled.
func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Datagram cannot be read.", "error", err)
				time.Sleep(minReportPeriod)
			}
			continue
		}
		chiveguard.Do(m.Log, "datagram", func() { m.handleDatagram(buffer[:n]) })
	}
}

// handleDatagram decodes and handles a datagram.
func (m *Mesh) handleDatagram(data []byte) {
	p, err := decode(data)
	if err != nil {
		m.Log.Warn("Datagram is malformed.", "error", err)
		return
	}
	m.handle(p)
}

// handle applies a packet and calls OnReport if it was accepted.
func (m *Mesh) handle(p *Packet) {
	switch {
	case p.Pulse != nil:
		m.acceptPulse(p.Pulse)
	case p.Report != nil && m.acceptReport(p.Report):
		m.OnReport(p.Report.From, p.Report.Load, p.Report.SlowRunners)
		m.passFacts(p.Report.Facts, 0)
		if p.Report.Former != nil && m.Retries.OnFormer != nil {
			m.Retries.OnFormer(p.Report.Former)
		}
	case p.Digest != nil && m.acceptDigest(p.Digest):
		m.OnReport(zoneSourcePrefix+p.Digest.Zone, p.Digest.Load, p.Digest.SlowRunners)
		m.passFacts(p.Digest.Facts, p.Digest.RelayDelay)
	}
}

// passFacts calls OnFacts.
func (m *Mesh) passFacts(f Facts, delay time.Duration) {
	if m.OnFacts != nil {
		m.OnFacts(f, delay)
	}
}

// zoneSourcePrefix precedes the name of a zone in the source passed to OnReport.
const zoneSourcePrefix = "zone/"
