package chivegateway

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveroute"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// A fleet is what a gateway knows of the endpoints. Traffic goroutines read the
// published snapshot and count in it with atomics.
type fleet struct {
	zone     string
	snapshot atomic.Pointer[fleetSnapshot]
	scratch  sync.Pool
}

// fleetSnapshot is the fleet under one configuration.
type fleetSnapshot struct {
	config    *chiveconf.Config
	endpoints []*endpoint
}

// endpoint is what a gateway knows of one endpoint.
type endpoint struct {
	sheet   chivesheet.Endpoint
	hash    uint64
	far     bool
	open    bool
	sent    *atomic.Int64
	report  *atomic.Pointer[report]
	blocked *atomic.Int64
}

// report is the last load that an endpoint stated.
type report struct {
	load chivelink.Load
	at   time.Time
	sent int64
}

// take puts a configuration into use. What is known of endpoints that stay is
// kept.
func (f *fleet) take(config *chiveconf.Config) {
	known := map[string]*endpoint{}
	if old := f.snapshot.Load(); old != nil {
		for _, e := range old.endpoints {
			known[e.sheet.Name] = e
		}
	}
	next := &fleetSnapshot{config: config, endpoints: make([]*endpoint, 0, len(config.Sheet.Endpoints))}
	for i := range config.Sheet.Endpoints {
		next.endpoints = append(next.endpoints, f.endpoint(config, &config.Sheet.Endpoints[i], known))
	}
	f.snapshot.Store(next)
}

func (f *fleet) endpoint(config *chiveconf.Config, s *chivesheet.Endpoint, known map[string]*endpoint) *endpoint {
	e := &endpoint{
		sheet: *s, hash: chiveroute.HashEndpoint(s.Name), far: s.Zone != f.zone, open: config.AcceptsWork(s),
		sent: new(atomic.Int64), report: new(atomic.Pointer[report]), blocked: new(atomic.Int64),
	}
	if old, ok := known[s.Name]; ok && old.sheet.Agent == s.Agent {
		e.sent, e.report, e.blocked = old.sent, old.report, old.blocked
	}
	return e
}

// pick returns the endpoint for a request among those at the positions, or nil.
func (s *fleetSnapshot) pick(f *fleet, positions []int, tried []*endpoint, prefix uint64) *endpoint {
	views, _ := f.scratch.Get().(*[]chiveroute.Candidate)
	if views == nil {
		views = new([]chiveroute.Candidate)
	}
	defer f.scratch.Put(views)
	*views = (*views)[:0]
	for _, i := range positions {
		*views = append(*views, s.endpoints[i].view(tried))
	}
	i := chiveroute.Pick(*views, prefix, time.Now(), source{})
	if i < 0 {
		return nil
	}
	return s.endpoints[positions[i]]
}

// source is the generator of math/rand/v2 that all goroutines may use.
type source struct{}

// Uint64 implements chiveroute.Source.Uint64.
func (source) Uint64() uint64 {
	return rand.Uint64()
}

func (e *endpoint) view(tried []*endpoint) chiveroute.Candidate {
	v := chiveroute.Candidate{Hash: e.hash, Excluded: !e.open, CrossZone: e.far, Limit: e.sheet.Cold, UnreportedRequests: int(e.sent.Load())}
	for _, t := range tried {
		v.Excluded = v.Excluded || t.sheet.Name == e.sheet.Name
	}
	if until := e.blocked.Load(); until != 0 {
		v.BlockedUntil = time.Unix(0, until)
	}
	if r := e.report.Load(); r != nil {
		v.Limit = r.load.Limit
		v.ReportedRequests = r.load.Running + r.load.Waiting
		v.ReportTime = r.at
		v.UnreportedRequests = int(max(0, e.sent.Load()-r.sent))
	}
	return v
}

// take notes a load that came with an answer.
func (e *endpoint) take(l *chivelink.Load) {
	if l != nil {
		e.report.Store(&report{load: *l, at: time.Now(), sent: e.sent.Load()})
	}
}

// block passes the endpoint over for a while.
func (e *endpoint) block(d time.Duration) {
	e.blocked.Store(time.Now().Add(d).UnixNano())
}
