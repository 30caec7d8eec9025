package chivesync

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

const (
	// agentPeriod is the time between two syncs that an agent opened: it must
	// know that its configuration is fresh.
	agentPeriod = time.Second
	// gatewayPeriod is that between gateways, which hear of changes at once and
	// read the store besides.
	gatewayPeriod = 2 * time.Second
	// silentPeriods is the number of periods without a sync after which a stream
	// is given up. It is less than agents need to take their configuration for
	// stale, so that they have time to link to another gateway.
	silentPeriods = 2.5
)

// period returns the time between syncs on a stream that was opened by a process
// of that role.
func period(opener chivelink.Role) time.Duration {
	if opener == chivelink.RoleAgent {
		return agentPeriod
	}
	return gatewayPeriod
}

// OpeningSync returns the sync that opens a stream.
func (s *Syncer) OpeningSync() (*chivelink.Sync, error) {
	return s.message(chivelink.Sync{ConfigVersion: s.Version()})
}

// Exchange sends and receives syncs until the stream or the context ends. First
// is what the peer said when it opened the stream, or nil on the side that
// opened it. That side speaks every period and the other answers, so that
// acknowledgements travel with the answers; both speak at once on a change.
func (s *Syncer) Exchange(ctx context.Context, stream *chivelink.Stream, first *chivelink.Sync) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &exchange{spreader: s, stream: stream, opened: first == nil, period: period(s.Node.Role), heard: make(chan struct{}, 1)}
	if first != nil {
		e.period = period(first.Node.Role)
		if err := e.take(first); err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	go func() {
		defer cancel()
		e.send(ctx)
	}()
	return e.receive()
}

// exchange is the state of one stream of syncs.
type exchange struct {
	spreader *Syncer
	stream   *chivelink.Stream
	// opened says that this side opened the stream.
	opened bool
	period time.Duration
	heard  chan struct{}
	// sent is what the peer was told last.
	sent chivelink.Sync

	mu   sync.Mutex
	peer chivelink.Sync
}

func (e *exchange) send(ctx context.Context) {
	tick := time.NewTicker(e.period)
	defer tick.Stop()
	ticks := tick.C
	if !e.opened {
		ticks = nil
	}
	for {
		changed := e.spreader.Changed()
		if e.sendOnce() != nil {
			return
		}
		select {
		case <-ticks:
		case <-changed:
		case <-e.heard:
		case <-ctx.Done():
			return
		}
	}
}

// sendOnce sends what is new to the peer.
func (e *exchange) sendOnce() error {
	e.mu.Lock()
	peer := e.peer
	e.mu.Unlock()
	m, err := e.spreader.message(peer)
	if err != nil {
		return err
	}
	next := chivelink.Sync{Node: m.Node, SheetDigest: m.SheetDigest}
	if e.sent.Node.Name != "" || e.opened {
		m.Node = chivelink.Node{}
	}
	if m.SheetDigest == e.sent.SheetDigest {
		m.SheetDigest = ""
	}
	e.sent = next
	return e.stream.Send(m)
}

func (e *exchange) receive() error {
	silence := time.Duration(silentPeriods * float64(e.period))
	for {
		e.stream.SetReceiveTimeout(silence)
		m := &chivelink.Sync{}
		if err := e.stream.Receive(m); err != nil {
			return err
		}
		if err := e.take(m); err != nil {
			return err
		}
	}
}

// take notes what the peer said, fills in what it left out, and wakes the sender
// where the peer awaits an answer or is behind.
func (e *exchange) take(m *chivelink.Sync) error {
	e.mu.Lock()
	if m.Node.Name == "" {
		m.Node = e.peer.Node
	}
	if m.SheetDigest == "" {
		m.SheetDigest = e.peer.SheetDigest
	}
	behind := m.ConfigVersion < e.spreader.Version() && m.ConfigVersion != e.peer.ConfigVersion
	e.peer = chivelink.Sync{Node: m.Node, ConfigVersion: m.ConfigVersion, SheetDigest: m.SheetDigest}
	e.mu.Unlock()
	if behind || !e.opened {
		select {
		case e.heard <- struct{}{}:
		default:
		}
	}
	return e.spreader.receive(m)
}

func formatVersion(v uint64) string {
	return strconv.FormatUint(v, 10)
}
