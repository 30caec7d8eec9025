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
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept; callers reuse
	// theirs for less.
	idleTimeout = 60 * time.Second
	// runnerWait is how long one call to the store waits for a change of other
	// tables than the operators'.
	runnerWait = 15 * time.Second
	// runnerPause and entryPause are the times in which changes of runners and of
	// entry VMs gather, so that one call brings many. Drains leave two seconds.
	runnerPause = 200 * time.Millisecond
	entryPause  = 1500 * time.Millisecond
	// retryPause is the pause between two tries to write to the store.
	retryPause = 300 * time.Millisecond
	// writeTimeout bounds one write to the store.
	writeTimeout = 1500 * time.Millisecond
	// lifetime is how long callers keep an answer of the directory; some keep it
	// three times as long.
	lifetime = time.Second
	// listenTime is how long a process that is told to stop takes requests, until
	// the last answers of the directory that name it have run out.
	listenTime = 2900 * time.Millisecond
	// settleTime is the time after which an entry VM that has learnt of its peers
	// has heard of all that live: a few periods of reports and digests.
	settleTime = 1500 * time.Millisecond
	// answerAge is how long after the store's last answer an entry VM counts as one
	// that reaches it: some calls and the way of a digest.
	answerAge = 2 * time.Second
	// freshPart is the part of the bound on taken keys within which a
	// configuration must have been confirmed. The rest covers the way to the
	// runner.
	freshPart = 0.92
	// trimPeriod is the time between two looks at idle connections and limits.
	trimPeriod = 200 * time.Millisecond
	// endMargin is how long before the end of its grace a process ends by itself.
	endMargin = 400 * time.Millisecond
)

// Settings are what an entry VM is told at its start.
type Settings struct {
	Entry chivefleet.Entry
	// Readiness and Directory are the addresses of those services.
	Readiness string
	Directory string
	// Metrics is the address of the metrics.
	Metrics string
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Revoke is how long a key may be used after it was taken away.
	Revoke time.Duration
	Limits chiverelay.Limits
	// Tables name those of the operators, the runners and the system.
	Tables Tables
}

// Tables are the names of the store's tables.
type Tables struct {
	Operators, Runners, Own string
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

// Parts are the implementations of what an entry VM talks to.
type Parts struct {
	Store   Store
	Codec   Codec
	Dialect chiverelay.Dialect
	Front   Front
	// Leases keeps the rows of leases.
	Leases chiverow.Table
	Engine chiverank.Engine
	Logs   io.Writer
}

// An Entry is the daemon.
type Entry struct {
	settings Settings
	parts    Parts
	logs     *chivelog.Writer
	log      *log.Logger
	tracker  *Tracker
	mesh     *chivemesh.Mesh
	source   *chivehub.Source
	relay    *chiverelay.Relay
	balancer *chivebalance.Balancer
	meter    *chivemeter.Meter
	leaving  atomic.Bool
	// met is the moment at which the other entry VMs were first known.
	met atomic.Int64
}

// New returns a new Entry.
func New(settings Settings, parts Parts) *Entry {
	settings.Entry.Boot = rand.Uint64() | 1
	e := &Entry{settings: settings, parts: parts, meter: chivemeter.New(), logs: chivelog.NewWriter(parts.Logs)}
	e.log = log.NewWithOptions(e.logs, log.Options{
		Prefix: "entry", Formatter: log.JSONFormatter, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("process", settings.Entry.Name)
	e.tracker = NewTracker(parts.Codec, e.log.WithPrefix("fleet"))
	board := chiverelay.NewBoard(settings.Entry.Name, settings.Limits)
	e.balancer = &chivebalance.Balancer{
		Engine: parts.Engine, Table: parts.Leases, Name: process(settings.Entry, settings.Entry.Boot),
		Zone: settings.Entry.Zone, Fleet: e.tracker.Fleet, Candidate: e.candidate, HasEnded: e.gone,
		ReportSlow: func(group string, paces map[string]float64) { board.Slow(chiverelay.OwnSource(group), paces) }, Log: e.log.WithPrefix("maps"),
	}
	e.source = &chivehub.Source{
		Store: parts.Store, Replicas: chivehub.NewClient(), Zone: zone{e}, LivenessTable: settings.Tables.Operators,
		CoalesceDelays: map[string]time.Duration{settings.Tables.Runners: runnerPause, settings.Tables.Own: entryPause},
		OnChange:       func() { e.mesh.SendNow() }, Log: e.log.WithPrefix("hub"),
	}
	e.mesh = &chivemesh.Mesh{
		Self: settings.Entry, Fleet: e.fleet, SinceStoreAnswer: e.source.SinceStoreAnswer, Revisions: e.marks, Load: e.load, HoldsMapDuty: e.balancer.HoldsDuty, SlowRunners: board.OwnSlow,
		OnReport: func(source string, load chivemesh.Load, slow map[string]float64) {
			board.Peer(source, load.InFlight)
			board.Slow(source, slow)
			board.State(source, load.Served)
			e.source.NotifyHubReport()
		},
		Log: e.log.WithPrefix("mesh"),
	}
	e.relay = &chiverelay.Relay{
		Dialect: parts.Dialect, Board: board, Pool: &chiverunner.Pool{}, Log: e.log.WithPrefix("relay"),
		Zone: settings.Entry.Zone, Fleet: e.fleet, MaxAge: e.maxAge(), Observe: e.observe,
	}
	return e
}

// load returns what this entry VM reports to others.
func (e *Entry) load() chivemesh.Load {
	return chivemesh.Load{InFlight: e.relay.Board.Own(), Served: e.relay.Board.Served()}
}

// Run serves until the context ends and then lets every request end.
func (e *Entry) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The duty is given back as soon as the process is told to stop.
	serving, yield := context.WithCancel(base)
	defer yield()
	context.AfterFunc(ctx, yield)
	logged, endLogs := context.WithCancel(context.Background())
	defer endLogs()
	callers := &http.Server{
		Handler: e.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
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
	group.Add(func() error { return e.trim(base) }, interrupt)
	group.Add(func() error { return e.meter.Watch(base, e.gauges) }, func(error) { cancel(); e.meter.Close() })
	group.Add(func() error { return e.logs.Run(logged) }, func(error) { endLogs() })
	if err := e.serve(base, &group, callers); err != nil {
		return err
	}
	e.log.Info("Started.", "zone", e.settings.Entry.Zone, "callers", e.settings.Entry.Callers, "boot", e.settings.Entry.Boot)
	return group.Run()
}

// trim closes what is no longer used.
func (e *Entry) trim(ctx context.Context) error {
	tick := time.NewTicker(trimPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			fleet := e.tracker.Fleet()
			if len(fleet.Entries) > 0 && e.met.Load() == 0 {
				e.met.Store(int64(chiveclock.Now()))
			}
			e.relay.Pool.CloseExpired()
			e.relay.Board.Trim(fleet)
			e.relay.Board.StepPaces(fleet)
			e.relay.Board.SetEntries(slices.Sorted(maps.Keys(fleet.Entries)))
		}
	}
}

// waitAndDrain waits for the stop, leaves the directory, serves on while callers
// may still use its answers, and lets the requests end.
func (e *Entry) waitAndDrain(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	began := chiveclock.Now()
	e.leaving.Store(true)
	e.mesh.Leave()
	e.relay.Leave()
	listen := min(listenTime, e.settings.Grace/2)
	e.log.Info("Leaving.", "serving", listen)
	time.Sleep(listen)
	left := began.Add(e.settings.Grace - endMargin)
	grace, cancel := context.WithTimeout(context.Background(), chiveclock.Until(left))
	defer cancel()
	if err := callers.Shutdown(grace); err != nil {
		e.log.Warn("Requests were cut off.", "error", err)
	}
	if err := e.write(grace, func(ctx context.Context) error {
		return e.parts.Store.Remove(ctx, e.settings.Tables.Own, entryPrefix+e.settings.Entry.Name)
	}); err != nil {
		e.log.Warn("Entry was not removed.", "error", err)
	}
	e.log.Info("Stopped.")
	return nil
}
