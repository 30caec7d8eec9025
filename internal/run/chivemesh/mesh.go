package chivemesh

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// Error is the class of errors of this package.
var Error = errs.Class("mesh")

const (
	// basePeriod is the time between two reports in a small fleet.
	basePeriod = 250 * time.Millisecond
	// periodPerEntry lengthens the period in a large fleet, so that an entry VM
	// sends and receives at most about sixty reports a second.
	periodPerEntry = 16 * time.Millisecond
	// missed is the number of periods without a report after which a peer counts
	// as gone, and least the shortest such time.
	missed = 4
	least  = 1200 * time.Millisecond
	// maxReport is the largest datagram, in bytes.
	maxReport = 16 << 10
)

// A Peer is what is known of another entry VM.
type Peer struct {
	Entry   chivefleet.Entry
	Leaving bool
	// Duty says that it holds the duty to balance expert maps.
	Duty    bool
	Version int64
	// Confirmed is a moment of the local clock at which the peer's configuration
	// was the newest; 0 where none is known.
	Confirmed chiveboot.Moment
	// Heard is when the last report arrived.
	Heard chiveboot.Moment
	// Boot is the incarnation of its process.
	Boot uint64

	sent   chiveboot.Moment
	alive  bool
	remote *net.UDPAddr
}

// A Mesh exchanges reports with all other entry VMs.
type Mesh struct {
	Self chivefleet.Entry
	// Fleet returns the newest view of the fleet.
	Fleet func() *chivefleet.Fleet
	// Busy returns the number of requests at each runner.
	Busy func() map[string]int
	// Duty reports whether this entry VM holds the duty to balance expert maps.
	Duty func() bool
	// Slow returns the paces of slow runners that this entry VM found itself.
	Slow func() map[string]float64
	// Heard takes each report of a peer.
	Heard func(r *Report)
	Log   *log.Logger

	mu      sync.Mutex
	peers   map[string]*Peer
	leaving bool
}

// Leave tells the others that this entry VM takes no new callers.
func (m *Mesh) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Peers returns the entry VMs that are alive, but for this one.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Peer
	for _, p := range m.peers {
		if p.alive {
			list = append(list, *p)
		}
	}
	return list
}

// Confirmed returns the newest moment at which a peer that is alive knew a version
// of the configuration to be the newest; 0 where none does.
func (m *Mesh) Confirmed(version int64) chiveboot.Moment {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest chiveboot.Moment
	for _, p := range m.peers {
		if p.alive && p.Version == version {
			newest = max(newest, p.Confirmed)
		}
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
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			m.round(conn)
			timer.Reset(m.period())
		}
	}
}

// period returns the time between two rounds of reports.
func (m *Mesh) period() time.Duration {
	// Others must notice soon when the holder of the duty has gone.
	if m.Duty() {
		return basePeriod
	}
	return m.Period()
}

// Period returns the time between two reports of most entry VMs.
func (m *Mesh) Period() time.Duration {
	return max(basePeriod, time.Duration(len(m.Fleet().Entries))*periodPerEntry)
}

// round reports to every peer.
func (m *Mesh) round(conn *net.UDPConn) {
	report := m.report()
	m.update()
	m.mu.Lock()
	targets := make([]*Peer, 0, len(m.peers))
	for _, p := range m.peers {
		c := *p
		targets = append(targets, &c)
	}
	m.mu.Unlock()
	for _, p := range targets {
		report.Sent = chiveboot.Now()
		report.Echo, report.Kept = p.sent, 0
		if p.sent != 0 {
			report.Kept = report.Sent.Sub(p.Heard)
		}
		data, err := cbor.Marshal(&report)
		if err != nil {
			m.Log.Error("Report cannot be encoded.", "error", err)
			return
		}
		if _, err := conn.WriteToUDP(data, p.remote); err != nil {
			m.Log.Debug("Report was not sent.", "peer", p.Entry.Name, "error", err)
		}
	}
}

// report returns what this entry VM reports to all others.
func (m *Mesh) report() Report {
	fleet := m.Fleet()
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	r := Report{From: m.Self.Name, Boot: m.Self.Boot, Leaving: leaving, Busy: m.Busy(), Duty: m.Duty(), Slow: m.Slow()}
	if fleet.Config != nil {
		r.Version, r.Age = fleet.Config.Version, chiveboot.Since(fleet.Confirmed)
	}
	return r
}

// update follows the registered entry VMs, and notes which have gone silent.
func (m *Mesh) update() {
	entries := m.Fleet().Entries
	now := chiveboot.Now()
	limit := max(least, missed*m.Period())
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = map[string]*Peer{}
	}
	for name, e := range entries {
		p := m.peers[name]
		if name == m.Self.Name || p != nil && p.Entry == e {
			continue
		}
		remote, err := net.ResolveUDPAddr("udp4", e.Mesh)
		if err != nil {
			m.Log.Warn("Entry has no usable address.", "peer", name, "error", err)
			continue
		}
		if p == nil {
			p = &Peer{}
			m.peers[name] = p
		}
		p.Entry, p.remote = e, remote
	}
	for name, p := range m.peers {
		if _, ok := entries[name]; !ok {
			delete(m.peers, name)
			continue
		}
		silent := limit
		if p.Duty {
			silent = least
		}
		if p.alive && now.Sub(p.Heard) > silent {
			p.alive = false
			m.Log.Warn("Peer is silent.", "peer", name, "for", now.Sub(p.Heard))
		}
	}
}

// receive takes reports in.
func (m *Mesh) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxReport)
	for ctx.Err() == nil {
		n, _, err := conn.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				m.Log.Warn("Reports cannot be read.", "error", err)
				time.Sleep(basePeriod)
			}
			continue
		}
		r, err := decode(buffer[:n])
		if err != nil {
			m.Log.Warn("Report is malformed.", "error", err)
			continue
		}
		if m.take(r) && m.Heard != nil {
			m.Heard(r)
		}
	}
}

// take notes a report. It returns false for one that is out of order or comes
// from nobody known.
func (m *Mesh) take(r *Report) bool {
	now := chiveboot.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[r.From]
	if p == nil || r.Boot == p.Boot && r.Sent <= p.sent {
		return false
	}
	if !p.alive {
		m.Log.Info("Peer reports.", "peer", r.From, "boot", r.Boot)
	}
	if r.Boot != p.Boot {
		p.Confirmed = 0
	}
	p.Boot, p.sent, p.Heard, p.alive = r.Boot, r.Sent, now, true
	p.Leaving, p.Duty = r.Leaving, r.Duty
	// The echoed report was sent before the peer answered, so that the peer's
	// confirmation is at least as new as this moment of the local clock, however
	// long the datagrams took.
	if confirmed := r.Echo.Add(r.Kept - r.Age); r.Echo != 0 && r.Version > 0 && (r.Version != p.Version || confirmed > p.Confirmed) {
		p.Confirmed = confirmed
	}
	p.Version = r.Version
	return true
}
