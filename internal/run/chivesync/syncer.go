// Package chivesync keeps the configuration of all gateways and agents in sync, and
// tells them which gateways are about to stop and which groups have held ranks.
package chivesync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Error is the class of errors of this package.
var Error = errs.Class("sync")

// Syncer holds the configuration in force in one process, and the departures and
// alerts that it knows, and exchanges them with other processes. The configuration's
// version never decreases. A Syncer is safe for concurrent use.
type Syncer struct {
	// Node is this process.
	Node chivelink.Node
	// Ring records the versions put in force, departures and alerts.
	Ring *chivetime.Ring

	config atomic.Pointer[chiveconf.Config]
	// lastSync is the time of the last sync from a gateway, in Unix nanoseconds.
	lastSync atomic.Int64

	mu         sync.Mutex
	changed    chan struct{}
	departures map[string]departure
	alerts     map[string]alert
	// syncedGateways holds the names of the gateways whose configuration was at some
	// time no newer than the one in force here.
	syncedGateways map[string]bool
}

// departure records that an incarnation of a gateway is about to stop.
type departure struct {
	boot      uint64
	expiresAt time.Time
}

// NewSyncer returns a Syncer of a process without a configuration.
func NewSyncer(node chivelink.Node, ring *chivetime.Ring) *Syncer {
	return &Syncer{Node: node, Ring: ring, changed: make(chan struct{}), departures: map[string]departure{}, alerts: map[string]alert{}, syncedGateways: map[string]bool{}}
}

// Config returns the configuration in force, or nil before the first.
func (s *Syncer) Config() *chiveconf.Config {
	return s.config.Load()
}

// Version returns the version of the configuration in force, or 0 before the first.
func (s *Syncer) Version() uint64 {
	if c := s.Config(); c != nil {
		return c.Head.Version
	}
	return 0
}

// Digest returns the digest of the sheet in force, or "" before the first.
func (s *Syncer) Digest() string {
	if c := s.Config(); c != nil {
		return c.Head.Digest
	}
	return ""
}

// Changed returns a channel that is closed at the next change of the
// configuration, the departures, the alerts or the synced gateways.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SyncedGateways returns the number of gateways that this process has caught up
// with at some time: their configuration was no newer than the one in force here.
func (s *Syncer) SyncedGateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.syncedGateways)
}

// markSynced records that the configuration of n, if it is a gateway, is no newer
// than the one in force here.
func (s *Syncer) markSynced(n chivelink.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Role != chivelink.RoleGateway || s.syncedGateways[n.Name] {
		return
	}
	s.syncedGateways[n.Name] = true
	s.notifyChanged()
}

// SetLastSync records that a sync from a gateway was received at t.
func (s *Syncer) SetLastSync(t time.Time) {
	s.lastSync.Store(t.UnixNano())
}

// LastSync returns the time of the last sync from a gateway, or the Unix epoch
// before the first.
func (s *Syncer) LastSync() time.Time {
	return time.Unix(0, s.lastSync.Load())
}

// Apply puts the head in force if its version is newer. Raw is the sheet with the
// head's digest; it may be nil if that sheet is already in force. From names the
// source for the ring. Apply returns an error if the sheet is missing or invalid.
func (s *Syncer) Apply(head *chiveconf.Head, raw []byte, from string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.Config()
	if old != nil && head.Version <= old.Head.Version {
		return nil
	}
	next, err := buildConfig(old, head, raw)
	if err != nil {
		return err
	}
	s.config.Store(next)
	s.Ring.Add("config", "version "+formatVersion(head.Version), "In force, from %s.", from)
	s.notifyChanged()
	return nil
}

// buildConfig returns the configuration of a head, with the sheet of old if it has
// the head's digest.
func buildConfig(old *chiveconf.Config, head *chiveconf.Head, raw []byte) (*chiveconf.Config, error) {
	if old != nil && old.Head.Digest == head.Digest {
		return old.WithHead(head), head.Check()
	}
	if raw == nil {
		return nil, Error.New("sheet %s is missing: it is neither in force nor sent with its head", head.Digest)
	}
	return chiveconf.NewConfig(head, raw)
}

// notifyChanged closes the channel that Changed returned. The caller holds mu.
func (s *Syncer) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// AddDeparture records that a gateway is about to stop. It ignores a departure that
// is known for the same incarnation.
func (s *Syncer) AddDeparture(d chivelink.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.departures[d.Name]
	if ok && known.boot == d.Boot {
		return
	}
	s.departures[d.Name] = departure{boot: d.Boot, expiresAt: time.Now().Add(d.TTL)}
	s.Ring.Add("leave", d.Name, "Gateway is leaving.")
	s.notifyChanged()
}

// removeOldDeparture removes the departure of an earlier incarnation of n.
func (s *Syncer) removeOldDeparture(n chivelink.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.departures[n.Name]; ok && d.boot != n.Boot {
		delete(s.departures, n.Name)
		s.notifyChanged()
	}
}

// Departures returns the departures that have not expired, in no particular order.
func (s *Syncer) Departures() []chivelink.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []chivelink.Departure
	for name, d := range s.departures {
		ttl := time.Until(d.expiresAt)
		if ttl <= 0 {
			delete(s.departures, name)
			continue
		}
		list = append(list, chivelink.Departure{Name: name, Boot: d.boot, TTL: ttl})
	}
	return list
}

// buildSync returns the sync for a peer with the given version and sheet digest. It
// contains the head if the peer's version is older, and the sheet if the peer has
// another one. The head is sent without its log: only processes that change the
// configuration need the log, and they read it from the store.
func (s *Syncer) buildSync(peer chivelink.Sync) (*chivelink.Sync, error) {
	m := &chivelink.Sync{Node: s.Node, Stamp: s.Ring.Clock.Now(), Departures: s.Departures(), Alerts: s.Alerts()}
	c := s.Config()
	if c == nil {
		return m, nil
	}
	m.ConfigVersion, m.SheetDigest = c.Head.Version, c.Head.Digest
	if peer.ConfigVersion >= c.Head.Version {
		return m, nil
	}
	head := c.Head
	head.Log = nil
	encoded, err := cbor.Marshal(&head)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m.Head = encoded
	if peer.SheetDigest != c.Head.Digest {
		m.Sheet = c.RawSheet
	}
	return m, nil
}

// handleSync applies the clock stamp, departures, alerts and configuration of a
// peer's sync. It returns an error if the head is malformed or its sheet is missing.
func (s *Syncer) handleSync(m *chivelink.Sync) error {
	if m.Node.Role == chivelink.RoleGateway {
		s.SetLastSync(time.Now())
	}
	s.Ring.Clock.Observe(m.Stamp)
	s.removeOldDeparture(m.Node)
	for _, d := range m.Departures {
		s.AddDeparture(d)
	}
	for _, a := range m.Alerts {
		s.AddAlert(a)
	}
	if err := s.applyHead(m); err != nil {
		return err
	}
	if m.ConfigVersion > 0 && m.ConfigVersion <= s.Version() {
		s.markSynced(m.Node)
	}
	return nil
}

// applyHead applies the head of a sync, if it has one.
func (s *Syncer) applyHead(m *chivelink.Sync) error {
	if m.Head == nil {
		return nil
	}
	head := &chiveconf.Head{}
	if err := cbor.Unmarshal(m.Head, head); err != nil {
		return Error.Wrap(err)
	}
	if err := head.Check(); err != nil {
		return Error.Wrap(err)
	}
	return s.Apply(head, m.Sheet, m.Node.Name)
}
