package chivesync

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

const (
	// agentSyncPeriod is the time between two syncs that an agent opened: it must
	// know that its configuration is fresh.
	agentSyncPeriod = time.Second
	// gatewaySyncPeriod is that between gateways, which hear of changes at once and
	// read the store besides.
	gatewaySyncPeriod = 2 * time.Second
	// maxSilentPeriods is the number of periods without a sync after which a stream
	// is given up. It is less than agents need to take their configuration for
	// stale, so that they have time to link to another gateway.
	maxSilentPeriods = 2.5
)

// syncPeriod returns the time between syncs on a stream that was opened by a process
// of that role.
func syncPeriod(opener chivelink.Role) time.Duration {
	if opener == chivelink.RoleAgent {
		return agentSyncPeriod
	}
	return gatewaySyncPeriod
}

// OpeningSync returns the sync that opens a stream.
func (s *Syncer) OpeningSync() (*chivelink.Sync, error) {
	return s.buildSync(chivelink.Sync{ConfigVersion: s.Version()})
}

// Exchange sends and receives syncs until the stream or the context ends. First
// is what the peer said when it opened the stream, or nil on the side that
// opened it. That side speaks every period and the other answers, so that
// acknowledgements travel with the answers; both speak at once on a change.
func (s *Syncer) Exchange(ctx context.Context, stream *chivelink.Stream, first *chivelink.Sync) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &exchange{syncer: s, stream: stream, isOpener: first == nil, period: syncPeriod(s.Node.Role), sendNow: make(chan struct{}, 1)}
	if first != nil {
		e.period = syncPeriod(first.Node.Role)
		if err := e.handleSync(first); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	go func() {
		defer cancel()
		e.sendLoop(ctx)
	}()
	return e.receiveLoop()
}

// exchange is the state of one stream of syncs.
type exchange struct {
	syncer *Syncer
	stream *chivelink.Stream
	// isOpener says that this side isOpener the stream.
	isOpener bool
	period   time.Duration
	sendNow  chan struct{}
	// lastSent is what the peer was told last.
	lastSent chivelink.Sync

	mu           sync.Mutex
	lastReceived chivelink.Sync
}

func (e *exchange) sendLoop(ctx context.Context) {
	tick := time.NewTicker(e.period)
	defer tick.Stop()
	ticks := tick.C
	if !e.isOpener {
		ticks = nil
	}
	for {
		changed := e.syncer.Changed()
		if e.sendOnce() != nil {
			return
		}
		select {
		case <-ticks:
		case <-changed:
		case <-e.sendNow:
		case <-ctx.Done():
			return
		}
	}
}

// sendOnce sends what is new to the peer.
func (e *exchange) sendOnce() error {
	e.mu.Lock()
	peer := e.lastReceived
	e.mu.Unlock()
	m, err := e.syncer.buildSync(peer)
	if err != nil {
		return err
	}
	next := chivelink.Sync{Node: m.Node, SheetDigest: m.SheetDigest}
	if e.lastSent.Node.Name != "" || e.isOpener {
		m.Node = chivelink.Node{}
	}
	if m.SheetDigest == e.lastSent.SheetDigest {
		m.SheetDigest = ""
	}
	e.lastSent = next
	return e.stream.Send(m)
}

func (e *exchange) receiveLoop() error {
	silence := time.Duration(maxSilentPeriods * float64(e.period))
	for {
		e.stream.SetReceiveTimeout(silence)
		m := &chivelink.Sync{}
		if err := e.stream.Receive(m); err != nil {
			return err
		}
		if err := e.handleSync(m); err != nil {
			return err
		}
	}
}

// handleSync notes what the peer said, fills in what it left out, and wakes the sender
// where the peer awaits an answer or is behind.
func (e *exchange) handleSync(m *chivelink.Sync) error {
	e.mu.Lock()
	if m.Node.Name == "" {
		m.Node = e.lastReceived.Node
	}
	if m.SheetDigest == "" {
		m.SheetDigest = e.lastReceived.SheetDigest
	}
	behind := m.ConfigVersion < e.syncer.Version() && m.ConfigVersion != e.lastReceived.ConfigVersion
	e.lastReceived = chivelink.Sync{Node: m.Node, ConfigVersion: m.ConfigVersion, SheetDigest: m.SheetDigest}
	e.mu.Unlock()
	if behind || !e.isOpener {
		select {
		case e.sendNow <- struct{}{}:
		default:
		}
	}
	return e.syncer.handleSync(m)
}

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}
