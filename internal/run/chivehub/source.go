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
	// hubPollPeriod is the time between two looks at the hub when it does not report.
	hubPollPeriod = 250 * time.Millisecond
	// failedHubBackoff is how long a hub that did not answer is passed over.
	failedHubBackoff = time.Second
	// maxStoreProbers is the number of members of a zone that go on asking a store which
	// does not answer; the others ask once in patience.
	maxStoreProbers  = 2
	storeRetryPeriod = 3 * time.Second
)

// A Hub is what a member knows of the entry VM that follows the store for it.
type Hub struct {
	Name string
	// Addr is where it serves its copies.
	Addr string
	// Revisions tell how new its copies are, by table.
	Revisions map[string]Revision
}

// Replicas reads the copies of hubs.
type Replicas interface {
	// Changes returns what changed in a hub's copy after a version.
	Changes(ctx context.Context, hub *Hub, table string, after int64) (chivefollow.Page, error)
}

// A Zone is the view of the entry VMs of a zone.
type Zone interface {
	// Hub returns the hub, or nil where this entry VM follows the store itself.
	Hub() *Hub
	// Position returns how many members come before this entry VM.
	Position() int
}

// A Source implements chivefollow.Source. It reads from the zone's hub or, where
// there is none to rely on, from the store, and keeps journals for the case that
// this entry VM is the hub. It is safe for concurrent use.
type Source struct {
	Store    chivefollow.Source
	Replicas Replicas
	Zone     Zone
	// LivenessTable is the table whose calls show that the store answers.
	LivenessTable string
	// CoalesceDelays hold how long changes of a table gather before the store is asked for
	// more, so that one call brings many.
	CoalesceDelays map[string]time.Duration
	// OnChange is called when a table has changed at the store.
	OnChange func()
	// Clock is the VM's.
	Clock chiveclock.Clock
	Log   *log.Logger

	mu              sync.Mutex
	tables          map[string]*table
	storeAnsweredAt chiveclock.Moment
	failedHub       string
	failedHubUntil  chiveclock.Moment
	hubReported     chan struct{}
}

// table is the state of one table.
type table struct {
	journal Journal
	// failedAt is when the store last failedAt, 0 where its last call succeeded.
	failedAt chiveclock.Moment
	// pausedUntil is the moment before which the store is not asked for changes.
	pausedUntil chiveclock.Moment
	// fromHub says that the last page came from a hub.
	fromHub bool
}

// Journal returns the journal of a table.
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

// SinceStoreAnswer returns how long ago the store last answered this entry VM; negative
// where it did not, or does not answer for every table.
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

// NotifyHubReport tells that the hub has reported.
func (s *Source) NotifyHubReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hubReported != nil {
		close(s.hubReported)
		s.hubReported = nil
	}
}

// waitForReport waits for the hub's next report, but for a short time only.
func (s *Source) waitForReport(ctx context.Context, atMost time.Duration) {
	s.mu.Lock()
	if s.hubReported == nil {
		s.hubReported = make(chan struct{})
	}
	news := s.hubReported
	s.mu.Unlock()
	timer := time.NewTimer(min(atMost, hubPollPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-news:
	case <-timer.C:
	}
}

// usableHub returns the usableHub to rely on, or nil.
func (s *Source) usableHub() *Hub {
	h := s.Zone.Hub()
	s.mu.Lock()
	defer s.mu.Unlock()
	if h != nil && h.Name == s.failedHub && s.Clock.Now() < s.failedHubUntil {
		return nil
	}
	return h
}

// Read implements chivefollow.Source.Read.
func (s *Source) Read(ctx context.Context, name string) (chivefollow.Page, error) {
	t := s.table(name)
	if err := s.waitForTurn(ctx, t); err != nil {
		return chivefollow.Page{}, err
	}
	if h := s.usableHub(); h != nil && h.Revisions[name].Version > 0 {
		if page, err := s.fetch(ctx, h, name, -1); err == nil {
			return page, nil
		}
	}
	page, err := s.Store.Read(ctx, name)
	return page, s.recordStoreCall(t, name, page, err)
}

// Changes implements chivefollow.Source.Changes.
func (s *Source) Changes(ctx context.Context, name string, after int64, wait time.Duration) (chivefollow.Page, error) {
	t := s.table(name)
	for until := s.Clock.Now().Add(wait); ; {
		h := s.usableHub()
		if h == nil || h.Revisions[name].Version == 0 {
			return s.storeChanges(ctx, t, name, after, wait)
		}
		t.fromHub = true
		if h.Revisions[name].LastChange > after {
			if page, err := s.fetch(ctx, h, name, after); err == nil {
				return page, nil
			}
			continue
		}
		if left := until.Sub(s.Clock.Now()); left > 0 && ctx.Err() == nil {
			s.waitForReport(ctx, left)
			continue
		}
		// The hub's copy has no change since, up to its version.
		page := chivefollow.Page{Version: max(after, h.Revisions[name].Version)}
		t.journal.Apply(page)
		s.clearFailure(t)
		return page, ctx.Err()
	}
}

// storeChanges reads changes from the store.
func (s *Source) storeChanges(ctx context.Context, t *table, name string, after int64, wait time.Duration) (chivefollow.Page, error) {
	if err := s.waitForTurn(ctx, t); err != nil {
		return chivefollow.Page{}, err
	}
	if err := chiveclock.Sleep(ctx, min(t.pausedUntil.Sub(s.Clock.Now()), wait)); err != nil {
		return chivefollow.Page{}, err
	}
	if t.fromHub && name == s.LivenessTable {
		// What the hub knew may be old, and peers wait to learn whom to rely on.
		wait = 0
	}
	t.fromHub = false
	page, err := s.Store.Changes(ctx, name, after, wait)
	if err == nil && len(page.Rows) > 0 {
		t.pausedUntil = s.Clock.Now().Add(s.CoalesceDelays[name])
	}
	return page, s.recordStoreCall(t, name, page, err)
}

// waitForTurn returns an error while the store is better asked by other members.
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
			return Error.New("store did not answer %v ago, and no hub does: %v", s.Clock.Since(failed).Round(time.Millisecond), err)
		}
	}
	return nil
}

// recordStoreCall keeps the outcome of a call to the store.
func (s *Source) recordStoreCall(t *table, name string, page chivefollow.Page, err error) error {
	if errors.Is(err, chivefollow.ErrCompacted) {
		return err
	}
	if err == nil && len(page.Rows) > 0 {
		// Members learn of it once it is in the journal.
		defer s.OnChange()
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		t.failedAt = now
		return err
	}
	if t.failedAt != 0 {
		t.failedAt, page.Recovered = 0, now
	}
	if name == s.LivenessTable {
		s.storeAnsweredAt = now
	}
	t.journal.Apply(page)
	return nil
}

// clearFailure forgets that the store failed: a hub that it answers was found.
func (s *Source) clearFailure(t *table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.failedAt = 0
}

// fetch reads changes from a hub, all rows for a negative version.
func (s *Source) fetch(ctx context.Context, h *Hub, name string, after int64) (chivefollow.Page, error) {
	page, err := s.Replicas.Changes(ctx, h, name, after)
	if err != nil {
		s.Log.Warn("Hub does not answer.", "hub", h.Name, "table", name, "error", err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.failedHub, s.failedHubUntil = h.Name, s.Clock.Now().Add(failedHubBackoff)
		return page, err
	}
	t := s.table(name)
	t.journal.Apply(page)
	s.clearFailure(t)
	return page, nil
}
