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

// fleet holds the state of all endpoints as seen by this gateway. Request
// goroutines read the published snapshot without locks and update its counters
// with atomics.
type fleet struct {
	zone     string
	snapshot atomic.Pointer[fleetSnapshot]
	// candidatePool holds slices of candidates for reuse, so that pick does not
	// allocate.
	candidatePool sync.Pool
}

// fleetSnapshot is the state of all endpoints under one configuration.
// Endpoints are in the order of the sheet.
type fleetSnapshot struct {
	config    *chiveconf.Config
	endpoints []*endpoint
}

// endpoint is the state of one endpoint as seen by this gateway. Its counters
// are pointers, so that they carry over to the next snapshot.
type endpoint struct {
	sheet chivesheet.Endpoint
	hash  uint64
	// inOtherZone is set if the endpoint is in another availability zone than
	// the gateway.
	inOtherZone bool
	// acceptsWork is set unless the configuration drains the endpoint or takes
	// its zone out of service.
	acceptsWork bool
	// inFlight is the number of calls of this gateway at the endpoint.
	inFlight *atomic.Int64
	// report is the last load report, nil before the first.
	report *atomic.Pointer[loadReport]
	// blockedUntil is the Unix time in nanoseconds until which the endpoint is
	// not selected, 0 if it was never blocked.
	blockedUntil *atomic.Int64
}

// loadReport is a load that an endpoint reported.
type loadReport struct {
	load       chivelink.Load
	receivedAt time.Time
	// inFlight is the number of calls of this gateway at the endpoint when the
	// report arrived.
	inFlight int64
}

// applyConfig publishes a snapshot for a configuration. Endpoints that stay at
// the same agent keep their counters and their last report.
func (f *fleet) applyConfig(config *chiveconf.Config) {
	existing := map[string]*endpoint{}
	if old := f.snapshot.Load(); old != nil {
		for _, e := range old.endpoints {
			existing[e.sheet.Name] = e
		}
	}
	next := &fleetSnapshot{config: config, endpoints: make([]*endpoint, 0, len(config.Sheet.Endpoints))}
	for i := range config.Sheet.Endpoints {
		next.endpoints = append(next.endpoints, f.newEndpoint(config, &config.Sheet.Endpoints[i], existing))
	}
	f.snapshot.Store(next)
}

// newEndpoint returns the endpoint for a row of the sheet. It shares the
// counters of the existing endpoint of the same name and agent, if there is
// one.
func (f *fleet) newEndpoint(config *chiveconf.Config, s *chivesheet.Endpoint, existing map[string]*endpoint) *endpoint {
	e := &endpoint{
		sheet: *s, hash: chiveroute.HashEndpoint(s.Name), inOtherZone: s.Zone != f.zone, acceptsWork: config.AcceptsWork(s),
		inFlight: new(atomic.Int64), report: new(atomic.Pointer[loadReport]), blockedUntil: new(atomic.Int64),
	}
	if old, ok := existing[s.Name]; ok && old.sheet.Agent == s.Agent {
		e.inFlight, e.report, e.blockedUntil = old.inFlight, old.report, old.blockedUntil
	}
	return e
}

// pick selects the endpoint for a request among the endpoints at the given
// positions, leaving out those already tried. It returns nil if none is
// available.
func (s *fleetSnapshot) pick(f *fleet, positions []int, tried []*endpoint, prefixHash uint64) *endpoint {
	candidates, _ := f.candidatePool.Get().(*[]chiveroute.Candidate)
	if candidates == nil {
		candidates = new([]chiveroute.Candidate)
	}
	defer f.candidatePool.Put(candidates)
	*candidates = (*candidates)[:0]
	for _, i := range positions {
		*candidates = append(*candidates, s.endpoints[i].candidate(tried))
	}
	i := chiveroute.Pick(*candidates, prefixHash, time.Now(), globalRand{})
	if i < 0 {
		return nil
	}
	return s.endpoints[positions[i]]
}

// globalRand is the global generator of math/rand/v2, which is safe for
// concurrent use.
type globalRand struct{}

// Uint64 implements chiveroute.Source.Uint64.
func (globalRand) Uint64() uint64 {
	return rand.Uint64()
}

// candidate returns the input of the endpoint selection. Endpoints in tried are
// excluded. Calls sent before the last report are not counted as unreported,
// because the report includes them.
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

// recordLoad stores a load that came with a frame or a status. It ignores nil.
func (e *endpoint) recordLoad(l *chivelink.Load) {
	if l != nil {
		e.report.Store(&loadReport{load: *l, receivedAt: time.Now(), inFlight: e.inFlight.Load()})
	}
}

// block excludes the endpoint from selection for the given time.
func (e *endpoint) block(d time.Duration) {
	e.blockedUntil.Store(time.Now().Add(d).UnixNano())
}
