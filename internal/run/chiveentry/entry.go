// Package chiveentry implements the daemon of an entry VM: it serves callers and
// tells them which entry VMs to use.
package chiveentry

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/run/chivebalance"
	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/run/chivelog"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("entry")

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept; callers reuse
	// theirs for less.
	idleTimeout = 60 * time.Second
	// watchTimeout is how long one call to the store waits for a change of other
	// tables than the operators'.
	watchTimeout = 15 * time.Second
	// runnerBatchDelay and entryPause are the times in which changes of runners and of
	// entry VMs gather, so that one call brings many. Drains leave two seconds.
	runnerBatchDelay = 200 * time.Millisecond
	entryBatchDelay  = 1500 * time.Millisecond
	// writeRetryDelay is the pause between two tries to write to the store.
	writeRetryDelay = 300 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// directoryTTL is how long callers keep an answer of the directory; some keep it
	// three times as long.
	directoryTTL = time.Second
	// stopAcceptDelay is how long a process that is told to stop takes requests, until
	// the last answers of the directory that name it have run out.
	stopAcceptDelay = 2900 * time.Millisecond
	// discoveryTime is the time after which an entry VM that has learnt of its peers
	// has heard of all that live: a few periods of reports and digests.
	discoveryTime = 1500 * time.Millisecond
	// storeAnswerMaxAge is how long after the store's last answer an entry VM counts as one
	// that reaches it: some calls and the way of a digest.
	storeAnswerMaxAge = 2 * time.Second
	// freshnessFraction is the part of the bound on taken keys within which a
	// configuration must have been confirmed. The rest covers the way to the
	// runner.
	freshnessFraction = 0.92
	// maintenanceInterval is the time between two looks at idle connections and limits.
	maintenanceInterval = 200 * time.Millisecond
	// shutdownMargin is how long before the end of its grace a process ends by itself.
	shutdownMargin = 400 * time.Millisecond
)

// Settings are what an entry VM is told at its start.
type Settings struct {
	Entry chivefleet.Entry
	// ReadinessAddress and Directory are the addresses of those services.
	ReadinessAddress string
	DirectoryAddress string
	// MetricsAddress is the address of the metrics.
	MetricsAddress string
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// KeyRevocationTime is how long a key may be used after it was taken away.
	KeyRevocationTime time.Duration
	RetryLimits       chiverelay.RetryLimits
	// Tables name those of the operators, the runners and the system.
	Tables Tables
}

// Tables are the names of the store's tables.
type Tables struct {
	Operators, Runners, System string
}

// A Store is the platform's store.
type Store interface {
	chivefollow.Source
	// Put writes a row whatever it held before.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row.
	Remove(ctx context.Context, table, key string) error
}

// A Front makes the servers that the platform and callers ask.
type Front interface {
	// Directory answers which addresses a caller in a zone should use, and how
	// long to keep the answer.
	Directory(resolve func(zone string) ([]string, time.Duration)) http.Handler
	// Readiness answers whether the entry VM is ready.
	Readiness(ready func() bool) http.Handler
}

// Dependencies are the implementations of what an entry VM talks to.
type Dependencies struct {
	Store   Store
	Codec   Codec
	Dialect chiverelay.Dialect
	Front   Front
	// Leases keeps the rows of leases.
	Leases    chiverow.Table
	Engine    chiverank.Engine
	LogOutput io.Writer
}

// An Daemon is the daemon.
type Daemon struct {
	settings  Settings
	deps      Dependencies
	logWriter *chivelog.Writer
	log       *log.Logger
	tracker   *Tracker
	mesh      *chivemesh.Mesh
	source    *chivehub.Source
	relay     *chiverelay.Relay
	balancer  *chivebalance.Balancer
	meter     *chivemeter.Meter
	leaving   atomic.Bool
	// peersKnownAt is the moment at which the other entry VMs were first known.
	peersKnownAt atomic.Int64
}

// New returns a new Entry.
func New(settings Settings, parts Dependencies) *Daemon {
	settings.Entry.Boot = rand.Uint64() | 1
	e := &Daemon{settings: settings, deps: parts, meter: chivemeter.New(), logWriter: chivelog.NewWriter(parts.LogOutput)}
	e.log = log.NewWithOptions(e.logWriter, log.Options{
		Prefix: "entry", Formatter: log.JSONFormatter, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("process", settings.Entry.Name)
	e.tracker = NewTracker(parts.Codec, e.log.WithPrefix("fleet"))
	board := chiverelay.NewRunnerState(settings.Entry.Name, settings.RetryLimits)
	e.balancer = &chivebalance.Balancer{
		Engine: parts.Engine, Table: parts.Leases, Name: processName(settings.Entry, settings.Entry.Boot),
		Zone: settings.Entry.Zone, Fleet: e.tracker.Fleet, Candidate: e.dutyCandidate, HasEnded: e.processEnded,
		ReportSlow: func(group string, paces map[string]float64) {
			board.SetSlowRunners(chiverelay.LocalSource(group), paces)
		}, Log: e.log.WithPrefix("maps"),
	}
	e.source = &chivehub.Source{
		Store: parts.Store, Replicas: chivehub.NewClient(), Zone: zoneView{e}, LivenessTable: settings.Tables.Operators,
		CoalesceDelays: map[string]time.Duration{settings.Tables.Runners: runnerBatchDelay, settings.Tables.System: entryBatchDelay},
		OnChange:       func() { e.mesh.SendNow() }, Log: e.log.WithPrefix("hub"),
	}
	e.mesh = &chivemesh.Mesh{
		Self: settings.Entry, Fleet: e.fleet, SinceStoreAnswer: e.source.SinceStoreAnswer, Revisions: e.tableRevisions, Load: e.load, HoldsMapDuty: e.balancer.HoldsDuty, SlowRunners: board.LocalSlowRunners,
		OnReport: func(source string, load chivemesh.Load, slow map[string]float64) {
			board.SetPeerLoad(source, load.InFlight)
			board.SetSlowRunners(source, slow)
			board.SetPeerUsage(source, load.Served)
			e.source.NotifyHubReport()
		},
		Log: e.log.WithPrefix("mesh"),
	}
	e.relay = &chiverelay.Relay{
		Dialect: parts.Dialect, State: board, Pool: &chiverunner.Pool{}, Log: e.log.WithPrefix("relay"),
		Zone: settings.Entry.Zone, Fleet: e.fleet, ConfigMaxAge: e.configMaxAge(), Observe: e.recordOutcome,
	}
	return e
}

// load returns what this entry VM reports to others.
func (e *Daemon) load() chivemesh.Load {
	return chivemesh.Load{InFlight: e.relay.State.LocalLoad(), Served: e.relay.State.WorkspaceUsage()}
}

// Run serves until the context ends and then lets every request end.
func (e *Daemon) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The duty is given back as soon as the process is told to stop.
	serving, yield := context.WithCancel(base)
	defer yield()
	context.AfterFunc(ctx, yield)
	logged, endLogs := context.WithCancel(context.Background())
	defer endLogs()
	callers := &http.Server{
		Handler: e.relay, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		ErrorLog: e.log.WithPrefix("http").StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	var group run.Group
	interrupt := func(error) { cancel() }
	group.Add(func() error { return e.waitAndDrain(ctx, callers) }, interrupt)
	for _, f := range e.followers(base) {
		group.Add(func() error { return f.Run(base) }, interrupt)
	}
	group.Add(func() error { return e.tracker.Run(base) }, interrupt)
	group.Add(func() error { return e.mesh.Run(base) }, interrupt)
	group.Add(func() error {
		err := e.balancer.Run(serving)
		<-base.Done()
		return err
	}, interrupt)
	group.Add(func() error { return e.register(base) }, interrupt)
	group.Add(func() error { return e.maintain(base) }, interrupt)
	group.Add(func() error { return e.meter.UpdateGauges(base, e.updateGauges) }, func(error) { cancel(); e.meter.Close() })
	group.Add(func() error { return e.logWriter.Run(logged) }, func(error) { endLogs() })
	if err := e.addServers(base, &group, callers); err != nil {
		return err
	}
	e.log.Info("Started.", "zone", e.settings.Entry.Zone, "callers", e.settings.Entry.CallerAddr, "boot", e.settings.Entry.Boot)
	return group.Run()
}

// maintain closes what is no longer used.
func (e *Daemon) maintain(ctx context.Context) error {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			fleet := e.tracker.Fleet()
			if len(fleet.Entries) > 0 && e.peersKnownAt.Load() == 0 {
				e.peersKnownAt.Store(int64(chiveclock.Now()))
			}
			e.relay.Pool.CloseExpired()
			e.relay.State.Prune(fleet)
			e.relay.State.AdjustLimits(fleet)
			e.relay.State.SetEntries(slices.Sorted(maps.Keys(fleet.Entries)))
		}
	}
}

// waitAndDrain waits for the stop, leaves the directory, serves on while callers
// may still use its answers, and lets the requests end.
func (e *Daemon) waitAndDrain(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	began := chiveclock.Now()
	e.leaving.Store(true)
	e.mesh.Leave()
	e.relay.DisableKeepAlives()
	listen := min(stopAcceptDelay, e.settings.GracePeriod/2)
	e.log.Info("Leaving.", "serving", listen)
	time.Sleep(listen)
	left := began.Add(e.settings.GracePeriod - shutdownMargin)
	grace, cancel := context.WithTimeout(context.Background(), chiveclock.Until(left))
	defer cancel()
	if err := callers.Shutdown(grace); err != nil {
		e.log.Warn("Requests were cut off.", "error", err)
	}
	if err := e.writeStore(grace, func(ctx context.Context) error {
		return e.deps.Store.Remove(ctx, e.settings.Tables.System, entryPrefix+e.settings.Entry.Name)
	}); err != nil {
		e.log.Warn("Entry was not removed.", "error", err)
	}
	e.log.Info("Stopped.")
	return nil
}
