// Package chiveagent implements the agent: the process on an endpoint's VM that
// queues the calls of the gateways, limits how many run at the endpoint, and
// relays expert map orders to its engine.
package chiveagent

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveengine"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveservice"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesync"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Error is the class of errors of this package.
var Error = errs.Class("agent")

// logPrefix is the prefix of the agent's log lines.
const logPrefix = "agent"

// gatewayCount is the number of gateways that an agent keeps sync streams to.
const gatewayCount = 2

// Agent admits calls to one endpoint and relays their answers. It implements
// chivelink.Handler.
type Agent struct {
	settings *chivesetting.Agent
	log      *log.Logger
	meter    *chivemeter.Meter
	ring     *chivetime.Ring
	syncer   *chivesync.Syncer
	linker   *chivesync.Linker
	dialer   *chivelink.Dialer
	server   *chivelink.Server
	engine   *chiveengine.Client
	service  *chiveservice.Client
	control  *control
	metrics  metrics
	leaving  atomic.Bool
	// activeCalls counts the open call streams. A stream stays open until its
	// gateway has read the answer or closeTimeout has passed.
	activeCalls atomic.Int64
	// unreadAnswer is true after a gateway did not confirm within closeTimeout that
	// it has read an answer.
	unreadAnswer atomic.Bool
	// orderMu serializes the orders to the engine.
	orderMu sync.Mutex
}

// New returns an Agent that listens on its link address. It fails if the address
// cannot be bound or the key files cannot be read.
func New(settings *chivesetting.Agent, logs io.Writer) (*Agent, error) {
	node := chivelink.Node{Name: settings.Endpoint, Role: chivelink.RoleAgent, Zone: settings.Zone, Boot: chivelink.NewBoot()}
	ring := chivetime.NewRing(node.Name, chivetime.DefaultRingSize)
	keys := &chivelink.Keys{Cert: settings.Keys.Cert, Key: settings.Keys.Key, Roots: settings.Keys.Roots}
	host, _, err := net.SplitHostPort(settings.Link)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	dialer, err := chivelink.NewDialer(host, keys)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: settings,
		log:      settings.Log.Logger(logs, logPrefix),
		meter:    chivemeter.New(),
		ring:     ring,
		syncer:   chivesync.NewSyncer(node, ring),
		dialer:   dialer,
		engine:   chiveengine.NewClient(settings.Engine),
		service:  chiveservice.NewClient(settings.Engine),
	}
	a.metrics = newMetrics(a.meter.Scope)
	a.linker = &chivesync.Linker{Syncer: a.syncer, Dialer: dialer, Lister: chivevm.NewClient(settings.VMs), GatewayCount: gatewayCount}
	a.control = newControl(a)
	if a.server, err = chivelink.NewServer(settings.Link, keys, a); err != nil {
		dialer.Close()
		return nil, err
	}
	a.log.Info("Listening.", "endpoint", settings.Endpoint, "link", settings.Link)
	return a, nil
}

// Drain refuses new and queued calls and waits until all running calls are
// answered or the context ends. If every answer has been read, it then stops the
// server, which tells the gateways that no other call has run.
func (a *Agent) Drain(ctx context.Context) {
	a.leaving.Store(true)
	a.ring.Add("leave", a.settings.Endpoint, "Agent takes no new work.")
	a.log.Info("Draining.")
	a.control.stop()
	for {
		if a.activeCalls.Load() == 0 && a.control.idle() {
			a.log.Info("Drained.")
			if !a.unreadAnswer.Load() {
				a.server.Stop()
			}
			return
		}
		select {
		case <-ctx.Done():
			a.log.Warn("Drain timed out with calls still running.")
			return
		case <-time.After(drainPollPeriod):
		}
	}
}

// drainPollPeriod is the interval at which Drain checks for running calls.
const drainPollPeriod = 20 * time.Millisecond

// Close closes all connections and stops the metrics reporter.
func (a *Agent) Close() {
	a.server.Close()
	a.dialer.Close()
	a.engine.Close()
	a.meter.Close()
}

// Sync implements chivelink.Handler.Sync. It cancels the stream, because agents
// only open sync streams themselves.
func (a *Agent) Sync(_ context.Context, _ *chivelink.Sync, s *chivelink.Stream) {
	s.Cancel()
}

// Status implements chivelink.Handler.Status.
func (a *Agent) Status(_ context.Context, q *chivelink.Query) *chivelink.Status {
	st := &chivelink.Status{Node: a.syncer.Node, ConfigVersion: a.syncer.Version(), State: a.state(), Load: a.control.load()}
	if q.IncludeEvents {
		st.Events = a.ring.Events(q.Filter)
	}
	return st
}

// isStale reports whether the agent refuses calls because its configuration may be
// outdated.
func (a *Agent) isStale() bool {
	return time.Since(a.syncer.LastSync()) > maxSyncAge
}

// state returns the agent's state as chivelink.Status reports it.
func (a *Agent) state() string {
	switch {
	case a.leaving.Load():
		return "leaving"
	case a.syncer.Config() == nil:
		return "starting"
	case a.isStale():
		return "stale"
	}
	return chivedaemon.StateServing
}
