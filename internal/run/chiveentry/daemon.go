// Package chiveentry implements the daemon of an entry VM. It relays the requests of
// callers to runners, answers callers that ask for the addresses of entry VMs, and
// exchanges reports with other entry VMs.
package chiveentry

import (
	"cmp"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivecap"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
	"github.com/chiveyoke/chiveyoke/internal/run/chivebalance"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/run/chivelog"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("entry")

const (
	// watchTimeout is how long a call to the store waits for a change of the system's table.
	// Those for the tables of operators and runners wait for chivehub.LongPollWait, since an
	// answer that is lost is missed only after the wait.
	watchTimeout = 15 * time.Second
	// runnerBatchDelay and entryBatchDelay are how long changes of runners and of
	// entry VMs are collected, so that one call to the store returns several. They
	// stay below the two seconds for which a drained runner may still get requests.
	runnerBatchDelay = 200 * time.Millisecond
	entryBatchDelay  = 1500 * time.Millisecond
	// writeRetryDelay is the delay between two attempts to write to the store.
	writeRetryDelay = 300 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// directoryTTL is how long callers may cache a directory response. Some cache it
	// for three times as long.
	directoryTTL = time.Second
	// stopAcceptDelay is how long a process that was told to stop accepts requests,
	// until callers have dropped the last directory response that lists it.
	stopAcceptDelay = 2900 * time.Millisecond
	// discoveryTime is how long after it first reads the list of entry VMs an entry VM
	// has heard from all that are alive: a few periods of reports and digests.
	discoveryTime = 1500 * time.Millisecond
	// storeAnswerMaxAge is how long after the last answer of the store an entry VM
	// counts as connected to it. It covers a few calls and the delay of a digest.
	storeAnswerMaxAge = 2 * time.Second
	// freshnessFraction is the fraction of Settings.KeyRevocationTime within which a
	// configuration must have been confirmed. The rest covers the time until a
	// request reaches its runner.
	freshnessFraction = 0.92
	// maintenanceInterval is the time between two runs of maintain.
	maintenanceInterval = 200 * time.Millisecond
	// suspensionTime is the time between two runs of maintain above which the process
	// counts as having been suspended.
	suspensionTime = 1500 * time.Millisecond
	// shutdownMargin is how long before the end of its grace period a process stops
	// waiting for running requests.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is how long before that the running requests are given up, so that their
	// callers get a response.
	answerMargin = 200 * time.Millisecond
)

// Settings configures the daemon of an entry VM.
type Settings struct {
	Entry chivefleet.Entry
	// ReadinessAddress and DirectoryAddress are where readiness and the directory are
	// served.
	ReadinessAddress string
	DirectoryAddress string
	// MetricsAddress is where metrics are served.
	MetricsAddress string
	// MemoryLimit is the memory that the process may use in bytes, 0 if it is not limited.
	MemoryLimit int64
	// MaxFiles is the number of descriptors that the process may use, 0 if it is not limited.
	MaxFiles int64
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// KeyRevocationTime is how long a key may still be used after its revocation.
	KeyRevocationTime time.Duration
	RetryLimits       chiverelay.RetryLimits
	Tables            Tables
}

// Tables names the tables in the store.
type Tables struct {
	// Operators holds the rows of operators, Runners those of runners and System
	// those of entry VMs.
	Operators, Runners, System string
}

// Store reads and writes the platform's store.
type Store interface {
	chivefollow.Source
	// Put writes a row and returns its version. It overwrites an existing one.
	Put(ctx context.Context, table, key string, value []byte) (int64, error)
	// Remove deletes a row if it still has a version. A removal that is not answered may be
	// carried out late.
	Remove(ctx context.Context, table, key string, version int64) error
}

// Front creates the HTTP handlers for callers and the platform.
type Front interface {
	// Directory returns a handler that serves the addresses of entry VMs for callers
	// in a zone. resolve returns them with the time for which they may be cached.
	Directory(resolve func(zone string) ([]string, time.Duration)) http.Handler
	// Readiness returns a handler that serves the result of ready.
	Readiness(ready func() bool) http.Handler
}

// Dependencies holds the implementations of the daemon's interfaces.
type Dependencies struct {
	Store   Store
	Codec   Codec
	Dialect chiverelay.Dialect
	Front   Front
	// Leases is the table of leases.
	Leases chiverow.Table
	Engine chiverank.Engine
	// LogOutput receives the log lines.
	LogOutput io.Writer
}

// Daemon is the daemon of an entry VM.
type Daemon struct {
	settings  Settings
	deps      Dependencies
	logWriter *chivelog.Writer
	log       *log.Logger
	tracker   *Tracker
	mesh      *chivemesh.Mesh
	source    *chivehub.Source
	relay     *chiverelay.Relay
	// doors counts the connections of clients at all ports.
	doors    chivedoor.Ledger
	balancer *chivebalance.Balancer
	meter    *chivemeter.Meter
	// callerListener accepts the connections of callers, callerConns knows them.
	callerListener net.Listener
	callerConns    callerConns
	// callersServed is closed once no more connections of callers are accepted.
	callersServed chan struct{}
	// leaving reports whether the process was told to stop.
	leaving atomic.Bool
	// registrationLost receives a value when the store has lost the row of this entry VM.
	registrationLost chan struct{}
	// rowVersion is the version of the row of this entry VM in the store, 0 before it was
	// written.
	rowVersion atomic.Int64
	// peersKnownAt is the moment at which the registered entry VMs were first read
	// from the store, 0 before.
	peersKnownAt atomic.Int64
	// entriesSharing is the number of registered entry VMs, which share the limits.
	entriesSharing atomic.Int64
	// vacancy belongs to the goroutine that competes for the map duty.
	vacancy vacancy
}

// New returns a new Daemon. It sets settings.Entry.Boot to a random incarnation.
func New(settings Settings, deps Dependencies) *Daemon {
	settings.Entry.Boot = rand.Uint64() | 1
	d := &Daemon{settings: settings, deps: deps, meter: chivemeter.New(), registrationLost: make(chan struct{}, 1), callersServed: make(chan struct{}), logWriter: chivelog.NewWriter(deps.LogOutput)}
	d.log = log.NewWithOptions(d.logWriter, log.Options{
		Prefix: "entry", Formatter: log.JSONFormatter, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("process", settings.Entry.Name)
	d.tracker = NewTracker(deps.Codec, d.log.WithPrefix("fleet"))
	d.tracker.entriesRestored = d.checkRegistration
	d.tracker.onEntries, d.tracker.peerConfig = d.setEntries, d.peerConfig
	runners := chiverelay.NewRunnerState(settings.Entry.Name, settings.RetryLimits)
	d.balancer = &chivebalance.Balancer{
		Engine: deps.Engine, Table: deps.Leases, Name: processName(settings.Entry, settings.Entry.Boot),
		Zone: settings.Entry.Zone, Fleet: d.tracker.Fleet, Candidate: d.dutyCandidate, HasEnded: d.processEnded,
		ReportSlow: func(g string, slow map[string]float64) { runners.SetSlowRunners(chiverelay.LocalSource(g), slow) }, Log: d.log.WithPrefix("maps"),
		Watching: func() bool { return d.mesh.WatchesHolder() }, Pulse: func(held bool, r chiverank.Round) { d.mesh.Pulse(held, r) },
		KnownRound: func() chiverank.Round { return d.mesh.HolderRound() }, SincePulse: func() time.Duration { return d.mesh.SincePulse() },
		BeginPulses: func() { d.mesh.BeginPulses() }, OnHold: d.recordHold, OnTakeover: d.recordTakeover, RecentPause: runners.RecentPause,
	}
	d.source = &chivehub.Source{
		Store: deps.Store, Replicas: chivehub.NewClient(), Zone: zoneView{d}, LivenessTable: settings.Tables.Operators,
		CoalesceDelays: map[string]time.Duration{settings.Tables.Runners: runnerBatchDelay, settings.Tables.System: entryBatchDelay},
		OnChange:       func() { d.mesh.SendNow() }, Log: d.log.WithPrefix("hub"),
	}
	d.mesh = &chivemesh.Mesh{
		Self: settings.Entry, Fleet: d.fleet, SinceStoreAnswer: d.source.SinceStoreAnswer, Revisions: d.tableRevisions, Load: d.load, HoldsMapDuty: d.balancer.HoldsDuty, SlowRunners: runners.LocalSlowRunners,
		OnReport: func(source string, load chivemesh.Load, slow map[string]float64) {
			runners.SetPeerLoad(source, load.InFlight, load.Work)
			runners.SetSlowRunners(source, slow)
			runners.SetPeerUsage(source, load.Served)
			d.source.NotifyReport()
		},
		Facts: func() chivemesh.Facts {
			return chivemesh.Facts{Suspects: d.relay.Crashes.Facts(), Rates: d.relay.Rates.Facts()}
		},
		OnFacts: func(f chivemesh.Facts, delay time.Duration) {
			d.relay.Crashes.Merge(f.Suspects, delay)
			d.relay.Rates.Merge(f.Rates, delay)
		},
		Retries: chivemesh.RetryMemory{
			Span: settings.RetryLimits.RetryWindow, Use: runners.RetryUse,
			OnFormer: func(f *chivequota.FormerUse) {
				if runners.SetFormerRetries(f) {
					d.log.Info("Retries of the process before are known.", "age", f.Age, "services", len(f.Services), "sharers", f.Sharers)
				}
			},
		},
		Log: d.log.WithPrefix("mesh"),
	}
	d.relay = &chiverelay.Relay{
		Dialect: deps.Dialect, State: runners, Pool: &chiverunner.Pool{}, Log: d.log.WithPrefix("relay"),
		Zone: settings.Entry.Zone, Fleet: d.fleet, ConfigMaxAge: d.configMaxAge(), Observe: d.recordOutcome,
		Memory:  chiverelay.Memory{Budget: chivebudget.ForMemory(settings.MemoryLimit)},
		Crashes: chiverelay.CrashGuard{OnCrash: func() { d.mesh.SendNow() }},
	}
	d.doors.Budget, d.doors.MaxConns = d.relay.Memory.Budget, chivedoor.MaxConnsOf(settings.MaxFiles)
	d.doors.Limits, d.doors.Log = d.limits, d.log.WithPrefix("doors")
	return d
}

// load returns the load and usage that this entry VM reports to others.
func (d *Daemon) load() chivemesh.Load {
	return chivemesh.Load{InFlight: d.relay.State.LocalLoad(), Work: d.relay.State.LocalWork(), Served: d.relay.State.WorkspaceUsage()}
}

// Run serves until the context ends. It then waits for the running requests, at most
// until shutdownMargin before the end of the grace period. It returns an error if it
// cannot listen on an address or a server fails.
func (d *Daemon) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The balancer releases the map duty as soon as the process is told to stop.
	balancing, endBalancing := context.WithCancel(base)
	defer endBalancing()
	context.AfterFunc(ctx, endBalancing)
	logging, endLogging := context.WithCancel(context.Background())
	defer endLogging()
	callers := &http.Server{
		Handler: d.callerConns.handler(d.relay), ConnState: d.callerConns.note,
		ConnContext: chiverelay.WithConn,
		ErrorLog:    d.log.WithPrefix("http").StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	var group run.Group
	interrupt := func(error) { cancel() }
	group.Add(func() error { return d.waitAndDrain(ctx, callers) }, interrupt)
	for _, f := range d.followers(base) {
		group.Add(func() error { return f.Run(base) }, interrupt)
	}
	group.Add(func() error { return d.tracker.Run(base) }, interrupt)
	group.Add(func() error { return d.mesh.Run(base) }, interrupt)
	group.Add(func() error {
		err := chiveguard.Repeat(balancing, d.log, "map duty", func() error { return d.balancer.Run(balancing) })
		<-base.Done()
		return err
	}, interrupt)
	group.Add(func() error {
		return chiveguard.Repeat(base, d.log, "registration", func() error { return d.register(base) })
	}, interrupt)
	group.Add(func() error { return d.maintain(base) }, interrupt)
	group.Add(func() error {
		return d.meter.UpdateGauges(base, func() { chiveguard.Do(d.log, "update of gauges", d.updateGauges) })
	}, func(error) { cancel(); d.meter.Close() })
	group.Add(func() error { return d.logWriter.Run(logging) }, func(error) { endLogging() })
	if err := d.addServers(base, &group, callers); err != nil {
		return err
	}
	if d.settings.MemoryLimit > 0 {
		chivedaemon.LimitHeap(d.settings.MemoryLimit)
		d.log.Info("Memory is limited.", "limit", d.settings.MemoryLimit, "callers", d.relay.Memory.Budget.Total, "connections", d.relay.Memory.Budget.Connections())
	}
	if d.doors.MaxConns > 0 {
		d.log.Info("Connections are limited.", "files", d.settings.MaxFiles, "connections", d.doors.MaxConns)
	}
	d.log.Info("Started.", "zone", d.settings.Entry.Zone, "callers", d.settings.Entry.CallerAddr, "boot", d.settings.Entry.Boot, "revision", chivedaemon.Revision())
	return group.Run()
}

// setEntries shares the limits with the registered entry VMs, if there are any.
func (d *Daemon) setEntries(entries map[string]chivefleet.Entry) {
	if len(entries) == 0 {
		return
	}
	d.peersKnownAt.CompareAndSwap(0, int64(chiveclock.Now()))
	if n := int64(len(entries)); d.entriesSharing.Swap(n) != n {
		d.log.Info("Limits are shared.", "entries", n)
	}
	d.relay.State.SetEntries(slices.Sorted(maps.Keys(entries)))
}

// maintain calls maintainOnce periodically until the context ends. After a suspension of the VM it
// has the store asked again for all tables: timers do not count that time, so that calls would
// still wait.
func (d *Daemon) maintain(ctx context.Context) error {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	last := chiveclock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if chiveclock.Since(last) > suspensionTime {
				d.source.EndWaits("this process was suspended")
			}
			last = chiveclock.Now()
			chiveguard.Do(d.log, "maintenance", d.maintainOnce)
		}
	}
}

// maintainOnce closes idle connections, and prunes and adjusts the state of runners.
func (d *Daemon) maintainOnce() {
	fleet := d.tracker.Fleet()
	d.doors.Sweep()
	d.relay.Pool.CloseExpired()
	d.relay.State.Prune(fleet)
	d.relay.State.AdjustLimits(fleet)
	d.relay.Crashes.CheckFleet(fleet)
	d.shareRates()
	d.logExclusions()
	d.relay.LogRefusals()
}

// shareRates shares the rates that runners name with the entry VMs that are alive and take
// requests, once this one has heard from all of them.
func (d *Daemon) shareRates() {
	known := chiveclock.Moment(d.peersKnownAt.Load())
	if known == 0 || chiveclock.Since(known) < discoveryTime {
		return
	}
	var senders []chivecap.Sender
	if !d.leaving.Load() {
		senders = append(senders, chivecap.Sender{Name: d.settings.Entry.Name, Zone: d.settings.Entry.Zone})
	}
	for _, p := range d.mesh.Peers() {
		if !p.Leaving {
			senders = append(senders, chivecap.Sender{Name: p.Entry.Name, Zone: p.Entry.Zone})
		}
	}
	slices.SortFunc(senders, func(a, b chivecap.Sender) int { return cmp.Compare(a.Name, b.Name) })
	d.relay.Rates.SetSenders(d.settings.Entry.Name, senders)
}

// waitAndDrain waits until the context ends and then shuts the entry VM down. It
// removes this entry VM from directory responses, accepts requests while callers may
// still use cached responses, waits for the running requests, and removes the row of
// this entry VM from the store.
func (d *Daemon) waitAndDrain(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	start := chiveclock.Now()
	d.leaving.Store(true)
	d.mesh.Leave()
	acceptTime := min(stopAcceptDelay, d.settings.GracePeriod/2)
	deadline := start.Add(d.settings.GracePeriod - shutdownMargin)
	d.relay.Stop(start.Add(acceptTime), deadline.Add(-answerMargin))
	d.log.Info("Shutting down.", "serving", acceptTime)
	time.Sleep(acceptTime)
	grace, cancel := context.WithTimeout(context.Background(), chiveclock.Until(deadline))
	defer cancel()
	if err := d.callerConns.stop(grace, d.callerListener, d.callersServed); err != nil {
		d.log.Warn("Requests were aborted.", "error", err)
	}
	_ = callers.Close()
	// The next process on this VM writes the same row.
	if err := d.writeStore(grace, func(ctx context.Context) error {
		return d.deps.Store.Remove(ctx, d.settings.Tables.System, entryPrefix+d.settings.Entry.Name, d.rowVersion.Load())
	}); err != nil {
		d.log.Warn("Failed to remove the row of this entry VM.", "error", err)
	}
	d.log.Info("Stopped.")
	return nil
}
