// Package chivesync implements the spread of the configuration and of
// departures between processes.
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

// A Syncer holds the configuration of one process. Its version only grows.
type Syncer struct {
	// Node is this process.
	Node chivelink.Node
	// Ring records the versions taken.
	Ring *chivetime.Ring

	config   atomic.Pointer[chiveconf.Config]
	lastSync atomic.Int64

	mu         sync.Mutex
	changed    chan struct{}
	departures map[string]departure
	alerts     map[string]alert
	// syncedGateways holds the gateways whose configuration was taken in.
	syncedGateways map[string]bool
}

// departure is a gateway that is going to stop, until the time it is forgotten.
type departure struct {
	boot      uint64
	expiresAt time.Time
}

// NewSyncer returns a new Spreader without a configuration.
func NewSyncer(node chivelink.Node, ring *chivetime.Ring) *Syncer {
	return &Syncer{Node: node, Ring: ring, changed: make(chan struct{}), departures: map[string]departure{}, alerts: map[string]alert{}, syncedGateways: map[string]bool{}}
}

// Config returns the configuration in force here, or nil before the first.
func (s *Syncer) Config() *chiveconf.Config {
	return s.config.Load()
}

// Version returns the version in force here, 0 before the first.
func (s *Syncer) Version() uint64 {
	if c := s.Config(); c != nil {
		return c.Head.Version
	}
	return 0
}

// Digest returns the digest of the sheet held here.
func (s *Syncer) Digest() string {
	if c := s.Config(); c != nil {
		return c.Head.Digest
	}
	return ""
}

// Changed returns a channel that is closed at the next change of the
// configuration or of the departures.
func (s *Syncer) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SyncedGateways returns the number of gateways whose configuration was taken in.
func (s *Syncer) SyncedGateways() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.syncedGateways)
}

// markSynced notes that nothing newer is known to a gateway than to this process.
func (s *Syncer) markSynced(n chivelink.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Role != chivelink.RoleGateway || s.syncedGateways[n.Name] {
		return
	}
	s.syncedGateways[n.Name] = true
	s.notifyChanged()
}

// SetLastSync notes that a gateway was heard at a time.
func (s *Syncer) SetLastSync(t time.Time) {
	s.lastSync.Store(t.UnixNano())
}

// LastSync returns the time of the last sync from a gateway.
func (s *Syncer) LastSync() time.Time {
	return time.Unix(0, s.lastSync.Load())
}

// Apply puts a newer head in force. Raw is the sheet that it names; it may be
// nil where that sheet is held already. An older or equal head changes nothing.
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

func buildConfig(old *chiveconf.Config, head *chiveconf.Head, raw []byte) (*chiveconf.Config, error) {
	if old != nil && old.Head.Digest == head.Digest {
		return old.WithHead(head), head.Check()
	}
	if raw == nil {
		return nil, Error.New("sheet %s is not known yet", head.Digest)
	}
	return chiveconf.NewConfig(head, raw)
}

// notifyChanged wakes those that wait for a change. The caller holds the lock.
func (s *Syncer) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// AddDeparture notes that a gateway is going to stop.
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

// removeOldDeparture forgets the departure of an earlier incarnation of a node.
func (s *Syncer) removeOldDeparture(n chivelink.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d, ok := s.departures[n.Name]; ok && d.boot != n.Boot {
		delete(s.departures, n.Name)
		s.notifyChanged()
	}
}

// Departures returns the gateways that are going to stop.
func (s *Syncer) Departures() []chivelink.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []chivelink.Departure
	for name, d := range s.departures {
		left := time.Until(d.expiresAt)
		if left <= 0 {
			delete(s.departures, name)
			continue
		}
		list = append(list, chivelink.Departure{Name: name, Boot: d.boot, TTL: left})
	}
	return list
}

// buildSync returns the sync for a peer of that version and sheet. Heads travel
// without their log, which only those that change the configuration need; they
// read it from the store.
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
	bare := c.Head
	bare.Log = nil
	head, err := cbor.Marshal(&bare)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m.Head = head
	if peer.SheetDigest != c.Head.Digest {
		m.Sheet = c.RawSheet
	}
	return m, nil
}

// handleSync takes what a peer said.
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

// applyHead takes the head that a peer sent, if any.
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
