// Package chivefollow keeps replicas of the tables of the platform's store and
// updates them from the store's change feed.
package chivefollow

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

// ErrCompacted is returned when the store no longer has the changes after the
// requested version.
var ErrCompacted = errors.New("requested changes are no longer in the store")

// ErrNoAnswer is returned when the store did not answer a call. The store may be
// unavailable, or only the connection that carried the call.
var ErrNoAnswer = errors.New("store has not answered")

// Row holds a key and its value, or the deletion of the key.
type Row struct {
	Key   string `cbor:"key"`
	Value []byte `cbor:"value"`
	// Version is the version of the store at which the row was written.
	Version int64 `cbor:"version"`
	// Removed reports that the row was deleted.
	Removed bool `cbor:"removed,omitempty"`
}

// Position is a point in the history of the store. A store that returned from an
// older copy has lost its last versions and gives their numbers out again, in a later
// era, so that versions of different eras cannot be compared.
type Position struct {
	// Era counts how often the store has returned from an older copy; 0 if the store
	// does not say.
	Era int64
	// Version is the version of the store within the era.
	Version int64
}

// Page holds all rows of a table or the changes after a version.
type Page struct {
	Rows []Row
	// Era is the era of the store that answered.
	Era int64
	// Version is the newest version of the store.
	Version int64
	// Snapshot reports that Rows is the whole table instead of changes.
	Snapshot bool
	// Confirmed is a moment at which the page was up to date, such as the moment
	// when the call was sent; 0 if no such moment is known.
	Confirmed chiveclock.Moment
	// Recovered is the moment at which the store answered again after a failure
	// that the source has seen; 0 if it has seen none.
	Recovered chiveclock.Moment
}

// Source reads tables of the platform's store.
type Source interface {
	// Read returns all rows of a table, with Snapshot set. Its error and that of
	// Changes wrap ErrNoAnswer if the store has not answered.
	Read(ctx context.Context, table string) (Page, error)
	// Changes returns the changes after a position. It waits for the first of them,
	// and returns a page without rows if there is none within the wait. Its error
	// wraps ErrCompacted if the store no longer has these changes. If the page is of
	// another era, its changes are not those after the position.
	Changes(ctx context.Context, table string, after Position, wait time.Duration) (Page, error)
}

const (
	// CallMargin is the time that a call may take beyond its wait for changes.
	CallMargin = 1200 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles
	// with each failure in a row.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Table is a replica of one table.
type Table struct {
	// Rows holds the rows by key. It is immutable, since other goroutines read it.
	Rows map[string]Row
	// Confirmed is the newest moment at which the replica is known to have been up
	// to date; 0 if no such moment is known.
	Confirmed chiveclock.Moment
	// Recovered is the newest moment at which the store answered again after a
	// failure; 0 if no failure was seen.
	Recovered chiveclock.Moment
	// Era is the era of the store to which the rows belong.
	Era int64
	// Restored is the moment at which the store was first seen to have returned from
	// an older copy in this era; 0 if it was not.
	Restored chiveclock.Moment
}

// Follower keeps a replica of one table up to date.
type Follower struct {
	Source Source
	// Table is the name of the table.
	Table string
	// Wait returns how long the next call may wait for a change.
	Wait func() time.Duration
	// OnUpdate receives the replica after every successful call, also if no row
	// has changed. Its map of rows is never changed afterwards.
	OnUpdate func(Table)
	Log      *log.Logger

	table Table
	// version is the version after which the next changes are requested.
	version int64
	// loaded reports that the replica is complete up to version. If it is not, the
	// next call reads the whole table.
	loaded bool
	// failing reports that the last call failed.
	failing bool
	// backoff is the pause after the last failure.
	backoff time.Duration
	// took is how long the last call took.
	took time.Duration
}

// Run follows the table until the context ends. It returns nil.
func (f *Follower) Run(ctx context.Context) error {
	f.table.Rows = map[string]Row{}
	for ctx.Err() == nil {
		err := chiveguard.Call("step of a follower", func() error { return f.step(ctx) })
		chiveguard.Log(f.Log, err)
		if err != nil && ctx.Err() == nil {
			f.backOff(ctx, err)
		}
	}
	return nil
}

// step makes one call, applies the page and passes the replica to OnUpdate. If the
// store no longer has the changes, or has returned from an older copy, the next step
// reads the whole table.
func (f *Follower) step(ctx context.Context) error {
	began := chiveclock.Now()
	page, err := f.call(ctx)
	f.took = chiveclock.Since(began)
	if errors.Is(err, ErrCompacted) {
		f.Log.Warn("Store no longer has the changes, reading the whole table.", "table", f.Table, "after", f.version)
		f.loaded = false
		return nil
	}
	if err != nil {
		return err
	}
	if f.failing {
		f.Log.Info("Store answers again.", "table", f.Table, "version", page.Version)
		f.failing, f.table.Recovered = false, chiveclock.Now()
	}
	f.backoff = 0
	if page.Era < f.table.Era {
		// A late answer from before the store returned.
		return fmt.Errorf("page of era %d is older than the replica of era %d", page.Era, f.table.Era)
	}
	if page.Era > f.table.Era && f.table.Era != 0 {
		f.Log.Warn("Store has returned from an older copy, reading the whole table.", "table", f.Table, "era", page.Era, "version", page.Version, "before", f.version)
		f.table.Restored = chiveclock.Now()
	}
	if page.Era > f.table.Era {
		f.table.Era, f.version, f.loaded = page.Era, 0, false
	}
	if !f.loaded && !page.Snapshot {
		return nil
	}
	f.apply(page)
	f.OnUpdate(f.table)
	return nil
}

// call reads the whole table if it is not loaded, else the changes. After a failure
// it does not wait for changes, so that it shows soon whether the store answers.
func (f *Follower) call(ctx context.Context) (Page, error) {
	wait := time.Duration(0)
	if f.loaded && !f.failing {
		wait = f.Wait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+CallMargin)
	defer cancel()
	if !f.loaded {
		return f.Source.Read(ctx, f.Table)
	}
	return f.Source.Changes(ctx, f.Table, Position{Era: f.table.Era, Version: f.version}, wait)
}

// apply merges a page into the replica.
func (f *Follower) apply(page Page) {
	rows := f.table.Rows
	switch {
	case page.Snapshot:
		rows = make(map[string]Row, len(page.Rows))
		// The rows are those of this version, even if a later one was known: the changes
		// in between are still to come, or were lost by a store that does not say so.
		f.loaded, f.version = true, 0
	case len(page.Rows) > 0:
		rows = maps.Clone(rows)
	}
	for _, r := range page.Rows {
		if r.Removed {
			delete(rows, r.Key)
			continue
		}
		rows[r.Key] = r
	}
	f.table.Rows = rows
	f.version = max(f.version, page.Version)
	f.table.Confirmed = max(f.table.Confirmed, page.Confirmed)
	f.table.Recovered = max(f.table.Recovered, page.Recovered)
}

// backOff logs the first failure in a row and pauses before the next call.
func (f *Follower) backOff(ctx context.Context, err error) {
	if !f.failing {
		f.Log.Warn("Store does not answer.", "table", f.Table, "version", f.version, "took", f.took.Round(time.Millisecond), "error", err)
		f.failing = true
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	_ = chiveclock.Sleep(ctx, f.backoff)
}
