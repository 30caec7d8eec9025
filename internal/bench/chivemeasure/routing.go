package chivemeasure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveroute"
)

// epoch is the start of generated time.
var epoch = time.Unix(0, 0)

const (
	// routeEndpoints is the number of endpoints that serve one model at the
	// target: 920 runners for 39 models.
	routeEndpoints = 24
	routeLimit     = 32
	routeTime      = 60.0
	// routeLoad is the offered load as a part of the capacity.
	routeLoad = 0.8
	// hitTime and missTime are the times to the first token of a prompt whose
	// prefix is cached or not.
	hitTime  = 0.02
	missTime = 0.12
	// cachePrefixes is the number of prefixes that an endpoint keeps, prefixCount
	// that of all.
	cachePrefixes = 64
	prefixCount   = 2000
	// routeWait is how long a request waits at an agent before it is refused.
	routeWait     = 0.6
	routeAttempts = 6
	// routeProbes is the number of attempts that are refused rather than queued.
	routeProbes = 2
	// skewPrefixes is the exponent of the prefixes' popularity.
	skewPrefixes = 1.1
)

// routeRun is one run of one policy.
type routeRun struct {
	clock
	random    *rand.Rand
	zipf      *rand.Zipf
	policy    string
	gateways  []*routeGateway
	endpoints []*routeEndpoint
	first     []float64
	hits      int
	misses    int
	refusals  int
	failures  int
	requests  int
	busy      []float64
}

// routeGateway knows endpoints only from its own requests' answers.
type routeGateway struct {
	views []chiveroute.Candidate
	// sent is the number of its requests at each endpoint, sentAt that at the
	// last report.
	sent, sentAt []int
	next         int
}

type routeEndpoint struct {
	running int
	queue   []*routeRequest
	cache   []uint64
}

type routeRequest struct {
	gateway  *routeGateway
	prefix   uint64
	tokens   float64
	arrival  float64
	queued   float64
	attempts int
	tried    []int
}

var policies = []string{"random", "round robin", "least loaded", "chiveyoke"}

func newRouteRun(policy string, gateways int, seed uint64) *routeRun {
	random := rand.New(rand.NewPCG(seed, 3))
	r := &routeRun{random: random, policy: policy, zipf: rand.NewZipf(random, skewPrefixes, 1, prefixCount-1), busy: make([]float64, routeEndpoints)}
	for range gateways {
		g := &routeGateway{sent: make([]int, routeEndpoints), sentAt: make([]int, routeEndpoints), next: random.IntN(routeEndpoints)}
		for i := range routeEndpoints {
			g.views = append(g.views, chiveroute.Candidate{Hash: chiveroute.HashEndpoint(fmt.Sprint("endpoint-", i)), Limit: routeLimit, ReportTime: epoch})
		}
		r.gateways = append(r.gateways, g)
	}
	for range routeEndpoints {
		r.endpoints = append(r.endpoints, &routeEndpoint{})
	}
	return r
}

// arrive makes requests at a rate that is the same for any number of gateways.
func (r *routeRun) arrive() {
	const meanTokens = 100.0
	rate := routeLoad * routeEndpoints * routeLimit / (meanTokens*stepTime + missTime)
	r.after(r.random.ExpFloat64()/rate, func() {
		q := &routeRequest{
			gateway: r.gateways[r.random.IntN(len(r.gateways))], prefix: chiveroute.HashPrefix("w", fmt.Sprint(r.zipf.Uint64())),
			tokens: meanTokens * (0.2 + 1.6*r.random.Float64()), arrival: r.now,
		}
		r.requests++
		r.dispatch(q)
		r.arrive()
	})
}

func (r *routeRun) dispatch(q *routeRequest) {
	i := r.pick(q)
	if i < 0 || q.attempts == routeAttempts {
		r.failures++
		return
	}
	q.attempts++
	q.tried = append(q.tried, i)
	q.gateway.sent[i]++
	e := r.endpoints[i]
	if e.running < routeLimit {
		r.begin(i, q)
		return
	}
	if r.policy == "chiveyoke" && q.attempts <= routeProbes {
		r.refusals++
		r.reply(i, q)
		r.dispatch(q)
		return
	}
	q.queued = r.now
	e.queue = append(e.queue, q)
	r.after(routeWait, func() { r.expire(i, q) })
}

// expire refuses a request that has waited too long.
func (r *routeRun) expire(i int, q *routeRequest) {
	e := r.endpoints[i]
	for k, other := range e.queue {
		if other == q {
			e.queue = append(e.queue[:k], e.queue[k+1:]...)
			r.refusals++
			r.reply(i, q)
			r.dispatch(q)
			return
		}
	}
}

func (r *routeRun) begin(i int, q *routeRequest) {
	e := r.endpoints[i]
	e.running++
	prefill := r.prefill(e, q.prefix)
	r.first = append(r.first, r.now-q.arrival+prefill)
	busy := prefill + q.tokens*stepTime
	r.busy[i] += busy
	r.after(busy, func() {
		e.running--
		r.reply(i, q)
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			r.begin(i, next)
		}
	})
}

func (r *routeRun) prefill(e *routeEndpoint, prefix uint64) float64 {
	for k, p := range e.cache {
		if p == prefix {
			e.cache = append(append(e.cache[:k], e.cache[k+1:]...), prefix)
			r.hits++
			return hitTime
		}
	}
	r.misses++
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cachePrefixes {
		e.cache = e.cache[1:]
	}
	return missTime
}

// reply carries the endpoint's load to the gateway of a request that ended.
func (r *routeRun) reply(i int, q *routeRequest) {
	g, e := q.gateway, r.endpoints[i]
	g.sent[i]--
	v := &g.views[i]
	v.ReportedRequests = e.running + len(e.queue)
	v.ReportTime = r.time()
	g.sentAt[i] = g.sent[i]
}

func (r *routeRun) time() time.Time {
	return epoch.Add(time.Duration(r.now * float64(time.Second)))
}

func (r *routeRun) pick(q *routeRequest) int {
	g := q.gateway
	for i := range g.views {
		g.views[i].Excluded = false
		g.views[i].UnreportedRequests = max(0, g.sent[i]-g.sentAt[i])
	}
	for _, t := range q.tried {
		g.views[t].Excluded = true
	}
	switch r.policy {
	case "random":
		return r.open(g, r.random.IntN(routeEndpoints))
	case "round robin":
		g.next++
		return r.open(g, g.next%routeEndpoints)
	case "least loaded":
		return leastLoaded(g)
	}
	return chiveroute.Pick(g.views, q.prefix, r.time(), r.random)
}

// open returns the first endpoint from a place on that was not tried.
func (r *routeRun) open(g *routeGateway, first int) int {
	for k := range routeEndpoints {
		if i := (first + k) % routeEndpoints; !g.views[i].Excluded {
			return i
		}
	}
	return -1
}

// leastLoaded returns the endpoint with the least load by the last report.
func leastLoaded(g *routeGateway) int {
	best := -1
	for i := range g.views {
		v := &g.views[i]
		if !v.Excluded && (best < 0 || v.ReportedRequests+v.UnreportedRequests < g.views[best].ReportedRequests+g.views[best].UnreportedRequests) {
			best = i
		}
	}
	return best
}

func (r *routeRun) imbalance() float64 {
	var sum, most float64
	for _, b := range r.busy {
		sum += b
		most = max(most, b)
	}
	return most * routeEndpoints / sum
}

// Routing compares policies as the number of gateways grows under one load.
func Routing(_ context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# Routing\n\n%d endpoints that bear %d requests each, at %g of their capacity, for %g s. A gateway knows an endpoint's load only from the answers of its own requests. "+
		"A cached prefix saves %g ms to the first token; an endpoint keeps %d of %d prefixes.\n\n", routeEndpoints, routeLimit, routeLoad, routeTime, 1000*(missTime-hitTime), cachePrefixes, prefixCount)
	_, _ = fmt.Fprintln(out, "| gateways | policy | first token p50 | p95 | cache hits % | busiest by mean | refused at agents % | failed % |")
	_, _ = fmt.Fprintln(out, "|--:|--|--:|--:|--:|--:|--:|--:|")
	for _, gateways := range []int{1, 8, 32, 128, 320} {
		for _, policy := range policies {
			r := newRouteRun(policy, gateways, s.Seed)
			r.arrive()
			r.run(routeTime)
			n := float64(r.requests)
			_, _ = fmt.Fprintf(out, "| %d | %s | %.0f ms | %.0f ms | %.1f | %.2f | %.2f | %.2f |\n", gateways, policy,
				1000*percentile(r.first, 0.5), 1000*percentile(r.first, 0.95), 100*float64(r.hits)/float64(r.hits+r.misses),
				r.imbalance(), 100*float64(r.refusals)/n, 100*float64(r.failures)/n)
		}
	}
	return nil
}
