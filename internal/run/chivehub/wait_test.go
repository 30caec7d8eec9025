package chivehub

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// soloZone implements Zone for an entry VM that is the only one of its zone.
type soloZone struct{}

func (soloZone) Hub() *Hub     { return nil }
func (soloZone) Position() int { return 0 }

const (
	// slowTable is a table whose calls wait longer than those of tableName.
	slowTable     = "slow"
	slowTableWait = 15 * time.Second
)

// followedTable is what a follower has last seen of a table.
type followedTable struct {
	mu   sync.Mutex
	era  int64
	rows int
}

// get returns the era and the number of rows.
func (f *followedTable) get() (era int64, rows int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era, f.rows
}

// set is called with each new replica.
func (f *followedTable) set(t chivefollow.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era, f.rows = t.Era, len(t.Rows)
}

// followTables follows tableName and slowTable, or slowTable alone, until the context
// ends, and returns what is seen of slowTable.
func followTables(ctx context.Context, running *sync.WaitGroup, store *fakeStore, alone bool) *followedTable {
	source := &Source{
		Store: storeAccess{store, "vm"}, Zone: soloZone{}, LivenessTable: tableName, OnChange: func() {},
		Clock: simulatedNow, Log: log.New(io.Discard),
	}
	seen := &followedTable{}
	follow := func(name string, wait time.Duration, update func(chivefollow.Table)) {
		f := &chivefollow.Follower{Source: source, Table: name, Log: log.New(io.Discard), Wait: func() time.Duration { return wait }, OnUpdate: update}
		running.Go(func() { _ = f.Run(ctx) })
	}
	follow(slowTable, slowTableWait, seen.set)
	if !alone {
		follow(tableName, LongPollWait, func(chivefollow.Table) {})
	}
	return seen
}

// TestWaitsEnd checks that a table whose call to the store waits for 15 s is up to date
// soon after a call for another table has shown that the wait is in vain. It guards
// against runners and entry VMs that are out of date for as long as the wait. The naive
// twin follows the slow table alone.
func TestWaitsEnd(t *testing.T) {
	tests := []struct {
		give   string
		happen func(*fakeStore)
		// reached reports whether the slow table is up to date.
		reached func(*followedTable) bool
		within  time.Duration
	}{
		{"all connections go silent", func(s *fakeStore) {
			s.silence()
			s.write("new", false)
		}, func(f *followedTable) bool {
			_, rows := f.get()
			return rows == 1
		}, 2 * time.Second},
		{"all connections go silent while calls for another table fail", func(s *fakeStore) {
			s.setSilentFor("vm", tableName, true)
			time.Sleep(3 * time.Second)
			s.silence()
			time.Sleep(2 * time.Second)
			s.setSilentFor("vm", tableName, false)
			s.write("new", false)
		}, func(f *followedTable) bool {
			_, rows := f.get()
			return rows == 1
		}, 2 * time.Second},
		{"the store returns from an older copy that lacks no version", func(s *fakeStore) {
			s.keepCopy()
			s.returnFromCopy()
		}, func(f *followedTable) bool {
			era, _ := f.get()
			return era == 2
		}, time.Second},
	}
	for _, tt := range tests {
		for _, alone := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				store := &fakeStore{rows: map[string]chivefollow.Row{}, version: 1, era: 1}
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				seen := followTables(ctx, &running, store, alone)
				// Both tables have a call in progress.
				time.Sleep(2*LongPollWait + LongPollWait/2)
				tt.happen(store)
				start := time.Now()
				for !tt.reached(seen) && time.Since(start) < 2*slowTableWait {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(start); alone && took < slowTableWait/2 || !alone && took > tt.within {
					t.Errorf("%s, alone %t: up to date after %v, want %v", tt.give, alone, took, tt.within)
				}
				cancel()
				running.Wait()
			})
		}
	}
}

// TestCausesOfEndedWaits guards against a suspension that the log does not name, since a call
// that failed as the process woke has ended the waits already.
func TestCausesOfEndedWaits(t *testing.T) {
	const failed, suspended = "a call was not answered", "this process was suspended"
	tests := []struct {
		give string
		end  func(*Source)
		want []string
	}{
		{"a suspension", func(s *Source) { s.EndWaits(suspended) }, []string{suspended}},
		{"a failed call before a suspension is noticed", func(s *Source) {
			s.endWaits(failed)
			s.EndWaits(suspended)
		}, []string{failed, suspended}},
		{"two failed calls", func(s *Source) {
			s.endWaits(failed)
			s.endWaits(failed)
		}, []string{failed}},
	}
	for _, tt := range tests {
		var out bytes.Buffer
		s := &Source{Log: log.New(&out)}
		s.currentWaits()
		tt.end(s)
		for _, w := range tt.want {
			if n := strings.Count(out.String(), w); n != 1 {
				t.Errorf("%s: %q is logged %d times, want once:\n%s", tt.give, w, n, out.String())
			}
		}
	}
}
