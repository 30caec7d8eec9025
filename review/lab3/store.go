package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// page is an answer of the store about rows.
type page struct {
	Rows    []row `json:"rows"`
	HasMore bool  `json:"has-more"`
	Version int64 `json:"ver"`
	NowMS   int64 `json:"now-ms"`
}

// store is a stand-in for the platform's metadata store, by PROTOCOL.md. Each machine reaches it through
// a port of its own, so that it can be unavailable to some.
type store struct {
	mu      sync.Mutex
	tables  map[string]map[string]row
	changes []row
	version int64
	// silent holds the ports at which no call is answered; "" stands for all of them.
	silent  map[string]bool
	started time.Time
	// era counts how often the store has returned from an older copy.
	era int
}

func newStore() *store {
	return &store{tables: map[string]map[string]row{}, silent: map[string]bool{}, started: time.Now(), era: 1}
}

// setSilent makes the store answer no call at a port, or all ports if it is empty, or answer again.
func (s *store) setSilent(port string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[port] = silent
}

func (s *store) isSilent(port string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent[port] || s.silent[""]
}

// put writes a row with the JSON of a value, as the operator and the runners do.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.putRaw(table, key, data)
}

func (s *store) putRaw(table, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: data})
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.drop(row{Table: table, Key: key})
}

func (s *store) set(r row) {
	if s.tables[r.Table] == nil {
		s.tables[r.Table] = map[string]row{}
	}
	r.Version, r.Removed = s.version, false
	s.tables[r.Table][r.Key] = r
	s.changes = append(s.changes, r)
}

func (s *store) drop(r row) {
	if _, ok := s.tables[r.Table][r.Key]; !ok {
		return
	}
	delete(s.tables[r.Table], r.Key)
	r.Version, r.Removed, r.Value = s.version, true, nil
	s.changes = append(s.changes, r)
}

// storeCopy is what the store held at some moment.
type storeCopy struct {
	tables  map[string]map[string]row
	changes []row
	version int64
}

// copy returns a copy of the store.
func (s *store) copy() *storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &storeCopy{tables: map[string]map[string]row{}, changes: slices.Clone(s.changes), version: s.version}
	for name, rows := range s.tables {
		c.tables[name] = maps.Clone(rows)
	}
	return c
}

// returnFrom makes the store return from a copy.
func (s *store) returnFrom(c *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables, s.changes, s.version = c.tables, c.changes, c.version
	s.era++
}

// listen serves the store at an address until the end of the program.
func (s *store) listen(addr string) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(addr, w, r) })}
	go func() { _ = server.Serve(l) }()
	return nil
}

// serve answers a call that came through a port.
func (s *store) serve(port string, w http.ResponseWriter, r *http.Request) {
	if s.isSilent(port) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, q.Get("table"), q.Get("from"), q.Get("to"))
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait-ms"))
		s.feed(port, w, r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, p *page) {
	p.NowMS = time.Since(s.started).Milliseconds()
	if p.Rows == nil {
		p.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) get(w http.ResponseWriter, table, from, to string) {
	s.mu.Lock()
	p := &page{Version: s.version}
	for key, r := range s.tables[table] {
		if key >= from && (to == "" || key < to) {
			p.Rows = append(p.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, k int) bool { return p.Rows[i].Key < p.Rows[k].Key })
	s.answer(w, http.StatusOK, p)
}

func (s *store) feed(port string, w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if s.isSilent(port) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		s.mu.Lock()
		p, known := &page{Version: s.version}, after <= s.version
		for _, c := range s.changes {
			if c.Version > after && c.Table == table {
				p.Rows = append(p.Rows, c)
			}
		}
		s.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(p.Rows) > 0 || time.Now().After(end) || r.Context().Err() != nil {
			s.answer(w, http.StatusOK, p)
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected-revision"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	status := http.StatusOK
	if slices.ContainsFunc(t.Expected, func(e row) bool { return s.tables[e.Table][e.Key].Version != e.Version }) {
		status = http.StatusPreconditionFailed
	} else {
		s.version++
		for _, r := range t.Put {
			s.set(r)
		}
		for _, r := range t.Remove {
			s.drop(r)
		}
	}
	p := &page{Version: s.version}
	s.mu.Unlock()
	s.answer(w, status, p)
}
