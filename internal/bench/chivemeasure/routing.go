package chivemeasure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveroute"
)

// simulationStart is the start of simulated time.
var simulationStart = time.Unix(0, 0)

const (
	// routeEndpoints is the number of endpoints that serve one model at the size that the
	// system is designed for: 920 runners for 39 models.
	routeEndpoints = 24
	// endpointLimit is the number of requests that an endpoint runs at once.
	endpointLimit = 32
	// routeSeconds is the simulated time of a run.
	routeSeconds = 60.0
	// routeLoad is the offered load as a fraction of the capacity.
	routeLoad = 0.8
	// cachedPrefillSeconds is the time to the first token of a prompt whose prefix is
	// cached, uncachedPrefillSeconds the time for any other prompt.
	cachedPrefillSeconds   = 0.02
	uncachedPrefillSeconds = 0.12
	// maxCachedPrefixes is the capacity of an endpoint's prefix cache, totalPrefixes the
	// number of different prefixes.
	maxCachedPrefixes = 64
	totalPrefixes     = 2000
	// maxQueueSeconds is how long a request is queued at an agent before it is refused.
	maxQueueSeconds = 0.6
	// maxAttempts is the number of attempts after which a request fails.
	maxAttempts = 6
	// unqueuedAttempts is the number of first attempts that an endpoint without a free
	// slot refuses at once instead of queueing them.
	unqueuedAttempts = 2
	// prefixZipfExponent is the exponent of the Zipf distribution of prefixes.
	prefixZipfExponent = 1.1
)

// routeRun is one simulation of a policy.
type routeRun struct {
	simulator
	random    *rand.Rand
	zipf      *rand.Zipf
	policy    string
	gateways  []*routeGateway
	endpoints []*routeEndpoint
	// firstTokenSeconds holds the times to the first token.
	firstTokenSeconds []float64
	// hits and misses count the lookups in prefix caches.
	hits   int
	misses int
	// refusals counts refused attempts, failures requests that were refused at every
	// attempt.
	refusals int
	failures int
	requests int
	// busySeconds holds the slot time used at each endpoint.
	busySeconds []float64
}

// routeGateway is a simulated gateway. It knows the load of an endpoint only from the
// responses to its own requests.
type routeGateway struct {
	candidates []chiveroute.Candidate
	// inFlight holds the number of its requests at each endpoint, reportedInFlight the
	// number at the time of the endpoint's last report.
	inFlight, reportedInFlight []int
	// lastRoundRobin is incremented for each attempt of the round-robin policy.
	lastRoundRobin int
}

// routeEndpoint is a simulated endpoint.
type routeEndpoint struct {
	running        int
	queue          []*routeRequest
	cachedPrefixes []uint64
}

// routeRequest is a simulated request. Its times are in seconds.
type routeRequest struct {
	gateway   *routeGateway
	prefix    uint64
	tokens    float64
	arrivedAt float64
	queuedAt  float64
	attempts  int
	tried     []int
}

// policies holds the names of the simulated policies.
var policies = []string{"random", "round robin", "least loaded", "chiveyoke"}

func newRouteRun(policy string, gateways int, seed uint64) *routeRun {
	random := rand.New(rand.NewPCG(seed, 3))
	r := &routeRun{random: random, policy: policy, zipf: rand.NewZipf(random, prefixZipfExponent, 1, totalPrefixes-1), busySeconds: make([]float64, routeEndpoints)}
	for range gateways {
		g := &routeGateway{inFlight: make([]int, routeEndpoints), reportedInFlight: make([]int, routeEndpoints), lastRoundRobin: random.IntN(routeEndpoints)}
		for i := range routeEndpoints {
			g.candidates = append(g.candidates, chiveroute.Candidate{Hash: chiveroute.HashEndpoint(fmt.Sprint("endpoint-", i)), Limit: endpointLimit, ReportTime: simulationStart})
		}
		r.gateways = append(r.gateways, g)
	}
	for range routeEndpoints {
		r.endpoints = append(r.endpoints, &routeEndpoint{})
	}
	return r
}

// scheduleArrival schedules the next request, which schedules the one after it. The
// rate does not depend on the number of gateways.
func (r *routeRun) scheduleArrival() {
	const meanTokens = 100.0
	rate := routeLoad * routeEndpoints * endpointLimit / (meanTokens*stepSeconds + uncachedPrefillSeconds)
	r.schedule(r.random.ExpFloat64()/rate, func() {
		q := &routeRequest{
			gateway: r.gateways[r.random.IntN(len(r.gateways))], prefix: chiveroute.HashPrefix("w", fmt.Sprint(r.zipf.Uint64())),
			tokens: meanTokens * (0.2 + 1.6*r.random.Float64()), arrivedAt: r.now,
		}
		r.requests++
		r.dispatch(q)
		r.scheduleArrival()
	})
}

// dispatch makes the next attempt of a request, or counts it as failed.
func (r *routeRun) dispatch(q *routeRequest) {
	i := r.pick(q)
	if i < 0 || q.attempts == maxAttempts {
		r.failures++
		return
	}
	q.attempts++
	q.tried = append(q.tried, i)
	q.gateway.inFlight[i]++
	e := r.endpoints[i]
	if e.running < endpointLimit {
		r.start(i, q)
		return
	}
	if r.policy == "chiveyoke" && q.attempts <= unqueuedAttempts {
		r.refusals++
		r.reportLoad(i, q)
		r.dispatch(q)
		return
	}
	q.queuedAt = r.now
	e.queue = append(e.queue, q)
	r.schedule(maxQueueSeconds, func() { r.expire(i, q) })
}

// expire refuses a request that is still queued.
func (r *routeRun) expire(i int, q *routeRequest) {
	e := r.endpoints[i]
	for k, other := range e.queue {
		if other == q {
			e.queue = append(e.queue[:k], e.queue[k+1:]...)
			r.refusals++
			r.reportLoad(i, q)
			r.dispatch(q)
			return
		}
	}
}

// start runs a request on a free slot of endpoint i.
func (r *routeRun) start(i int, q *routeRequest) {
	e := r.endpoints[i]
	e.running++
	prefill := r.prefill(e, q.prefix)
	r.firstTokenSeconds = append(r.firstTokenSeconds, r.now-q.arrivedAt+prefill)
	slotSeconds := prefill + q.tokens*stepSeconds
	r.busySeconds[i] += slotSeconds
	r.schedule(slotSeconds, func() {
		e.running--
		r.reportLoad(i, q)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			r.start(i, next)
		}
	})
}

// prefill caches a prefix at an endpoint and returns the prefill time in seconds.
func (r *routeRun) prefill(e *routeEndpoint, prefix uint64) float64 {
	for k, p := range e.cachedPrefixes {
		if p == prefix {
			e.cachedPrefixes = append(append(e.cachedPrefixes[:k], e.cachedPrefixes[k+1:]...), prefix)
			r.hits++
			return cachedPrefillSeconds
		}
	}
	r.misses++
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > maxCachedPrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return uncachedPrefillSeconds
}

// reportLoad reports the load of endpoint i to the gateway of a request that ended or
// was refused there.
func (r *routeRun) reportLoad(i int, q *routeRequest) {
	g, e := q.gateway, r.endpoints[i]
	g.inFlight[i]--
	c := &g.candidates[i]
	c.ReportedRequests = e.running + len(e.queue)
	c.ReportTime = r.simulatedTime()
	g.reportedInFlight[i] = g.inFlight[i]
}

// simulatedTime returns the simulated time.
func (r *routeRun) simulatedTime() time.Time {
	return simulationStart.Add(time.Duration(r.now * float64(time.Second)))
}

// pick picks an untried endpoint by the policy. It returns a negative number if there
// is none.
func (r *routeRun) pick(q *routeRequest) int {
	g := q.gateway
	for i := range g.candidates {
		g.candidates[i].Excluded = false
		g.candidates[i].UnreportedRequests = max(0, g.inFlight[i]-g.reportedInFlight[i])
	}
	for _, t := range q.tried {
		g.candidates[t].Excluded = true
	}
	switch r.policy {
	case "random":
		return r.firstUntried(g, r.random.IntN(routeEndpoints))
	case "round robin":
		g.lastRoundRobin++
		return r.firstUntried(g, g.lastRoundRobin%routeEndpoints)
	case "least loaded":
		return leastLoaded(g)
	}
	return chiveroute.Pick(g.candidates, q.prefix, r.simulatedTime(), r.random)
}

// firstUntried returns the first untried endpoint at or after an index, cyclically, or
// -1 if all were tried.
func (r *routeRun) firstUntried(g *routeGateway, start int) int {
	for k := range routeEndpoints {
		if i := (start + k) % routeEndpoints; !g.candidates[i].Excluded {
			return i
		}
	}
	return -1
}

// leastLoaded returns the untried endpoint with the lowest load according to its last
// report and the requests sent since, or -1 if all were tried.
func leastLoaded(g *routeGateway) int {
	best := -1
	for i := range g.candidates {
		c := &g.candidates[i]
		if !c.Excluded && (best < 0 || c.ReportedRequests+c.UnreportedRequests < g.candidates[best].ReportedRequests+g.candidates[best].UnreportedRequests) {
			best = i
		}
	}
	return best
}

// imbalance returns the slot time of the busiest endpoint divided by the mean.
func (r *routeRun) imbalance() float64 {
	var sum, highest float64
	for _, b := range r.busySeconds {
		sum += b
		highest = max(highest, b)
	}
	return highest * routeEndpoints / sum
}

// Routing compares routing policies in a simulation with a growing number of gateways
// under the same load, and writes a table to out.
func Routing(_ context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# Routing\n\n%d endpoints that bear %d requests each, at %g of their capacity, for %g s. A gateway knows an endpoint's load only from the answers of its own requests. "+
		"A cached prefix saves %g ms to the first token; an endpoint keeps %d of %d prefixes.\n\n", routeEndpoints, endpointLimit, routeLoad, routeSeconds, 1000*(uncachedPrefillSeconds-cachedPrefillSeconds), maxCachedPrefixes, totalPrefixes)
	_, _ = fmt.Fprintln(out, "| gateways | policy | first token p50 | p95 | cache hits % | busiest by mean | refused at agents % | failed % |")
	_, _ = fmt.Fprintln(out, "|--:|--|--:|--:|--:|--:|--:|--:|")
	for _, gateways := range []int{1, 8, 32, 128, 320} {
		for _, policy := range policies {
			r := newRouteRun(policy, gateways, s.Seed)
			r.scheduleArrival()
			r.runUntil(routeSeconds)
			n := float64(r.requests)
			_, _ = fmt.Fprintf(out, "| %d | %s | %.0f ms | %.0f ms | %.1f | %.2f | %.2f | %.2f |\n", gateways, policy,
				1000*quantile(r.firstTokenSeconds, 0.5), 1000*quantile(r.firstTokenSeconds, 0.95), 100*float64(r.hits)/float64(r.hits+r.misses),
				r.imbalance(), 100*float64(r.refusals)/n, 100*float64(r.failures)/n)
		}
	}
	return nil
}
