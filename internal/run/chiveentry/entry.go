// Package chiveentry implements the daemon of an entry VM: it serves callers and
// tells them which entry VMs to use.
package chiveentry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/run/chivebalance"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivelog"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
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
	// configWait and runnerWait are how long one call to the store waits for a
	// change. The first bounds the age of what is known of keys.
	configWait = 700 * time.Millisecond
	runnerWait = 15 * time.Second
	// leastPause and mostPause bound the time in which changes of runners gather,
	// so that one call brings many; it is pausePerEntry for each entry VM, since
	// all of them read each change. Drains leave two seconds.
	leastPause    = 200 * time.Millisecond
	mostPause     = 600 * time.Millisecond
	pausePerEntry = 15 * time.Millisecond
	// entryPause does the same for entry VMs.
	entryPause = 1500 * time.Millisecond
	// confirmers is the number of entry VMs that confirm the configuration for
	// all.
	confirmers = 3
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
	// settlePeriods is the number of periods of reports after which an entry VM
	// that has learnt of its peers has heard of all that live.
	settlePeriods = 3
	// storeAge is how old the last confirmation of the configuration may be at an
	// entry VM that reaches the store.
	storeAge = 3 * time.Second
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
	relay    *chiverelay.Relay
	balancer *chivebalance.Balancer
	meter    *chivemeter.Meter
	leaving  atomic.Bool
	// hurry ends a call for the operators' table; waits says that it is a long
	// one.
	hurry chan struct{}
	waits atomic.Bool
	// met is the moment at which the other entry VMs were first known.
	met atomic.Int64
}

// New returns a new Entry.
func New(settings Settings, parts Parts) *Entry {
	settings.Entry.Boot = rand.Uint64() | 1
	e := &Entry{settings: settings, parts: parts, hurry: make(chan struct{}), meter: chivemeter.New(), logs: chivelog.NewWriter(parts.Logs)}
	e.log = log.NewWithOptions(e.logs, log.Options{
		Prefix: "entry", Formatter: log.JSONFormatter, ReportTimestamp: true,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
	}).With("process", settings.Entry.Name)
	e.tracker = NewTracker(parts.Codec, e.log.WithPrefix("fleet"))
	board := chiverelay.NewBoard(settings.Entry.Name, settings.Limits)
	e.balancer = &chivebalance.Balancer{
		Engine: parts.Engine, Table: parts.Leases, Name: process(settings.Entry, settings.Entry.Boot),
		Zone: settings.Entry.Zone, Fleet: e.tracker.Fleet, Candidate: e.candidate, Gone: e.gone,
		Slow: func(group string, paces map[string]float64) { board.Slow(chiverelay.OwnSource(group), paces) }, Log: e.log.WithPrefix("maps"),
	}
	e.mesh = &chivemesh.Mesh{
		Self: settings.Entry, Fleet: e.tracker.Fleet, Busy: board.Own, Duty: e.balancer.Holds, Slow: board.OwnSlow,
		Heard: func(r *chivemesh.Report) {
			board.Peer(r.From, r.Busy)
			board.Slow(r.From, r.Slow)
		},
		Log: e.log.WithPrefix("mesh"),
	}
	e.relay = &chiverelay.Relay{
		Dialect: parts.Dialect, Board: board, Pool: &chiverunner.Pool{}, Log: e.log.WithPrefix("relay"),
		Zone: settings.Entry.Zone, Fleet: e.fleet, MaxAge: e.maxAge(), Observe: e.observe,
	}
	return e
}

// maxAge returns how long a confirmation of the configuration counts.
func (e *Entry) maxAge() time.Duration {
	return time.Duration(float64(e.settings.Revoke) * freshPart)
}

// fleet returns the newest view, with what peers know of its configuration.
func (e *Entry) fleet() *chivefleet.Fleet {
	f := e.tracker.Fleet()
	if f.Config == nil || f.Fresh(chiveboot.Now(), configWait) {
		return f
	}
	lent := f.Confirmed
	for _, p := range e.mesh.Peers() {
		if p.Version == f.Config.Version {
			lent = max(lent, p.Confirmed)
		}
	}
	if lent == f.Confirmed {
		return f
	}
	next := *f
	next.Confirmed = lent
	return &next
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

// serve adds the servers to a group.
func (e *Entry) serve(base context.Context, group *run.Group, callers *http.Server) error {
	small := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{
		{e.settings.Entry.Callers, callers},
		{e.settings.Directory, small(e.parts.Front.Directory(e.resolve))},
		{e.settings.Readiness, small(e.parts.Front.Readiness(e.ready))},
		{e.settings.Metrics, small(chivedaemon.NewAdmin(e.state, e.meter))},
	} {
		l, err := net.Listen("tcp4", s.addr)
		if err != nil {
			return Error.Wrap(err)
		}
		group.Add(func() error {
			if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return Error.Wrap(err)
			}
			<-base.Done()
			return nil
		}, func(error) { _ = s.server.Close() })
	}
	return nil
}

// followers returns those of the store's tables.
func (e *Entry) followers(ctx context.Context) []*chivefollow.Follower {
	t := e.settings.Tables
	follow := func(table string, into chan chivefollow.Table) *chivefollow.Follower {
		return &chivefollow.Follower{
			Source: e.parts.Store, Table: table, Log: e.log.WithPrefix("store"),
			Wait:    func() time.Duration { return runnerWait },
			Changed: func(t chivefollow.Table) { hand(ctx, into, t) },
		}
	}
	operators, runners, own := follow(t.Operators, e.tracker.operators), follow(t.Runners, e.tracker.servers), follow(t.Own, e.tracker.entries)
	operators.Wait, operators.Hurry = e.operatorsWait, e.hurry
	runners.Pause = e.runnerPause
	own.Pause = func() time.Duration { return entryPause }
	return []*chivefollow.Follower{operators, runners, own}
}

// runnerPause returns how long changes of runners gather.
func (e *Entry) runnerPause() time.Duration {
	return min(max(leastPause, time.Duration(len(e.tracker.Fleet().Entries))*pausePerEntry), mostPause)
}

// hand gives a copy to the tracker, unless the daemon ends and nobody takes it.
func hand(ctx context.Context, into chan<- chivefollow.Table, t chivefollow.Table) {
	select {
	case into <- t:
	case <-ctx.Done():
	}
}

// operatorsWait returns how long a call for the operators' table waits. A few
// entry VMs confirm the configuration every configWait; the others take it from
// them and wait longer.
func (e *Entry) operatorsWait() time.Duration {
	short := e.confirms() || chiveboot.Since(e.fleet().Confirmed) > e.lentAge()
	e.waits.Store(!short)
	if short {
		return configWait
	}
	return runnerWait
}

// lentAge is how old what peers lend may be before an entry VM asks the store
// itself.
func (e *Entry) lentAge() time.Duration {
	return e.maxAge() / 2
}

// confirms reports whether this entry VM is one of the few that confirm the
// configuration for all.
func (e *Entry) confirms() bool {
	before := 0
	for _, p := range e.mesh.Peers() {
		if !p.Leaving && p.Entry.Name < e.settings.Entry.Name {
			before++
		}
	}
	return before < confirmers
}

// hasten ends a long call for the operators' table when peers no longer lend
// their confirmations.
func (e *Entry) hasten() {
	if !e.waits.Load() || chiveboot.Since(e.fleet().Confirmed) < e.lentAge() {
		return
	}
	select {
	case e.hurry <- struct{}{}:
	default:
	}
}

// candidate reports whether this entry VM should try to hold the duty to balance
// expert maps: it reaches the store, nobody alive holds the duty, and no peer
// with a smaller name could.
func (e *Entry) candidate() bool {
	now := chiveboot.Now()
	if e.leaving.Load() || !e.settled() || !e.fleet().Fresh(now, storeAge) {
		return false
	}
	for _, p := range e.mesh.Peers() {
		if p.Duty || !p.Leaving && p.Entry.Name < e.settings.Entry.Name && now.Sub(p.Confirmed) < storeAge {
			return false
		}
	}
	return true
}

// settled reports whether this entry VM has known the others for long enough to
// have heard of those that live.
func (e *Entry) settled() bool {
	met := chiveboot.Moment(e.met.Load())
	return met != 0 && chiveboot.Since(met) > settlePeriods*e.mesh.Period()
}

// process names an incarnation of an entry VM's process.
func process(e chivefleet.Entry, boot uint64) string {
	return fmt.Sprintf("%s/%x", e.Name, boot)
}

// gone reports whether the process of a name has ended, is leaving or is silent,
// as far as the entry VM itself or its peers show.
func (e *Entry) gone(name string) bool {
	entry, _, _ := strings.Cut(name, "/")
	if entry == e.settings.Entry.Name {
		return name != process(e.settings.Entry, e.settings.Entry.Boot)
	}
	for _, p := range e.mesh.Peers() {
		if p.Entry.Name == entry {
			return p.Leaving || name != process(p.Entry, p.Boot)
		}
	}
	return e.settled()
}

// ready reports whether this entry VM serves.
func (e *Entry) ready() bool {
	f := e.fleet()
	return !e.leaving.Load() && f.Fresh(chiveboot.Now(), e.maxAge()) && len(f.Runners) > 0
}

// state tells what the daemon does.
func (e *Entry) state() string {
	switch {
	case e.leaving.Load():
		return "leaving"
	case e.ready():
		return chivedaemon.StateServing
	}
	return "starting"
}

// resolve answers a caller that asks where to connect.
func (e *Entry) resolve(zone string) ([]string, time.Duration) {
	return addresses(e.settings.Entry, e.leaving.Load(), e.fleet(), e.mesh.Peers(), zone, e.maxAge()), lifetime
}

// register writes this entry VM's row until the store has it.
func (e *Entry) register(ctx context.Context) error {
	value, err := cbor.Marshal(&e.settings.Entry)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		if err = e.write(ctx, func(ctx context.Context) error {
			return e.parts.Store.Put(ctx, e.settings.Tables.Own, entryPrefix+e.settings.Entry.Name, value)
		}); err == nil {
			break
		}
		e.log.Warn("Entry was not registered.", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
	<-ctx.Done()
	return nil
}

func (e *Entry) write(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
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
				e.met.Store(int64(chiveboot.Now()))
			}
			e.hasten()
			e.relay.Pool.Trim()
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
	began := chiveboot.Now()
	e.leaving.Store(true)
	e.mesh.Leave()
	e.relay.Leave()
	listen := min(listenTime, e.settings.Grace/2)
	e.log.Info("Leaving.", "serving", listen)
	time.Sleep(listen)
	left := began.Add(e.settings.Grace - endMargin)
	grace, cancel := context.WithTimeout(context.Background(), chiveboot.Until(left))
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
