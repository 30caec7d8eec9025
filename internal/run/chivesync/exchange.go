package chivesync

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

const (
	// agentSyncPeriod is the time between syncs on a stream that an agent opened. It
	// is short because an agent refuses work when its configuration may be stale.
	agentSyncPeriod = time.Second
	// gatewaySyncPeriod is the time between syncs on a stream between gateways. It
	// may be longer, because gateways also read the store. Changes are sent at once.
	gatewaySyncPeriod = 2 * time.Second
	// maxSilentPeriods is the number of periods without a sync after which a stream
	// is closed. For an agent this is shorter than the time after which its
	// configuration counts as stale, so that it can link to another gateway first.
	maxSilentPeriods = 2.5
)

// syncPeriod returns the time between syncs on a stream that a process of the given
// role opened.
func syncPeriod(opener chivelink.Role) time.Duration {
	if opener == chivelink.RoleAgent {
		return agentSyncPeriod
	}
	return gatewaySyncPeriod
}

// OpeningSync returns the first sync of a stream that this process opens.
func (s *Syncer) OpeningSync() (*chivelink.Sync, error) {
	return s.buildSync(chivelink.Sync{ConfigVersion: s.Version()})
}

// Exchange sends and receives syncs until the stream fails or the context ends, and
// returns the error of the receiving side. First is the sync with which the peer
// opened the stream, or nil on the side that opened it. The opener sends a sync
// every period and the other side answers each one, so that QUIC acknowledgements
// need no packets of their own. Both sides send a change at once.
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
		chiveguard.Do(log.Default(), "sending of syncs", func() { e.sendLoop(ctx) })
	}()
	return e.receiveLoop()
}

// exchange is the state of one sync stream.
type exchange struct {
	syncer *Syncer
	stream *chivelink.Stream
	// isOpener is true on the side that opened the stream.
	isOpener bool
	period   time.Duration
	// sendNow makes sendLoop send a sync before the period ends.
	sendNow chan struct{}
	// lastSent holds the sender and the sheet digest of the sync sent last.
	lastSent chivelink.Sync

	mu sync.Mutex
	// lastReceived holds the sender, version and sheet digest of the last sync received.
	lastReceived chivelink.Sync
}

// sendLoop sends syncs until sending fails or the context ends. Only the opener
// sends periodically.
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

// sendOnce sends one sync, without the fields that have not changed since the last
// one.
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

// receiveLoop handles syncs until receiving or handling one fails.
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

// handleSync fills in the fields that the peer left out as unchanged, passes the
// sync to the syncer, and has sendLoop answer if this side is not the opener or the
// peer reports an older version for the first time.
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

// formatVersion returns the decimal form of a version.
func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}
