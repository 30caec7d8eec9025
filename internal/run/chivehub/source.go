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
	// lookPeriod is the time between two looks at the hub when it does not report.
	lookPeriod = 250 * time.Millisecond
	// avoidTime is how long a hub that did not answer is passed over.
	avoidTime = time.Second
	// probers is the number of members of a zone that go on asking a store which
	// does not answer; the others ask once in patience.
	probers  = 2
	patience = 3 * time.Second
)

// A Hub is what a member knows of the entry VM that follows the store for it.
type Hub struct {
	Name string
	// Addr is where it serves its copies.
	Addr string
	// Marks tell how new its copies are, by table.
	Marks map[string]Mark
}

// Copies reads the copies of hubs.
type Copies interface {
	// Changes returns what changed in a hub's copy after a version.
	Changes(ctx context.Context, hub *Hub, table string, after int64) (chivefollow.Page, error)
}

// A Zone is the view of the entry VMs of a zone.
type Zone interface {
	// Hub returns the hub, or nil where this entry VM follows the store itself.
	Hub() *Hub
	// Place returns how many members come before this entry VM.
	Place() int
}

// A Source implements chivefollow.Source. It reads from the zone's hub or, where
// there is none to rely on, from the store, and keeps journals for the case that
// this entry VM is the hub. It is safe for concurrent use.
type Source struct {
	Store  chivefollow.Source
	Copies Copies
	Zone   Zone
	// Confirming is the table whose calls show that the store answers.
	Confirming string
	// Pauses hold how long changes of a table gather before the store is asked for
	// more, so that one call brings many.
	Pauses map[string]time.Duration
	// Announce is called when a table has changed at the store.
	Announce func()
	// Clock is the VM's.
	Clock chiveclock.Clock
	Log   *log.Logger

	mu       sync.Mutex
	tables   map[string]*table
	answered chiveclock.Moment
	avoided  string
	avoid    chiveclock.Moment
	news     chan struct{}
}

// table is the state of one table.
type table struct {
	journal Journal
	// failed is when the store last failed, 0 where its last call succeeded.
	failed chiveclock.Moment
	// rest is the moment before which the store is not asked for changes.
	rest chiveclock.Moment
	// relied says that the last page came from a hub.
	relied bool
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

// Answered returns how long ago the store last answered this entry VM; negative
// where it did not, or does not answer for every table.
func (s *Source) Answered() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tables {
		if t.failed != 0 {
			return -1
		}
	}
	return s.Clock.Age(s.answered)
}

// Notify tells that the hub has reported.
func (s *Source) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.news != nil {
		close(s.news)
		s.news = nil
	}
}

// look waits for the hub's next report, but for a short time only.
func (s *Source) look(ctx context.Context, atMost time.Duration) {
	s.mu.Lock()
	if s.news == nil {
		s.news = make(chan struct{})
	}
	news := s.news
	s.mu.Unlock()
	timer := time.NewTimer(min(atMost, lookPeriod))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-news:
	case <-timer.C:
	}
}

// hub returns the hub to rely on, or nil.
func (s *Source) hub() *Hub {
	h := s.Zone.Hub()
	s.mu.Lock()
	defer s.mu.Unlock()
	if h != nil && h.Name == s.avoided && s.Clock.Now() < s.avoid {
		return nil
	}
	return h
}

// Read implements chivefollow.Source.Read.
func (s *Source) Read(ctx context.Context, name string) (chivefollow.Page, error) {
	t := s.table(name)
	if err := s.bePatient(ctx, t); err != nil {
		return chivefollow.Page{}, err
	}
	if h := s.hub(); h != nil && h.Marks[name].Version > 0 {
		if page, err := s.pull(ctx, h, name, -1); err == nil {
			return page, nil
		}
	}
	page, err := s.Store.Read(ctx, name)
	return page, s.note(t, name, page, err)
}

// Changes implements chivefollow.Source.Changes.
func (s *Source) Changes(ctx context.Context, name string, after int64, wait time.Duration) (chivefollow.Page, error) {
	t := s.table(name)
	for until := s.Clock.Now().Add(wait); ; {
		h := s.hub()
		if h == nil || h.Marks[name].Version == 0 {
			return s.ask(ctx, t, name, after, wait)
		}
		t.relied = true
		if h.Marks[name].Changed > after {
			if page, err := s.pull(ctx, h, name, after); err == nil {
				return page, nil
			}
			continue
		}
		if left := until.Sub(s.Clock.Now()); left > 0 && ctx.Err() == nil {
			s.look(ctx, left)
			continue
		}
		// The hub's copy has no change since, up to its version.
		page := chivefollow.Page{Version: max(after, h.Marks[name].Version)}
		t.journal.Take(page)
		s.clear(t)
		return page, ctx.Err()
	}
}

// ask reads changes from the store.
func (s *Source) ask(ctx context.Context, t *table, name string, after int64, wait time.Duration) (chivefollow.Page, error) {
	if err := s.bePatient(ctx, t); err != nil {
		return chivefollow.Page{}, err
	}
	if err := chiveclock.Sleep(ctx, min(t.rest.Sub(s.Clock.Now()), wait)); err != nil {
		return chivefollow.Page{}, err
	}
	if t.relied && name == s.Confirming {
		// What the hub knew may be old, and peers wait to learn whom to rely on.
		wait = 0
	}
	t.relied = false
	page, err := s.Store.Changes(ctx, name, after, wait)
	if err == nil && len(page.Rows) > 0 {
		t.rest = s.Clock.Now().Add(s.Pauses[name])
	}
	return page, s.note(t, name, page, err)
}

// bePatient returns an error while the store is better asked by other members.
func (s *Source) bePatient(ctx context.Context, t *table) error {
	s.mu.Lock()
	failed := t.failed
	s.mu.Unlock()
	for failed != 0 && s.Zone.Place() >= probers && s.Clock.Since(failed) < patience {
		if s.hub() != nil {
			return nil
		}
		s.look(ctx, lookPeriod)
		if err := ctx.Err(); err != nil {
			return Error.New("store did not answer %v ago, and no hub does: %v", s.Clock.Since(failed).Round(time.Millisecond), err)
		}
	}
	return nil
}

// note keeps the outcome of a call to the store.
func (s *Source) note(t *table, name string, page chivefollow.Page, err error) error {
	if errors.Is(err, chivefollow.ErrCompacted) {
		return err
	}
	if err == nil && len(page.Rows) > 0 {
		// Members learn of it once it is in the journal.
		defer s.Announce()
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		t.failed = now
		return err
	}
	if t.failed != 0 {
		t.failed, page.Recovered = 0, now
	}
	if name == s.Confirming {
		s.answered = now
	}
	t.journal.Take(page)
	return nil
}

// clear forgets that the store failed: a hub that it answers was found.
func (s *Source) clear(t *table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.failed = 0
}

// pull reads changes from a hub, all rows for a negative version.
func (s *Source) pull(ctx context.Context, h *Hub, name string, after int64) (chivefollow.Page, error) {
	page, err := s.Copies.Changes(ctx, h, name, after)
	if err != nil {
		s.Log.Warn("Hub does not answer.", "hub", h.Name, "table", name, "error", err)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.avoided, s.avoid = h.Name, s.Clock.Now().Add(avoidTime)
		return page, err
	}
	t := s.table(name)
	t.journal.Take(page)
	s.clear(t)
	return page, nil
}
