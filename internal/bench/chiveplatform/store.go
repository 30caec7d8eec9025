// Package chiveplatform implements a small stand-in of the users' platform: its
// store, runners and operators, with faults, for tests, the demo and the soak.
package chiveplatform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/platform"
)

// A StoreFault is what is wrong with the store.
type StoreFault uint8

// The faults of the store.
const (
	// StoreHealthy means that nothing is wrong.
	StoreHealthy StoreFault = iota
	// StoreBusy answers every call with 503.
	StoreBusy
	// StoreSilent answers no call.
	StoreSilent
	// StoreLossy carries out calls and loses a third of the answers.
	StoreLossy
	// StoreSlow takes a second longer for each call.
	StoreSlow
)

const (
	// feedPollInterval is how often a waiting call looks for changes.
	feedPollInterval = 10 * time.Millisecond
	// lostAnswerFraction is the part of answers that a lossy store loses.
	lostAnswerFraction = 0.33
	// slowDelay is how much longer a slow store takes.
	slowDelay = time.Second
)

// A Store is the platform's store in memory.
type Store struct {
	mu          sync.Mutex
	tables      map[string]map[string]platform.Row
	changes     []platform.Row
	version     int64
	droppedUpTo int64
	fault       StoreFault
}

// NewStore returns a new Store without rows.
func NewStore() *Store {
	return &Store{tables: map[string]map[string]platform.Row{}}
}

// SetFault sets what is wrong from now on.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DropHistory drops the history of changes.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes, s.droppedUpTo = nil, s.version
}

// Put writes a row as an operator or a runner does.
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

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(platform.Row{Table: table, Key: key})
}

func (s *Store) put(r platform.Row) {
	if s.tables[r.Table] == nil {
		s.tables[r.Table] = map[string]platform.Row{}
	}
	r.Version, r.Removed = s.version, false
	s.tables[r.Table][r.Key] = r
	s.changes = append(s.changes, r)
}

func (s *Store) remove(r platform.Row) {
	delete(s.tables[r.Table], r.Key)
	r.Version, r.Removed, r.Value = s.version, true, nil
	s.changes = append(s.changes, r)
}

// ServeHTTP implements http.Handler.
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
	switch r.URL.Path {
	case "/-/rows-tx":
		s.transact(w, r, fault == StoreLossy && rand.Float64() < lostAnswerFraction)
	case "/-/rows-get":
		s.get(w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request, lost bool) {
	var c platform.Transaction
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status := s.apply(&c)
	if lost {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	p := platform.Page{Version: s.version}
	s.mu.Unlock()
	writePage(w, status, &p)
}

// apply carries a transaction out where its conditions hold.
func (s *Store) apply(c *platform.Transaction) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range c.Conditions {
		if s.tables[k.Table][k.Key].Version != k.Version {
			return http.StatusPreconditionFailed
		}
	}
	s.version++
	for _, r := range c.Put {
		s.put(r)
	}
	for _, r := range c.Remove {
		s.remove(r)
	}
	return http.StatusOK
}

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
	for until := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(feedPollInterval) {
		p, ok := s.changesSince(q.Get("table"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(p.Rows) > 0 || time.Now().After(until) || r.Context().Err() != nil {
			writePage(w, http.StatusOK, p)
			return
		}
	}
}

// changesSince returns the changes of a table after a version, or false where they are
// forgotten.
func (s *Store) changesSince(table string, after int64) (*platform.Page, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.droppedUpTo {
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

func writePage(w http.ResponseWriter, status int, p *platform.Page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller notices an answer that is cut.
	_ = json.NewEncoder(w).Encode(p)
}
