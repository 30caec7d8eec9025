// Package chivegateway implements the gateway process. A gateway runs on an
// entry VM, routes callers' requests to endpoints and serves the operator API.
package chivegateway

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveobject"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivetable"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesync"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclaim"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Error is the class of errors of this package.
var Error = errs.Class("gateway")

// logPrefix is the prefix of the log lines of this package.
const logPrefix = "gateway"

// syncPeerCount is the number of other gateways to which a gateway opens sync
// streams.
const syncPeerCount = 3

// Gateway is the gateway process of one entry VM. It implements
// chivelink.Handler.
type Gateway struct {
	settings     *chivesetting.Gateway
	log          *log.Logger
	meter        *chivemeter.Meter
	metrics      metrics
	ring         *chivetime.Ring
	syncer       *chivesync.Syncer
	linker       *chivesync.Linker
	dialer       *chivelink.Dialer
	server       *chivelink.Server
	store        *chiveconf.Store
	binder       *chiveclaim.Binder
	fleet        *fleet
	retryBudgets *retryBudgets
	ledger       *ledger
	duties       *duties
	leaving      atomic.Bool
	// configConfirmed is set once the configuration is known to be as new as
	// that of the store or of minConfirmingPeers peers. The gateway serves no
	// callers before.
	configConfirmed atomic.Bool
}

// New returns a new Gateway that listens on its link address. It returns an
// error if the link address is not IP:port or cannot be listened on, or if the
// keys cannot be loaded.
func New(settings *chivesetting.Gateway, logs io.Writer) (*Gateway, error) {
	node := chivelink.Node{Name: settings.Name, Role: chivelink.RoleGateway, Zone: settings.Zone, Boot: chivelink.NewBoot()}
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
	table := chivetable.New(chivetable.Settings(settings.Table))
	g := &Gateway{
		settings:     settings,
		log:          settings.Log.Logger(logs, logPrefix),
		meter:        chivemeter.New(),
		ring:         ring,
		syncer:       chivesync.NewSyncer(node, ring),
		dialer:       dialer,
		store:        &chiveconf.Store{Table: table, Objects: chiveobject.New(chiveobject.Settings(settings.Object))},
		binder:       &chiveclaim.Binder{Table: table},
		fleet:        &fleet{zone: settings.Zone},
		retryBudgets: newRetryBudgets(),
		ledger:       newLedger(),
	}
	g.duties = newDuties(g, table)
	g.metrics = newMetrics(g.meter.Scope)
	g.linker = &chivesync.Linker{Syncer: g.syncer, Dialer: dialer, Lister: chivevm.NewClient(settings.VMs), GatewayCount: syncPeerCount}
	if g.server, err = chivelink.NewServer(settings.Link, keys, g); err != nil {
		dialer.Close()
		return nil, err
	}
	g.log.Info("Listening.", "name", settings.Name, "caller", settings.Caller, "link", settings.Link)
	return g, nil
}

// Close closes all connections to other processes and stops the metrics.
func (g *Gateway) Close() {
	g.server.Close()
	g.dialer.Close()
	g.meter.Close()
}

// state returns the lifecycle state of the gateway: "starting", "serving" or
// "leaving".
func (g *Gateway) state() string {
	switch {
	case g.leaving.Load():
		return "leaving"
	case !g.configConfirmed.Load():
		return "starting"
	}
	return chivedaemon.StateServing
}
