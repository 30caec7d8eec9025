// Package chivefollow implements local copies of the platform's tables, kept up
// to date by its feed of changes.
package chivefollow

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// ErrCompacted is returned for changes that the store no longer has.
var ErrCompacted = errors.New("history was dropped")

// A Row is one row of a table.
type Row struct {
	Key   string `cbor:"key"`
	Value []byte `cbor:"value"`
	// Version is that of the change which wrote the row.
	Version int64 `cbor:"version"`
	// Removed marks a row that was deleted.
	Removed bool `cbor:"removed,omitempty"`
}

// A Page is the state or the changes of a table.
type Page struct {
	Rows []Row
	// Version is the newest version of the store.
	Version int64
	// Snapshot says that the rows are the whole table.
	Snapshot bool
	// Confirmed is a moment at which the page was the newest, such as that when
	// the call was sent; 0 where none is known.
	Confirmed chiveclock.Moment
	// Recovered is the moment at which the store answered again after a failure that
	// the source has seen; 0 for none.
	Recovered chiveclock.Moment
}

// A Source reads tables of the platform's store.
type Source interface {
	// Read returns all rows of a table, as a whole page.
	Read(ctx context.Context, table string) (Page, error)
	// Changes returns the changes after a version as soon as there is one, or
	// none after the wait. Its error wraps ErrForgotten where they are lost.
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (Page, error)
}

const (
	// callMargin is how much longer than its wait a call may take.
	callMargin = 1200 * time.Millisecond
	// minBackoff and lastBackoff bound the pause after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// A Table is a complete copy of a table at one moment.
type Table struct {
	Rows map[string]Row
	// Confirmed is the newest moment at which the copy was known to be the newest.
	Confirmed chiveclock.Moment
	// Recovered is the moment at which the store answered again after a failure; 0
	// where it has not failed.
	Recovered chiveclock.Moment
}

// A Follower keeps a copy of one table.
type Follower struct {
	Source Source
	Table  string
	// Wait returns how long the next call waits for a change.
	Wait func() time.Duration
	// OnUpdate takes each new copy; it must not keep the map of rows.
	OnUpdate func(Table)
	Log      *log.Logger

	table   Table
	version int64
	loaded  bool
	failing bool
	backoff time.Duration
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.table.Rows = map[string]Row{}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.backOff(ctx, err)
		}
	}
	return nil
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	page, err := f.call(ctx)
	if errors.Is(err, ErrCompacted) {
		f.Log.Warn("Changes are lost, reading the table again.", "table", f.Table, "after", f.version)
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
	f.apply(page)
	f.OnUpdate(f.table)
	return nil
}

// call reads the whole table the first time and its changes from then on.
func (f *Follower) call(ctx context.Context) (Page, error) {
	wait := time.Duration(0)
	if f.loaded && !f.failing {
		wait = f.Wait()
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callMargin)
	defer cancel()
	if !f.loaded {
		return f.Source.Read(ctx, f.Table)
	}
	return f.Source.Changes(ctx, f.Table, f.version, wait)
}

func (f *Follower) apply(page Page) {
	if page.Snapshot {
		f.table.Rows = make(map[string]Row, len(page.Rows))
		f.loaded = true
	}
	for _, r := range page.Rows {
		if r.Removed {
			delete(f.table.Rows, r.Key)
			continue
		}
		f.table.Rows[r.Key] = r
	}
	f.version = max(f.version, page.Version)
	f.table.Confirmed = max(f.table.Confirmed, page.Confirmed)
	f.table.Recovered = max(f.table.Recovered, page.Recovered)
}

// backOff waits before the next call, longer after each failure in a row.
func (f *Follower) backOff(ctx context.Context, err error) {
	if !f.failing {
		f.Log.Warn("Store does not answer.", "table", f.Table, "version", f.version, "error", err)
		f.failing = true
	}
	f.backoff = min(max(2*f.backoff, minBackoff), maxBackoff)
	_ = chiveclock.Sleep(ctx, f.backoff)
}
