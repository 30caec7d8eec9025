// Package chiveagent implements the agent: the process on an endpoint's VM that
// decides what its endpoint may still take.
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

// logPrefix begins the log lines of this part.
const logPrefix = "agent"

// gatewayCount is the number of gateways that an agent syncs with.
const gatewayCount = 2

// An Agent is the process of one endpoint.
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
	// activeCalls counts the streams of activeCalls, until their gateways have the answers.
	activeCalls atomic.Int64
	// unreadAnswer says that a gateway may not have read an answer.
	unreadAnswer atomic.Bool
	// orderMu lets one order at a time reach the engine.
	orderMu sync.Mutex
}

// New returns a new Agent that listens on its link address.
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

// Drain refuses new work, waits for the requests that run and returns. It gives
// up when the context ends.
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
			a.log.Warn("Gave up waiting for requests.")
			return
		case <-time.After(drainPollPeriod):
		}
	}
}

// drainPollPeriod is the time between two looks at whether requests still run.
const drainPollPeriod = 20 * time.Millisecond

// Close ends all connections.
func (a *Agent) Close() {
	a.server.Close()
	a.dialer.Close()
	a.engine.Close()
	a.meter.Close()
}

// Sync implements chivelink.Handler.Sync. Agents open streams of syncs and
// accept none.
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

func (a *Agent) state() string {
	switch {
	case a.leaving.Load():
		return "leaving"
	case a.syncer.Config() == nil:
		return "starting"
	}
	return chivedaemon.StateServing
}
