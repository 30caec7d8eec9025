package chivehub

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// simulated reads the simulated time of a test.
func simulated() chiveclock.Moment { return chiveclock.Moment(time.Now().UnixNano()) }

// TestChoose names the hub of a zone.
func TestChoose(t *testing.T) {
	tests := []struct {
		give    string
		members []Member
		want    string
	}{
		{"nobody", nil, ""},
		{"the first by name", []Member{{Name: "b"}, {Name: "a"}}, "a"},
		{"one that leaves", []Member{{Name: "a", Leaving: true}, {Name: "b"}}, "b"},
		{"one that the store has not answered", []Member{{Name: "a", Answered: -1}, {Name: "b"}}, "b"},
		{"one cut off from the store", []Member{{Name: "a", Answered: 2 * time.Second}, {Name: "b", Answered: time.Second}}, "b"},
		{"a store that is away", []Member{{Name: "a", Answered: 2 * time.Second}, {Name: "b", Answered: -1}}, ""},
	}
	for _, tt := range tests {
		if got := Choose(tt.members); got != tt.want {
			t.Errorf("%s: hub is %q, not %q", tt.give, got, tt.want)
		}
	}
}

// store is a table of the platform's store with a feed.
type store struct {
	mu      sync.Mutex
	rows    map[string]chivefollow.Row
	changes []chivefollow.Row
	version int64
	// forgotten is the version up to which changes are lost.
	forgotten int64
	down      bool
	// turned holds the entry VMs that the store turns away, cut those that it does
	// not answer at all.
	turned, cut map[string]bool
	calls       int
}

// write changes a row, or removes it.
func (s *store) write(key string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := chivefollow.Row{Key: key, Value: []byte(strconv.FormatInt(s.version, 10)), Version: s.version, Removed: removed}
	s.changes = append(s.changes, r)
	if delete(s.rows, key); !removed {
		s.rows[key] = r
	}
}

// access is one entry VM's access to the store.
type access struct {
	store *store
	name  string
}

var errDown = errors.New("store turns this entry VM away")

func (a access) open(ctx context.Context) error {
	a.store.mu.Lock()
	a.store.calls++
	a.store.mu.Unlock()
	return a.state(ctx)
}

func (a access) state(ctx context.Context) error {
	a.store.mu.Lock()
	down, cut := a.store.down || a.store.turned[a.name], a.store.cut[a.name]
	a.store.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errDown
	}
	return nil
}

// Read implements chivefollow.Source.Read.
func (a access) Read(ctx context.Context, _ string) (chivefollow.Page, error) {
	if err := a.open(ctx); err != nil {
		return chivefollow.Page{}, err
	}
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	p := chivefollow.Page{Version: s.version, Snapshot: true, Confirmed: simulated()}
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

// Changes implements chivefollow.Source.Changes.
func (a access) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (chivefollow.Page, error) {
	if err := a.open(ctx); err != nil {
		return chivefollow.Page{}, err
	}
	sent := simulated()
	for until := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if err := a.state(ctx); err != nil {
			return chivefollow.Page{}, err
		}
		p, err := a.since(after)
		if p.Confirmed = sent; err != nil || len(p.Rows) > 0 || !time.Now().Before(until) {
			return p, err
		}
	}
}

func (a access) since(after int64) (chivefollow.Page, error) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten {
		return chivefollow.Page{}, chivefollow.ErrCompacted
	}
	p := chivefollow.Page{Version: s.version}
	for _, r := range s.changes {
		if r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// vm is an entry VM of the zone under test.
type vm struct {
	zone   *simZone
	name   string
	source *Source
	mu     sync.Mutex
	got    map[string]chivefollow.Row
	// reports holds what it last heard of each member, and when.
	reports map[string]simReport
}

type simReport struct {
	at       time.Time
	answered time.Duration
	marks    map[string]Mark
}

// simZone is a zone of entry VMs that follow one table.
type simZone struct {
	store *store
	vms   map[string]*vm
	// frozen entry VMs neither report nor answer.
	frozen map[string]bool
	mu     sync.Mutex
}

const tableName = "table"

// silence is how long after its last report a member counts as gone, period the
// time between two reports.
const (
	silence = 1200 * time.Millisecond
	period  = 250 * time.Millisecond
)

func (v *vm) members() []Member {
	list := []Member{{Name: v.name, Answered: v.source.Answered()}}
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, r := range v.reports {
		if since := time.Since(r.at); since < silence && r.answered >= 0 {
			list = append(list, Member{Name: name, Answered: r.answered + since})
		} else if since < silence {
			list = append(list, Member{Name: name, Answered: -1})
		}
	}
	return list
}

// Hub implements Zone.Hub.
func (v *vm) Hub() *Hub {
	name := Choose(v.members())
	if name == "" || name == v.name {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return &Hub{Name: name, Marks: v.reports[name].marks}
}

// Place implements Zone.Place.
func (v *vm) Place() int { return Place(v.name, v.members()) }

// Changes implements Copies.Changes.
func (v *vm) Changes(ctx context.Context, hub *Hub, table string, after int64) (chivefollow.Page, error) {
	if v.zone.isFrozen(hub.Name) {
		<-ctx.Done()
		return chivefollow.Page{}, ctx.Err()
	}
	return v.zone.vms[hub.Name].source.Journal(table).After(after), nil
}

func (z *simZone) isFrozen(name string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.frozen[name]
}

// report tells all others of the state of an entry VM.
func (z *simZone) report(from *vm) {
	r := simReport{at: time.Now(), answered: from.source.Answered(), marks: map[string]Mark{tableName: from.source.Journal(tableName).Mark()}}
	for _, v := range z.vms {
		if v == from {
			continue
		}
		v.mu.Lock()
		v.reports[from.name] = r
		v.mu.Unlock()
		v.source.Notify()
	}
}

// run has an entry VM follow the table until the context ends.
func (v *vm) run(ctx context.Context, started time.Duration) {
	time.Sleep(started)
	f := &chivefollow.Follower{
		Source: v.source, Table: tableName, Log: log.New(io.Discard), Wait: func() time.Duration { return Wait },
		OnUpdate: func(t chivefollow.Table) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.got = maps.Clone(t.Rows)
		},
	}
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	for ctx.Err() == nil {
		if !v.zone.isFrozen(v.name) {
			v.zone.report(v)
		}
		time.Sleep(period)
	}
	running.Wait()
}

// newSimZone returns a zone of entry VMs.
func newSimZone(members int) *simZone {
	z := &simZone{
		store:  &store{rows: map[string]chivefollow.Row{}, turned: map[string]bool{}, cut: map[string]bool{}, version: 1},
		frozen: map[string]bool{}, vms: map[string]*vm{},
	}
	for i := range members {
		v := &vm{zone: z, name: fmt.Sprintf("vm-%02d", i), reports: map[string]simReport{}}
		v.source = &Source{
			Store: access{z.store, v.name}, Copies: v, Zone: v, Confirming: tableName, Announce: func() { z.report(v) },
			Clock: simulated, Log: log.New(io.Discard),
		}
		z.vms[v.name] = v
	}
	return z
}

// within runs the zone in simulated time.
func (z *simZone) within(t *testing.T, draw *rand.Rand, work func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, v := range z.vms {
		started := time.Duration(draw.Int64N(int64(period)))
		running.Go(func() { v.run(ctx, started) })
	}
	work()
	cancel()
	running.Wait()
}

// strike brings trouble over the entry VM that is the hub now, or over another.
func (z *simZone) strike(draw *rand.Rand) (victim string) {
	victim = fmt.Sprintf("vm-%02d", draw.IntN(3))
	z.mu.Lock()
	z.frozen = map[string]bool{}
	kind := draw.IntN(6)
	if kind == 0 {
		z.frozen[victim] = true
	}
	z.mu.Unlock()
	z.store.mu.Lock()
	defer z.store.mu.Unlock()
	z.store.turned, z.store.cut = map[string]bool{victim: kind == 1}, map[string]bool{victim: kind == 2}
	z.store.down = kind == 3
	if kind == 4 {
		z.store.forgotten = z.store.version
	}
	if kind > 3 {
		victim = ""
	}
	return victim
}

// drainBound is how soon after a change every entry VM that reaches the store and
// runs must know it, whatever happens to its hub.
const drainBound = 2 * time.Second

// TestEveryoneKnows changes a table while the hub of a zone stands still, is turned
// away or cut off by the store, and while the store is away or forgets. Entry VMs
// that reach the store know each change in time.
func TestEveryoneKnows(t *testing.T) {
	for seed := range uint64(15) {
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(seed, 21))
			z := newSimZone(6)
			z.within(t, draw, func() {
				time.Sleep(3 * time.Second)
				for round := range 12 {
					victim := z.strike(draw)
					time.Sleep(time.Duration(draw.Int64N(int64(2 * time.Second))))
					z.store.mu.Lock()
					z.store.down = false
					z.store.mu.Unlock()
					for range 1 + draw.IntN(4) {
						z.store.write(strconv.Itoa(draw.IntN(8)), draw.IntN(3) == 0)
					}
					time.Sleep(drainBound)
					z.check(t, fmt.Sprintf("seed %d, round %d, trouble at %q", seed, round, victim), victim)
				}
			})
		})
	}
}

// check compares the copies with the table.
func (z *simZone) check(t *testing.T, when, victim string) {
	t.Helper()
	z.store.mu.Lock()
	defer z.store.mu.Unlock()
	for name, v := range z.vms {
		if name == victim {
			continue
		}
		v.mu.Lock()
		if !maps.EqualFunc(v.got, z.store.rows, func(a, b chivefollow.Row) bool { return a.Version == b.Version }) {
			t.Errorf("%s: %s has %d rows that differ from the table's %d", when, name, len(v.got), len(z.store.rows))
		}
		v.mu.Unlock()
	}
}

// TestCalls answers a pattern of load: a zone that grows, with a change of a table
// each second and an outage. The calls to the store are those of the hub; when all
// followed the store they grew with the entry VMs.
func TestCalls(t *testing.T) {
	calls := func(members int) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			draw := rand.New(rand.NewPCG(1, 22))
			z := newSimZone(members)
			z.within(t, draw, func() {
				time.Sleep(3 * time.Second)
				z.store.calls = 0
				for second := range 20 {
					z.store.mu.Lock()
					z.store.down = second >= 8 && second < 14
					z.store.mu.Unlock()
					z.store.write("a", false)
					time.Sleep(time.Second)
				}
				n = z.store.calls
			})
		})
		return n
	}
	few, many := calls(3), calls(40)
	t.Logf("20 s with an outage of 6 s: %d calls of 3 entry VMs, %d of 40", few, many)
	// Each member asks the store for itself once the outage begins, and once in
	// patience from then on, until the hub is back.
	if limit := few + 40*(2+int(6*time.Second/patience)+1); many > limit {
		t.Errorf("%d calls are more than %d", many, limit)
	}
}

// TestJournal compares what a journal tells after any version with the table.
func TestJournal(t *testing.T) {
	for seed := range uint64(40) {
		draw := rand.New(rand.NewPCG(seed, 23))
		s := &store{rows: map[string]chivefollow.Row{}, version: 1}
		j := &Journal{}
		a := access{store: s}
		read, err := a.Read(t.Context(), tableName)
		if err != nil {
			t.Fatal(err)
		}
		j.Take(read)
		// copies are those of members that were last told at some version.
		copies := map[int64]map[string]chivefollow.Row{s.version: maps.Clone(s.rows)}
		for range 60 {
			for range 1 + draw.IntN(3) {
				s.write(strconv.Itoa(draw.IntN(400)), draw.IntN(2) == 0)
			}
			page, err := a.since(j.Mark().Version)
			if err != nil {
				t.Fatal(err)
			}
			if draw.IntN(10) == 0 {
				page, _ = a.Read(t.Context(), tableName)
			}
			j.Take(page)
			copies[s.version] = maps.Clone(s.rows)
			for version, rows := range copies {
				if j.Mark().Changed <= version {
					continue
				}
				got := maps.Clone(rows)
				told := j.After(version)
				if told.Snapshot {
					got = map[string]chivefollow.Row{}
				}
				for _, r := range told.Rows {
					if delete(got, r.Key); !r.Removed {
						got[r.Key] = r
					}
				}
				if !maps.EqualFunc(got, s.rows, func(a, b chivefollow.Row) bool { return a.Version == b.Version }) {
					t.Fatalf("seed %d: after version %d a member has %d rows, the table %d", seed, version, len(got), len(s.rows))
				}
			}
		}
	}
}
