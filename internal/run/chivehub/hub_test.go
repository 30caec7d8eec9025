package chivehub

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// simulatedNow returns the simulated time of a synctest bubble.
func simulatedNow() chiveclock.Moment { return chiveclock.Moment(time.Now().UnixNano()) }

// TestChoose checks which member of a zone is chosen as its hub.
func TestChoose(t *testing.T) {
	tests := []struct {
		give    string
		members []Member
		want    string
	}{
		{"no members", nil, ""},
		{"first by name", []Member{{Name: "b"}, {Name: "a"}}, "a"},
		{"leaving member", []Member{{Name: "a", Leaving: true}, {Name: "b"}}, "b"},
		{"member without an answer of the store", []Member{{Name: "a", SinceStoreAnswer: -1}, {Name: "b"}}, "b"},
		{"member cut off from the store", []Member{{Name: "a", SinceStoreAnswer: 2 * time.Second}, {Name: "b", SinceStoreAnswer: time.Second}}, "b"},
		{"store unavailable", []Member{{Name: "a", SinceStoreAnswer: 2 * time.Second}, {Name: "b", SinceStoreAnswer: -1}}, ""},
	}
	for _, tt := range tests {
		if got := Choose(tt.members); got != tt.want {
			t.Errorf("%s: hub is %q, not %q", tt.give, got, tt.want)
		}
	}
}

// fakeStore is a table of the platform's store with a feed of changes.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]chivefollow.Row
	changes []chivefollow.Row
	version int64
	era     int64
	// older is an earlier content, to which returnFromCopy goes back.
	older func()
	// droppedUpTo is the version up to which the history was dropped.
	droppedUpTo int64
	down        bool
	// silent leaves the calls of all entry VMs without an answer.
	silent bool
	// silentFor holds the entry VMs and tables whose calls get no answer.
	silentFor map[tableOf]bool
	// refused holds the entry VMs whose calls fail at once, unreachable those whose
	// calls get no answer.
	refused, unreachable map[string]bool
	calls                int
	// callsOf counts the calls by entry VM.
	callsOf map[string]int
	// silenced counts the calls of silence.
	silenced int
}

// tableOf is a table as an entry VM calls for it.
type tableOf struct{ vm, table string }

// setSilentFor sets whether the calls of an entry VM for a table get no answer.
func (s *fakeStore) setSilentFor(vm, table string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentFor = map[tableOf]bool{{vm, table}: silent}
}

// silence leaves all calls in progress without an answer.
func (s *fakeStore) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silenced++
}

// silencedSince blocks until the context ends and returns its error if silence was
// called since it returned the given count.
func (s *fakeStore) silencedSince(ctx context.Context, count int) error {
	s.mu.Lock()
	same := s.silenced == count
	s.mu.Unlock()
	if same {
		return nil
	}
	<-ctx.Done()
	return fmt.Errorf("%w: %w", chivefollow.ErrNoAnswer, ctx.Err())
}

// write writes or removes a row.
func (s *fakeStore) write(key string, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := chivefollow.Row{Key: key, Value: fmt.Appendf(nil, "%d/%d", s.era, s.version), Version: s.version, Removed: removed}
	s.changes = append(s.changes, r)
	if delete(s.rows, key); !removed {
		s.rows[key] = r
	}
}

// resetCalls returns the number of calls since it was called last.
func (s *fakeStore) resetCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// keepCopy keeps the content for returnFromCopy.
func (s *fakeStore) keepCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows, changes, version := maps.Clone(s.rows), slices.Clone(s.changes), s.version
	s.older = func() { s.rows, s.changes, s.version = rows, changes, version }
}

// returnFromCopy goes back to the content of keepCopy and begins the next era.
func (s *fakeStore) returnFromCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.older()
	s.droppedUpTo = min(s.droppedUpTo, s.version)
	s.era++
}

// storeAccess implements chivefollow.Source for one entry VM.
type storeAccess struct {
	store *fakeStore
	name  string
}

var errRefused = errors.New("store refuses calls of this entry VM")

// call counts a call to the store and returns the error of checkReachable.
func (a storeAccess) call(ctx context.Context, table string) error {
	a.store.mu.Lock()
	a.store.calls++
	if a.store.callsOf == nil {
		a.store.callsOf = map[string]int{}
	}
	a.store.callsOf[a.name]++
	a.store.mu.Unlock()
	return a.checkReachable(ctx, table)
}

// checkReachable returns an error if the store refuses calls of this entry VM. If the
// store is unreachable, it blocks until the context ends.
func (a storeAccess) checkReachable(ctx context.Context, table string) error {
	a.store.mu.Lock()
	down := a.store.down || a.store.refused[a.name]
	unreachable := a.store.silent || a.store.unreachable[a.name] || a.store.silentFor[tableOf{a.name, table}]
	a.store.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", chivefollow.ErrNoAnswer, ctx.Err())
	}
	if down {
		return errRefused
	}
	return nil
}

// Read implements chivefollow.Source.Read.
func (a storeAccess) Read(ctx context.Context, table string) (chivefollow.Page, error) {
	if err := a.call(ctx, table); err != nil {
		return chivefollow.Page{}, err
	}
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	p := chivefollow.Page{Era: s.era, Version: s.version, Snapshot: true, Confirmed: simulatedNow()}
	for _, r := range s.rows {
		p.Rows = append(p.Rows, r)
	}
	return p, nil
}

// Changes implements chivefollow.Source.Changes.
func (a storeAccess) Changes(ctx context.Context, table string, after chivefollow.Position, wait time.Duration) (chivefollow.Page, error) {
	if err := a.call(ctx, table); err != nil {
		return chivefollow.Page{}, err
	}
	a.store.mu.Lock()
	silenced := a.store.silenced
	a.store.mu.Unlock()
	sent := simulatedNow()
	for until := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		if err := errors.Join(ctx.Err(), a.checkReachable(ctx, table)); err != nil {
			return chivefollow.Page{}, err
		}
		if err := a.store.silencedSince(ctx, silenced); err != nil {
			return chivefollow.Page{}, err
		}
		p, err := a.changesSince(after.Version)
		if p.Confirmed = sent; err != nil || len(p.Rows) > 0 || !time.Now().Before(until) {
			return p, err
		}
	}
}

// changesSince returns the changes after a version, without waiting for one.
func (a storeAccess) changesSince(after int64) (chivefollow.Page, error) {
	s := a.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo || after > s.version {
		return chivefollow.Page{}, chivefollow.ErrCompacted
	}
	p := chivefollow.Page{Era: s.era, Version: s.version}
	for _, r := range s.changes {
		if r.Version > after {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// simVM is an entry VM of the zone under test.
type simVM struct {
	zone   *simZone
	name   string
	source *Source
	mu     sync.Mutex
	// rows holds the rows by table and key.
	rows map[string]map[string]chivefollow.Row
	// reports holds the last report of each other member.
	reports map[string]simReport
}

// simReport is a report as it arrived at another member.
type simReport struct {
	receivedAt       time.Time
	sinceStoreAnswer time.Duration
	revisions        map[string]Revision
}

// simZone is a simulated zone of entry VMs that follow tables of the same content.
type simZone struct {
	// waits holds how long the calls for each table wait for a change.
	waits map[string]time.Duration
	store *fakeStore
	vms   map[string]*simVM
	// frozen entry VMs neither send reports nor serve their replicas.
	frozen map[string]bool
	mu     sync.Mutex
}

const tableName = "table"

// tableWaits holds the waits of a zone that follows a slow table, too.
var tableWaits = map[string]time.Duration{tableName: LongPollWait, slowTable: slowTableWait}

// peerTimeout is how long after its last report a member is considered unavailable.
// reportPeriod is the time between two reports.
const (
	peerTimeout  = 1200 * time.Millisecond
	reportPeriod = 250 * time.Millisecond
)

// members returns the members that the entry VM considers alive, itself among them.
func (v *simVM) members() []Member {
	list := []Member{{Name: v.name, SinceStoreAnswer: v.source.SinceStoreAnswer()}}
	v.mu.Lock()
	defer v.mu.Unlock()
	for name, r := range v.reports {
		if since := time.Since(r.receivedAt); since < peerTimeout && r.sinceStoreAnswer >= 0 {
			list = append(list, Member{Name: name, SinceStoreAnswer: r.sinceStoreAnswer + since})
		} else if since < peerTimeout {
			list = append(list, Member{Name: name, SinceStoreAnswer: -1})
		}
	}
	return list
}

// Hub implements Zone.Hub.
func (v *simVM) Hub() *Hub {
	name := Choose(v.members())
	if name == "" || name == v.name {
		return nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return &Hub{Name: name, Revisions: v.reports[name].revisions}
}

// Position implements Zone.Position.
func (v *simVM) Position() int { return Position(v.name, v.members()) }

// Changes implements Replicas.Changes.
func (v *simVM) Changes(ctx context.Context, hub *Hub, table string, after chivefollow.Position) (chivefollow.Page, error) {
	if v.zone.isFrozen(hub.Name) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		<-ctx.Done()
		return chivefollow.Page{}, ctx.Err()
	}
	return v.zone.vms[hub.Name].source.Journal(table).ChangesSince(after), nil
}

func (z *simZone) isFrozen(name string) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.frozen[name]
}

// broadcastReport sends the state of an entry VM to all others.
func (z *simZone) broadcastReport(from *simVM) {
	r := simReport{receivedAt: time.Now(), sinceStoreAnswer: from.source.SinceStoreAnswer(), revisions: map[string]Revision{}}
	for table := range z.waits {
		r.revisions[table] = from.source.Journal(table).Revision()
	}
	for _, v := range z.vms {
		if v == from {
			continue
		}
		v.mu.Lock()
		v.reports[from.name] = r
		v.mu.Unlock()
		v.source.NotifyReport()
	}
}

// run lets an entry VM follow the tables and send reports until the context ends.
func (v *simVM) run(ctx context.Context, startDelay time.Duration) {
	time.Sleep(startDelay)
	var running sync.WaitGroup
	for table, wait := range v.zone.waits {
		f := &chivefollow.Follower{
			Source: v.source, Table: table, Log: log.New(io.Discard), Wait: func() time.Duration { return wait },
			OnUpdate: func(t chivefollow.Table) {
				v.mu.Lock()
				defer v.mu.Unlock()
				v.rows[table] = maps.Clone(t.Rows)
			},
		}
		running.Go(func() { _ = f.Run(ctx) })
	}
	for ctx.Err() == nil {
		if !v.zone.isFrozen(v.name) {
			v.zone.broadcastReport(v)
		}
		time.Sleep(reportPeriod)
	}
	running.Wait()
}

// newSimZone returns a zone with a number of entry VMs.
func newSimZone(members int) *simZone {
	z := &simZone{
		waits:  map[string]time.Duration{tableName: LongPollWait},
		store:  &fakeStore{rows: map[string]chivefollow.Row{}, refused: map[string]bool{}, unreachable: map[string]bool{}, version: 1, era: 1},
		frozen: map[string]bool{}, vms: map[string]*simVM{},
	}
	for i := range members {
		v := &simVM{zone: z, name: fmt.Sprintf("vm-%02d", i), reports: map[string]simReport{}, rows: map[string]map[string]chivefollow.Row{}}
		v.source = &Source{
			Store: storeAccess{z.store, v.name}, Replicas: v, Zone: v, LivenessTable: tableName, OnChange: func() { z.broadcastReport(v) },
			Clock: simulatedNow, Log: log.New(io.Discard),
		}
		z.vms[v.name] = v
	}
	return z
}

// runDuring runs all entry VMs of the zone while work runs, in simulated time.
func (z *simZone) runDuring(t *testing.T, rng *rand.Rand, work func()) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, v := range z.vms {
		startDelay := time.Duration(rng.Int64N(int64(reportPeriod)))
		running.Go(func() { v.run(ctx, startDelay) })
	}
	work()
	cancel()
	running.Wait()
}

// injectFault ends the last fault and injects a random one, or none. It picks one of the
// first three members by name, among which the hub usually is, and may freeze it, have
// the store refuse it or leave its calls unanswered. It may also take down the store
// for all members or drop its history. It returns the member whose replica may be
// stale, or "".
func (z *simZone) injectFault(rng *rand.Rand) (victim string) {
	victim = fmt.Sprintf("vm-%02d", rng.IntN(3))
	z.mu.Lock()
	z.frozen = map[string]bool{}
	kind := rng.IntN(6)
	if kind == 0 {
		z.frozen[victim] = true
	}
	z.mu.Unlock()
	z.store.mu.Lock()
	defer z.store.mu.Unlock()
	z.store.refused, z.store.unreachable = map[string]bool{victim: kind == 1}, map[string]bool{victim: kind == 2}
	z.store.down = kind == 3
	if kind == 4 {
		z.store.droppedUpTo = z.store.version
	}
	if kind > 3 {
		victim = ""
	}
	return victim
}

// propagationBound is the time within which a change must reach every entry VM that
// runs and reaches the store, regardless of faults of its hub.
const propagationBound = 2 * time.Second

// TestChangesReachEveryEntryVM guards against replicas that stay stale after a fault. A
// table changes while the hub is frozen, refused by the store or cut off from it, and
// after the store was unavailable, dropped its history or returned from an older copy,
// whose versions it gives out again. That holds for all tables, also where a member becomes the
// hub while its call for one of them, from before, is lost. Each change must reach the entry VMs that reach the
// store within propagationBound.
func TestChangesReachEveryEntryVM(t *testing.T) {
	for seed := range uint64(15) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 21))
			z := newSimZone(6)
			z.waits = tableWaits
			z.runDuring(t, rng, func() {
				time.Sleep(3 * time.Second)
				for round := range 12 {
					z.store.keepCopy()
					victim := z.injectFault(rng)
					time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
					z.store.mu.Lock()
					z.store.down = false
					z.store.mu.Unlock()
					z.writeSome(rng)
					if rng.IntN(3) == 0 {
						z.store.returnFromCopy()
						z.writeSome(rng)
					}
					time.Sleep(propagationBound)
					z.checkReplicas(t, fmt.Sprintf("seed %d, round %d, fault at %q", seed, round, victim), victim)
				}
			})
		})
	}
}

// writeSome writes and removes a few rows.
func (z *simZone) writeSome(rng *rand.Rand) {
	for range 1 + rng.IntN(4) {
		z.store.write(strconv.Itoa(rng.IntN(8)), rng.IntN(3) == 0)
	}
}

// checkReplicas compares the replicas with the table, except the victim's.
func (z *simZone) checkReplicas(t *testing.T, when, victim string) {
	t.Helper()
	for _, d := range z.differences(victim) {
		t.Errorf("%s: %s", when, d)
	}
}

// differences names the replicas that differ from the table, except the victim's.
func (z *simZone) differences(victim string) (list []string) {
	z.store.mu.Lock()
	defer z.store.mu.Unlock()
	for name, v := range z.vms {
		if name == victim {
			continue
		}
		v.mu.Lock()
		for table := range z.waits {
			rows := v.rows[table]
			if !maps.EqualFunc(rows, z.store.rows, func(a, b chivefollow.Row) bool { return a.Version == b.Version && string(a.Value) == string(b.Value) }) {
				list = append(list, fmt.Sprintf("%s has %d rows of %s that differ from the table's %d", name, len(rows), table, len(z.store.rows)))
			}
		}
		v.mu.Unlock()
	}
	return list
}

// TestStoreCalls guards against a number of store calls that grows with the zone, as it
// would if every entry VM followed the store. A table changes each second, and the
// store has an outage; apart from the outage only the hub may call the store.
func TestStoreCalls(t *testing.T) {
	calls := func(members int) int {
		n := 0
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 22))
			z := newSimZone(members)
			z.runDuring(t, rng, func() {
				time.Sleep(3 * time.Second)
				z.store.resetCalls()
				for second := range 20 {
					z.store.mu.Lock()
					z.store.down = second >= 8 && second < 14
					z.store.mu.Unlock()
					z.store.write("a", false)
					time.Sleep(time.Second)
				}
				n = z.store.resetCalls()
			})
		})
		return n
	}
	few, many := calls(3), calls(40)
	t.Logf("20 s with an outage of 6 s: %d calls of 3 entry VMs, %d of 40", few, many)
	// Each member calls the store itself when the outage begins, and then once in
	// storeRetryPeriod until a hub is available again.
	if limit := few + 40*(2+int(6*time.Second/storeRetryPeriod)+1); many > limit {
		t.Errorf("%d calls of 40 entry VMs exceed the limit of %d", many, limit)
	}
}

// TestJournal checks that the changes since any version turn a replica of that version
// into the current table.
func TestJournal(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 23))
		s := &fakeStore{rows: map[string]chivefollow.Row{}, version: 1, era: 1}
		j := &Journal{}
		a := storeAccess{store: s}
		read, err := a.Read(t.Context(), tableName)
		if err != nil {
			t.Fatal(err)
		}
		j.Apply(read)
		// replicas holds the table at earlier versions.
		replicas := map[int64]map[string]chivefollow.Row{s.version: maps.Clone(s.rows)}
		for range 60 {
			for range 1 + rng.IntN(3) {
				s.write(strconv.Itoa(rng.IntN(400)), rng.IntN(2) == 0)
			}
			page, err := a.changesSince(j.Revision().Version)
			if err != nil {
				t.Fatal(err)
			}
			if rng.IntN(10) == 0 {
				page, _ = a.Read(t.Context(), tableName)
			}
			j.Apply(page)
			replicas[s.version] = maps.Clone(s.rows)
			for version, rows := range replicas {
				if j.Revision().LastChange <= version {
					continue
				}
				got := maps.Clone(rows)
				changes := j.ChangesSince(chivefollow.Position{Era: s.era, Version: version})
				if changes.Snapshot {
					got = map[string]chivefollow.Row{}
				}
				for _, r := range changes.Rows {
					if delete(got, r.Key); !r.Removed {
						got[r.Key] = r
					}
				}
				if !maps.EqualFunc(got, s.rows, func(a, b chivefollow.Row) bool { return a.Version == b.Version }) {
					t.Fatalf("seed %d: changes since version %d give %d rows that differ from the table's %d", seed, version, len(got), len(s.rows))
				}
			}
		}
	}
}
