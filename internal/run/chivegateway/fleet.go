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
	zone          string
	snapshot      atomic.Pointer[fleetSnapshot]
	candidatePool sync.Pool
}

// fleetSnapshot is the fleet under one configuration.
type fleetSnapshot struct {
	config    *chiveconf.Config
	endpoints []*endpoint
}

// endpoint is what a gateway knows of one endpoint.
type endpoint struct {
	sheet        chivesheet.Endpoint
	hash         uint64
	inOtherZone  bool
	acceptsWork  bool
	inFlight     *atomic.Int64
	report       *atomic.Pointer[loadReport]
	blockedUntil *atomic.Int64
}

// loadReport is the last load that an endpoint stated.
type loadReport struct {
	load       chivelink.Load
	receivedAt time.Time
	inFlight   int64
}

// applyConfig puts a configuration into use. What is known of endpoints that stay is
// kept.
func (f *fleet) applyConfig(config *chiveconf.Config) {
	known := map[string]*endpoint{}
	if old := f.snapshot.Load(); old != nil {
		for _, e := range old.endpoints {
			known[e.sheet.Name] = e
		}
	}
	next := &fleetSnapshot{config: config, endpoints: make([]*endpoint, 0, len(config.Sheet.Endpoints))}
	for i := range config.Sheet.Endpoints {
		next.endpoints = append(next.endpoints, f.newEndpoint(config, &config.Sheet.Endpoints[i], known))
	}
	f.snapshot.Store(next)
}

func (f *fleet) newEndpoint(config *chiveconf.Config, s *chivesheet.Endpoint, known map[string]*endpoint) *endpoint {
	e := &endpoint{
		sheet: *s, hash: chiveroute.HashEndpoint(s.Name), inOtherZone: s.Zone != f.zone, acceptsWork: config.AcceptsWork(s),
		inFlight: new(atomic.Int64), report: new(atomic.Pointer[loadReport]), blockedUntil: new(atomic.Int64),
	}
	if old, ok := known[s.Name]; ok && old.sheet.Agent == s.Agent {
		e.inFlight, e.report, e.blockedUntil = old.inFlight, old.report, old.blockedUntil
	}
	return e
}

// pick returns the endpoint for a request among those at the positions, or nil.
func (s *fleetSnapshot) pick(f *fleet, positions []int, tried []*endpoint, prefix uint64) *endpoint {
	views, _ := f.candidatePool.Get().(*[]chiveroute.Candidate)
	if views == nil {
		views = new([]chiveroute.Candidate)
	}
	defer f.candidatePool.Put(views)
	*views = (*views)[:0]
	for _, i := range positions {
		*views = append(*views, s.endpoints[i].candidate(tried))
	}
	i := chiveroute.Pick(*views, prefix, time.Now(), globalRand{})
	if i < 0 {
		return nil
	}
	return s.endpoints[positions[i]]
}

// globalRand is the generator of math/rand/v2 that all goroutines may use.
type globalRand struct{}

// Uint64 implements chiveroute.Source.Uint64.
func (globalRand) Uint64() uint64 {
	return rand.Uint64()
}

func (e *endpoint) candidate(tried []*endpoint) chiveroute.Candidate {
	v := chiveroute.Candidate{Hash: e.hash, Excluded: !e.acceptsWork, CrossZone: e.inOtherZone, Limit: e.sheet.Cold, UnreportedRequests: int(e.inFlight.Load())}
	for _, t := range tried {
		v.Excluded = v.Excluded || t.sheet.Name == e.sheet.Name
	}
	if until := e.blockedUntil.Load(); until != 0 {
		v.BlockedUntil = time.Unix(0, until)
	}
	if r := e.report.Load(); r != nil {
		v.Limit = r.load.Limit
		v.ReportedRequests = r.load.Running + r.load.Waiting
		v.ReportTime = r.receivedAt
		v.UnreportedRequests = int(max(0, e.inFlight.Load()-r.inFlight))
	}
	return v
}

// recordLoad notes a load that came with an answer.
func (e *endpoint) recordLoad(l *chivelink.Load) {
	if l != nil {
		e.report.Store(&loadReport{load: *l, receivedAt: time.Now(), inFlight: e.inFlight.Load()})
	}
}

// block passes the endpoint over for a while.
func (e *endpoint) block(d time.Duration) {
	e.blockedUntil.Store(time.Now().Add(d).UnixNano())
}
