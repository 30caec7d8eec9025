package chivehub

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// Error is the class of errors of this package.
var Error = errs.Class("hub")

const (
	// hubPollPeriod is the time between two checks of the hub's state if no report
	// arrives.
	hubPollPeriod = 250 * time.Millisecond
	// failedHubBackoff is how long a hub is not used after a failed read.
	failedHubBackoff = time.Second
	// maxStoreProbers is the number of members of a zone that keep calling a store that
	// fails. The others call it once in storeRetryPeriod.
	maxStoreProbers  = 2
	storeRetryPeriod = 3 * time.Second
)

// Hub is the entry VM that reads the store for its zone.
type Hub struct {
	Name string
	// Addr is the address at which it serves its replicas.
	Addr string
	// Revisions holds the last reported revisions of its replicas, by table.
	Revisions map[string]Revision
}

// Replicas reads the replicas of hubs.
type Replicas interface {
	// Changes returns the changes in a hub's replica after a position, or the whole
	// table if the hub does not know all of them.
	Changes(ctx context.Context, hub *Hub, table string, after chivefollow.Position) (chivefollow.Page, error)
}

// Zone is this entry VM's view of its zone.
type Zone interface {
	// Hub returns the hub, or nil if there is none or this entry VM is the hub.
	Hub() *Hub
	// Position returns the number of members that are not leaving and precede this
	// entry VM by name.
	Position() int
}

// Source implements chivefollow.Source. It reads from the zone's hub or, if none is
// usable, from the store. It keeps a journal of each table, so that this entry VM can
// serve as the hub. Source is safe for concurrent use by the followers of different
// tables.
type Source struct {
	Store    chivefollow.Source
	Replicas Replicas
	Zone     Zone
	// LivenessTable is the table whose successful calls show that the store answers.
	LivenessTable string
	// CoalesceDelays holds, by table, how long the store is not called after a change,
	// so that one call returns several changes.
	CoalesceDelays map[string]time.Duration
	// OnChange is called after a call to the store returned changes.
	OnChange func()
	// Clock is the clock of the VM.
	Clock chiveclock.Clock
	Log   *log.Logger

	mu     sync.Mutex
	tables map[string]*table
	// era is the latest era of the store that was seen.
	era int64
	// storeAnsweredAt is when the last successful call for LivenessTable returned, or 0 if a
	// call has failed since.
	storeAnsweredAt chiveclock.Moment
	// failedHub is the last hub that failed. It is not used before failedHubUntil.
	failedHub      string
	failedHubUntil chiveclock.Moment
	// lastHub is the name of the hub that was used last, "" if the store was.
	lastHub string
	// reportArrived is closed at the next report, or nil if no call waits for it.
	reportArrived chan struct{}
	// waits ends the waits of the calls to the store that are in progress; nil before
	// the first.
	waits *waitScope
}

// table is the state of one table.
type table struct {
	journal Journal
	// failedAt is when the last call to the store failed, or 0 if it succeeded.
	failedAt chiveclock.Moment
	// readAt is when the last successful call to the store or a hub returned, or 0.
	readAt chiveclock.Moment
	// pausedUntil is the moment before which the store is not asked for changes.
	pausedUntil chiveclock.Moment
	// fromHub is set if the last page came from a hub.
	fromHub bool
}

// Journal returns the journal of a table, which is empty if the table was never read.
func (s *Source) Journal(name string) *Journal {
	return &s.table(name).journal
}

func (s *Source) table(name string) *table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tables == nil {
		s.tables = map[string]*table{}
	}
	t := s.tables[name]
	if t == nil {
		t = &table{}
		s.tables[name] = t
	}
	return t
}

// SinceStoreAnswer returns the time since the store last answered this entry VM. It is
// negative if the store never answered, or if the last call for some table failed.
func (s *Source) SinceStoreAnswer() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		if t.failedAt != 0 {
			return -1
		}
	}
	return s.Clock.Age(s.storeAnsweredAt)
}

// NotifyReport wakes the calls that wait for a report. It is called when a report
// arrives.
func (s *Source) NotifyReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportArrived != nil {
		close(s.reportArrived)
		s.reportArrived = nil
	}
}

// waitForReport waits for the next report, at most for the shorter of atMost and
// hubPollPeriod.
func (s *Source) waitForReport(ctx context.Context, atMost time.Duration) {
	s.mu.Lock()
	if s.reportArrived == nil {
		s.reportArrived = make(chan struct{})
	}
	reported := s.reportArrived
	s.mu.Unlock()
	timer := time.NewTimer(min(atMost, hubPollPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-reported:
	case <-timer.C:
	}
}

// usableHub returns the hub, or nil if there is none or it recently failed.
func (s *Source) usableHub() *Hub {
	h := s.Zone.Hub()
	s.mu.Lock()
	defer s.mu.Unlock()
	if h != nil && h.Name == s.failedHub && s.Clock.Now() < s.failedHubUntil {
		h = nil
	}
	s.noteHub(h)
	return h
}

// noteHub logs a change of the hub and ends the waits at the store: a call that is in progress
// since another member became the hub may be lost unnoticed, as nothing else is read from the
// store. The caller must hold s.mu.
func (s *Source) noteHub(h *Hub) {
	name := ""
	if h != nil {
		name = h.Name
	}
	if name == s.lastHub {
		return
	}
	s.lastHub = name
	s.cancelWaits()
	if h == nil {
		s.Log.Info("Tables are read from the store.")
		return
	}
	s.Log.Info("Tables are read from a hub.", "hub", name, "revisions", h.Revisions)
}

// ReadsHub reports whether the tables are read from a hub.
func (s *Source) ReadsHub() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastHub != ""
}

// Read implements chivefollow.Source.Read.
func (s *Source) Read(ctx context.Context, name string) (chivefollow.Page, error) {
	t := s.table(name)
	if err := s.waitForTurn(ctx, t); err != nil {
		return chivefollow.Page{}, err
	}
	if h := s.usableHub(); h != nil && h.Revisions[name].Version > 0 && h.Revisions[name].Era >= s.latestEra() {
		if page, err := s.fetch(ctx, h, name, wholeTable); err == nil {
			return page, nil
		}
	}
	page, err := s.Store.Read(ctx, name)
	return page, s.recordStoreCall(t, name, page, err)
}

// Changes implements chivefollow.Source.Changes.
func (s *Source) Changes(ctx context.Context, name string, after chivefollow.Position, wait time.Duration) (chivefollow.Page, error) {
	t := s.table(name)
	for until := s.Clock.Now().Add(wait); ; {
		h := s.usableHub()
		// A hub of an earlier era does not know yet that the store has returned from an
		// older copy.
		if h == nil || h.Revisions[name].Version == 0 || h.Revisions[name].Era < after.Era {
			page, err := s.storeChanges(ctx, t, name, after, until)
			if errors.Is(err, errWaitEnded) {
				// There may be a hub now.
				until = s.Clock.Now()
				continue
			}
			return page, err
		}
		t.fromHub = true
		if h.Revisions[name].Era > after.Era || h.Revisions[name].LastChange > after.Version {
			if page, err := s.fetch(ctx, h, name, after); err == nil {
				return page, nil
			}
			continue
		}
		if left := until.Sub(s.Clock.Now()); left > 0 && ctx.Err() == nil {
			s.waitForReport(ctx, left)
			continue
		}
		// The hub's replica has no change between after and its version.
		page := chivefollow.Page{Era: after.Era, Version: max(after.Version, h.Revisions[name].Version)}
		t.journal.Apply(page)
		s.clearFailure(t)
		return page, ctx.Err()
	}
}

// storeChanges returns the changes after a position from the store. It waits for the first
// of them until the given moment, and returns errWaitEnded if the wait was ended.
func (s *Source) storeChanges(ctx context.Context, t *table, name string, after chivefollow.Position, until chiveclock.Moment) (chivefollow.Page, error) {
	if err := s.waitForTurn(ctx, t); err != nil {
		return chivefollow.Page{}, err
	}
	if err := chiveclock.Sleep(ctx, min(t.pausedUntil, until).Sub(s.Clock.Now())); err != nil {
		return chivefollow.Page{}, err
	}
	wait := until.Sub(s.Clock.Now())
	if t.fromHub || after.Era < s.latestEra() {
		// The hub's data may be stale, and the other members choose the next hub by
		// whether the store answered it, so the first call must not wait. Nor must a
		// call from an earlier era, whose table is known to be out of date.
		wait = 0
	}
	t.fromHub = false
	page, err := s.waitForChanges(ctx, name, after, wait)
	if errors.Is(err, errWaitEnded) {
		return page, err
	}
	if err == nil && len(page.Rows) > 0 {
		t.pausedUntil = s.Clock.Now().Add(s.CoalesceDelays[name])
	}
	return page, s.recordStoreCall(t, name, page, err)
}

// waitForTurn delays a call to a store that failed, unless this entry VM is among the
// first maxStoreProbers members. It returns nil when the call is due or a hub is usable,
// and an error if the context ends first.
func (s *Source) waitForTurn(ctx context.Context, t *table) error {
	s.mu.Lock()
	failed := t.failedAt
	s.mu.Unlock()
	for failed != 0 && s.Zone.Position() >= maxStoreProbers && s.Clock.Since(failed) < storeRetryPeriod {
		if s.usableHub() != nil {
			return nil
		}
		s.waitForReport(ctx, hubPollPeriod)
		if err := ctx.Err(); err != nil {
			return Error.New("store failed %v ago and there is no usable hub: %v", s.Clock.Since(failed).Round(time.Millisecond), err)
		}
	}
	return nil
}

// recordStoreCall records the result of a call to the store, and returns its error.
func (s *Source) recordStoreCall(t *table, name string, page chivefollow.Page, err error) error {
	if errors.Is(err, chivefollow.ErrCompacted) {
		return err
	}
	if err == nil && len(page.Rows) > 0 {
		// Deferred so that the journal has the changes when the members are told.
		defer s.OnChange()
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if errors.Is(err, chivefollow.ErrNoAnswer) {
			s.endWaits("a call was not answered")
		}
		// A hub clears failures, not this: only an answer shows that the store serves this VM.
		t.failedAt, s.storeAnsweredAt = now, 0
		return err
	}
	if t.failedAt != 0 {
		t.failedAt, page.Recovered = 0, now
		// Calls of other tables that began during the failure may be lost.
		s.endWaits("the store answers again")
	}
	t.readAt = now
	s.noteEra(page.Era)
	if name == s.LivenessTable {
		s.storeAnsweredAt = now
	}
	t.journal.Apply(page)
	return nil
}

// latestEra returns the latest era of the store that was seen.
func (s *Source) latestEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// clearFailure clears the failure of a table's last call to the store, after a hub
// returned data.
func (s *Source) clearFailure(t *table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.failedAt, t.readAt = 0, s.Clock.Now()
}

// SinceRead returns the time since the replica of a table was last read or found to be
// up to date, also from a hub. It is negative if that never happened.
func (s *Source) SinceRead(name string) time.Duration {
	t := s.table(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Clock.Age(t.readAt)
}

// wholeTable is a position before every change.
var wholeTable = chivefollow.Position{Version: -1}

// fetch returns the changes after a position from a hub. A hub that fails is not used
// for failedHubBackoff.
func (s *Source) fetch(ctx context.Context, h *Hub, name string, after chivefollow.Position) (chivefollow.Page, error) {
	page, err := s.Replicas.Changes(ctx, h, name, after)
	if err != nil {
		s.Log.Warn("Replica cannot be read from the hub.", "hub", h.Name, "table", name, "error", err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failedHub, s.failedHubUntil = h.Name, s.Clock.Now().Add(failedHubBackoff)
		return page, err
	}
	t := s.table(name)
	t.journal.Apply(page)
	s.clearFailure(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteEra(page.Era)
	return page, nil
}

// noteEra records the era of a page. Calls for other tables that wait in an earlier era
// would learn of the later one only when their waits end. The caller must hold s.mu.
func (s *Source) noteEra(era int64) {
	if s.era != 0 && era > s.era {
		s.endWaits("the store has returned from an older copy")
	}
	s.era = max(s.era, era)
}
