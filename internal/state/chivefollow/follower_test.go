package chivefollow

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// fakeStore is a naive table with a feed that fails, forgets and is slow.
type fakeStore struct {
	mu      sync.Mutex
	rng     *rand.Rand
	rows    map[string]Row
	changes []Row
	// compacted is the version up to which changes are lost.
	compacted    int64
	version      int64
	down         bool
	unresponsive bool
}

func (s *fakeStore) write(key string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := Row{Key: key, Value: []byte(strconv.FormatInt(s.version, 10)), Version: s.version, Removed: removed}
	s.changes = append(s.changes, r)
	if removed {
		delete(s.rows, key)
		return
	}
	s.rows[key] = r
}

func (s *fakeStore) injectFault(ctx context.Context) error {
	s.mu.Lock()
	down, silent := s.down, s.unresponsive
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errors.New("store is down")
	}
	return nil
}

// Read implements Source.Read.
func (s *fakeStore) Read(ctx context.Context, _ string) (Page, error) {
	if err := s.injectFault(ctx); err != nil {
		return Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Page{Version: s.version, Snapshot: true}
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

// Changes implements Source.Changes.
func (s *fakeStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (Page, error) {
	for until := time.Now().Add(wait); ; {
		if err := s.injectFault(ctx); err != nil {
			return Page{}, err
		}
		p, err := s.changesAfter(after)
		if err != nil || len(p.Rows) > 0 || time.Now().After(until) {
			return p, err
		}
		select {
		case <-ctx.Done():
			return Page{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (s *fakeStore) changesAfter(after int64) (Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return Page{}, ErrCompacted
	}
	p := Page{Version: s.version}
	for _, r := range s.changes {
		if r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// TestFollow follows a table through outages, silence and lost history, and
// compares the copy with the table after each calm.
func TestFollow(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { testFollow(t, seed) })
	}
}

func testFollow(t *testing.T, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 9))
	s := &fakeStore{rng: draw, rows: map[string]Row{}}
	var mu sync.Mutex
	got := Table{}
	f := &Follower{
		Source: s, Table: "t", Log: log.New(io.Discard), Wait: func() time.Duration { return time.Second },
		OnUpdate: func(table Table) {
			mu.Lock()
			defer mu.Unlock()
			got = Table{Rows: maps.Clone(table.Rows), Confirmed: table.Confirmed, Recovered: table.Recovered}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	defer running.Wait()
	defer cancel()
	for range 12 {
		s.setFault(draw.IntN(4))
		for range draw.IntN(30) {
			s.write(strconv.Itoa(draw.IntN(12)), draw.IntN(3) == 0)
			time.Sleep(time.Duration(draw.IntN(60)) * time.Millisecond)
		}
		s.setFault(0)
		time.Sleep(5 * time.Second)
		mu.Lock()
		s.mu.Lock()
		if !maps.EqualFunc(got.Rows, s.rows, func(a, b Row) bool { return a.Version == b.Version }) {
			t.Errorf("seed %d: copy is %v, table %v", seed, got.Rows, s.rows)
		}
		s.mu.Unlock()
		mu.Unlock()
	}
}

// setFault sets what is wrong with the store: nothing, down, silent or forgetful.
func (s *fakeStore) setFault(kind int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.unresponsive = kind == 1, kind == 2
	if kind == 3 {
		s.compacted = s.version
	}
}
