// Package chiveplatform is a stand-in for the platform on which entry VMs run: its
// store, runners and operators. It can inject faults and serves tests and soak runs.
package chiveplatform

import (
	"bytes"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/platform"
)

// StoreFault is a fault of the store.
type StoreFault uint8

// Faults of the store.
const (
	// StoreHealthy is the absence of a fault.
	StoreHealthy StoreFault = iota
	// StoreBusy makes the store answer every call with status 503.
	StoreBusy
	// StoreSilent makes the store hold every call without an answer.
	StoreSilent
	// StoreLossy makes the store apply transactions and drop lostAnswerFraction of
	// the answers.
	StoreLossy
	// StoreSlow delays every call by slowDelay.
	StoreSlow
	// StoreLate makes the store apply transactions after lateDelay and not answer them.
	StoreLate
)

const (
	// feedPollInterval is the time between two checks of a waiting feed for changes.
	feedPollInterval = 10 * time.Millisecond
	// lostAnswerFraction is the probability that a lossy store drops an answer.
	lostAnswerFraction = 0.33
	// slowDelay is the extra time that a slow store takes for a call.
	slowDelay = time.Second
	// lateDelay is the time after which a late store applies a transaction.
	lateDelay = 4 * time.Second
)

// Store is an in-memory implementation of the platform's store and its HTTP
// interface.
type Store struct {
	mu sync.Mutex
	// tables holds the rows of each table by key.
	tables map[string]map[string]platform.Row
	// changes is the history of changes in ascending order of version, which feeds
	// read.
	changes []platform.Row
	// version is the version of the last change.
	version int64
	// droppedUpTo is the version up to which the history was dropped.
	droppedUpTo int64
	// era counts how often the store has returned from an older copy.
	era   int64
	fault StoreFault
}

// StoreCopy is the content of a store at some moment.
type StoreCopy struct {
	tables               map[string]map[string]platform.Row
	changes              []platform.Row
	version, droppedUpTo int64
}

// NewStore returns an empty Store without a fault.
func NewStore() *Store {
	return &Store{tables: map[string]map[string]platform.Row{}}
}

// IsSystemTable reports whether the load balancer writes a table, whose rows are not
// written again by others when the store has lost them.
func IsSystemTable(table string) bool {
	return table == platform.TableSystem || table == platform.TableLeases
}

// Copy returns a copy of the content.
func (s *Store) Copy() *StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &StoreCopy{tables: map[string]map[string]platform.Row{}, changes: slices.Clone(s.changes), version: s.version, droppedUpTo: s.droppedUpTo}
	for name, rows := range s.tables {
		c.tables[name] = maps.Clone(rows)
	}
	return c
}

// ReturnFrom replaces the content by a copy, which must not be used again, and begins
// the next era. The rows that operators and runners wrote since the copy are written
// again; what others wrote is lost.
func (s *Store) ReturnFrom(c *StoreCopy, own func(table string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.tables
	s.tables, s.changes, s.version, s.droppedUpTo = c.tables, c.changes, c.version, c.droppedUpTo
	s.era++
	for name, rows := range lost {
		if !own(name) {
			s.rewrite(name, rows)
		}
	}
}

// rewrite gives a table the rows that it had before the store returned. The caller
// holds s.mu.
func (s *Store) rewrite(table string, rows map[string]platform.Row) {
	for key, r := range rows {
		if now, ok := s.tables[table][key]; !ok || !bytes.Equal(now.Value, r.Value) {
			s.version++
			s.put(r)
		}
	}
	for key, r := range s.tables[table] {
		if _, ok := rows[key]; !ok {
			s.version++
			s.remove(r)
		}
	}
}

// SetFault replaces the fault of the store.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory deletes the history of changes. Feeds that start at an earlier version
// are answered with status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.droppedUpTo = nil, s.version
}

// Put writes a row with the JSON encoding of a value, as operators and runners do.
func (s *Store) Put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(platform.Row{Table: table, Key: key, Value: data})
	return nil
}

// Remove deletes a row and adds its removal to the history.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(platform.Row{Table: table, Key: key})
}

// put writes a row at the current version. The caller holds s.mu.
func (s *Store) put(r platform.Row) {
	if s.tables[r.Table] == nil {
		s.tables[r.Table] = map[string]platform.Row{}
	}
	r.Version, r.Removed = s.version, false
	s.tables[r.Table][r.Key] = r
	s.changes = append(s.changes, r)
}

// remove deletes a row at the current version. The caller holds s.mu.
func (s *Store) remove(r platform.Row) {
	delete(s.tables[r.Table], r.Key)
	r.Version, r.Removed, r.Value = s.version, true, nil
	s.changes = append(s.changes, r)
}

// ServeHTTP implements http.Handler with the calls rows-tx, rows-get and rows-feed.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch fault {
	case StoreBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case StoreSilent:
		<-r.Context().Done()
		return
	case StoreSlow:
		time.Sleep(slowDelay)
	}
	w = &eraWriter{ResponseWriter: w, store: s}
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r, fault)
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

// eraWriter adds the store's era to the header of an answer.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	w.store.mu.Lock()
	era := w.store.era
	w.store.mu.Unlock()
	w.Header().Set(platform.HeaderEra, strconv.FormatInt(era, 10))
	w.ResponseWriter.WriteHeader(status)
}

// transact serves a transaction. A lossy store may apply it and abort the connection without an
// answer, a late one always does, after lateDelay.
func (s *Store) transact(w http.ResponseWriter, r *http.Request, fault StoreFault) {
	var c platform.Transaction
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if fault == StoreLate {
		time.Sleep(lateDelay)
	}
	status, version := s.apply(&c)
	if fault == StoreLate || fault == StoreLossy && rand.Float64() < lostAnswerFraction {
		panic(http.ErrAbortHandler)
	}
	writePage(w, status, &platform.Page{Version: version})
}

// apply applies a transaction if all its conditions hold, and returns the HTTP
// status and the version of the store after it.
func (s *Store) apply(c *platform.Transaction) (status int, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range c.Conditions {
		if s.tables[k.Table][k.Key].Version != k.Version {
			return http.StatusPreconditionFailed, s.version
		}
	}
	s.version++
	for _, r := range c.Put {
		s.put(r)
	}
	for _, r := range c.Remove {
		s.remove(r)
	}
	return http.StatusOK, s.version
}

// get serves the rows of a table in a range of keys, sorted by key.
func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := platform.Page{Version: s.version}
	for key, row := range s.tables[q.Get("table")] {
		if key >= q.Get("from") && (q.Get("to") == "" || key < q.Get("to")) {
			p.Rows = append(p.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	writePage(w, http.StatusOK, &p)
}

// feed serves the changes of a table after a version. It waits up to wait-ms
// milliseconds for one.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(q.Get("wait-ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(feedPollInterval) {
		p, complete := s.changesSince(q.Get("table"), after)
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(p.Rows) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			writePage(w, http.StatusOK, p)
			return
		}
	}
}

// changesSince returns the changes of a table after a version. It returns false if
// the history does not reach back that far, or the store does not have that version.
func (s *Store) changesSince(table string, after int64) (*platform.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo || after > s.version {
		return nil, false
	}
	p := &platform.Page{Version: s.version}
	for _, r := range s.changes {
		if r.Version > after && r.Table == table {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, true
}

// writePage writes a page as JSON.
func writePage(w http.ResponseWriter, status int, p *platform.Page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client detects a truncated answer.
	_ = json.NewEncoder(w).Encode(p)
}
