package chivemeasure

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveroute"
)

const (
	// window is the time over which service is compared, in seconds.
	window = 10.0
	// warmUp and fairTime are the times before and of a measurement.
	warmUp   = 20.0
	fairTime = 200.0
	// stepTime is the time between tokens.
	stepTime = 0.02
	// meanTokens is the mean length of answers, which gateways have learned.
	meanTokens = 64.0
	// queueMax is the number of requests that may wait at one endpoint.
	queueMax = 64
	// minPart is the least part of the capacity that a workspace must be owed for
	// its deviation to count.
	minPart = 0.02
	// largePart is the part that a large workspace is owed at least.
	largePart = 0.1
)

// demand is one workspace of a fairness run.
type demand struct {
	name  string
	share float64
	// load is the offered load as a part of the fleet's capacity.
	load float64
	// prefixes is the number of prompt prefixes that it uses.
	prefixes int
}

// discipline is how requests wait.
type discipline string

// The disciplines.
const (
	firstCome  discipline = "first come, first served"
	localFair  discipline = "fair at each agent"
	stateFair  discipline = "with stated service"
	globalFair discipline = "one fair queue"
)

// fairRun is one run.
type fairRun struct {
	clock
	random     *rand.Rand
	discipline discipline
	demands    []demand
	endpoints  []*fairEndpoint
	shared     chivefair.Queue[*fairRequest]
	waits      map[string][]float64
	served     map[string]float64
	arrived    map[string]float64
	backlog    map[string]float64
	meters     map[string]*chivefair.Meter
	deviations []float64
	// large holds the deviations of workspaces that are owed a tenth or more.
	large []float64
}

type fairEndpoint struct {
	running int
	queue   chivefair.Queue[*fairRequest]
	fifo    []*fairRequest
}

type fairRequest struct {
	demand  *demand
	tokens  float64
	arrival float64
	ticket  *chivefair.Ticket[*fairRequest]
}

// slotsPerEndpoint is the number of requests that an endpoint runs at once.
const slotsPerEndpoint = 8

func newFairRun(d discipline, demands []demand, endpoints int, seed uint64) *fairRun {
	f := &fairRun{
		random: rand.New(rand.NewPCG(seed, 2)), discipline: d, demands: demands, waits: map[string][]float64{},
		served: map[string]float64{}, arrived: map[string]float64{}, backlog: map[string]float64{}, meters: map[string]*chivefair.Meter{},
	}
	for range endpoints {
		f.endpoints = append(f.endpoints, &fairEndpoint{queue: chivefair.Queue[*fairRequest]{MaxLen: queueMax}})
	}
	f.shared.MaxLen = queueMax * endpoints
	return f
}

// run drives the requests and measures every window.
func (f *fairRun) run() {
	for i := range f.demands {
		f.arrive(&f.demands[i])
	}
	f.clock.run(warmUp)
	for f.now < warmUp+fairTime {
		start := map[string]float64{}
		for name, b := range f.backlog {
			start[name] = b
		}
		f.served, f.arrived = map[string]float64{}, map[string]float64{}
		f.clock.run(f.now + window)
		f.compare(start)
	}
	sort.Float64s(f.deviations)
}

// arrive makes the requests of a workspace.
func (f *fairRun) arrive(d *demand) {
	capacity := float64(len(f.endpoints)*slotsPerEndpoint) / stepTime
	rate := d.load * capacity / meanTokens
	f.after(f.random.ExpFloat64()/rate, func() {
		r := &fairRequest{demand: d, tokens: math.Ceil(meanTokens * (0.25 + 1.5*f.random.Float64())), arrival: f.now}
		f.arrived[d.name] += r.tokens
		f.backlog[d.name] += r.tokens
		f.submit(r)
		f.arrive(d)
	})
}

// submit routes a request and queues it.
func (f *fairRun) submit(r *fairRequest) {
	const cost = meanTokens
	if f.discipline == globalFair {
		var dropped *chivefair.Ticket[*fairRequest]
		r.ticket, dropped = f.shared.Push(f.time(), r.demand.name, r.demand.share, cost, "g", r)
		f.drop(dropped)
		for _, e := range f.endpoints {
			f.fill(e)
		}
		return
	}
	e := f.endpoints[f.route(r.demand)]
	if f.discipline == firstCome {
		e.fifo = append(e.fifo, r)
		if len(e.fifo) > queueMax {
			f.backlog[r.demand.name] -= r.tokens
			e.fifo = e.fifo[:queueMax]
		}
	} else {
		if f.discipline == stateFair {
			e.queue.SetGatewayRate(f.time(), r.demand.name, "g", f.meter(r.demand).Rate(f.time()))
		}
		var dropped *chivefair.Ticket[*fairRequest]
		r.ticket, dropped = e.queue.Push(f.time(), r.demand.name, r.demand.share, cost, "g", r)
		f.drop(dropped)
	}
	f.fill(e)
}

func (f *fairRun) drop(t *chivefair.Ticket[*fairRequest]) {
	if t != nil {
		f.backlog[t.Item.demand.name] -= t.Item.tokens
	}
}

// time returns the generated time.
func (f *fairRun) time() time.Time {
	return epoch.Add(time.Duration(f.now * float64(time.Second)))
}

// meter returns the meter of a workspace at its gateway.
func (f *fairRun) meter(d *demand) *chivefair.Meter {
	m := f.meters[d.name]
	if m == nil {
		m = &chivefair.Meter{}
		f.meters[d.name] = m
	}
	return m
}

// route picks an endpoint by prefix and load, as gateways do: the first attempts
// go elsewhere where no slot is free.
func (f *fairRun) route(d *demand) int {
	prefix := chiveroute.HashPrefix(d.name, fmt.Sprint(f.random.IntN(d.prefixes)))
	var tried []int
	for {
		i := f.pick(prefix, tried)
		if f.endpoints[i].running < slotsPerEndpoint || len(tried) == routeProbes {
			return i
		}
		tried = append(tried, i)
	}
}

func (f *fairRun) pick(prefix uint64, tried []int) int {
	views := make([]chiveroute.Candidate, len(f.endpoints))
	for i, e := range f.endpoints {
		views[i] = chiveroute.Candidate{Hash: chiveroute.HashEndpoint(fmt.Sprint(i)), Limit: slotsPerEndpoint, UnreportedRequests: e.running + e.queue.Len() + len(e.fifo)}
	}
	for _, i := range tried {
		views[i].Excluded = true
	}
	return chiveroute.Pick(views, prefix, epoch, f.random)
}

// fill starts waiting requests on free slots.
func (f *fairRun) fill(e *fairEndpoint) {
	for e.running < slotsPerEndpoint {
		r := f.next(e)
		if r == nil {
			return
		}
		e.running++
		f.meter(r.demand).Add(f.time(), meanTokens)
		f.waits[r.demand.name] = append(f.waits[r.demand.name], f.now-r.arrival+stepTime)
		f.served[r.demand.name] += r.tokens
		f.backlog[r.demand.name] -= r.tokens
		f.after(r.tokens*stepTime, func() {
			e.running--
			f.settle(e, r)
			f.fill(e)
		})
	}
}

func (f *fairRun) settle(e *fairEndpoint, r *fairRequest) {
	switch f.discipline {
	case globalFair:
		f.shared.CorrectCost(f.time(), r.ticket, r.tokens)
	case localFair, stateFair:
		f.meter(r.demand).Add(f.time(), r.tokens-meanTokens)
		e.queue.CorrectCost(f.time(), r.ticket, r.tokens)
	}
}

func (f *fairRun) next(e *fairEndpoint) *fairRequest {
	if f.discipline == firstCome {
		if len(e.fifo) == 0 {
			return nil
		}
		r := e.fifo[0]
		e.fifo = e.fifo[1:]
		return r
	}
	queue := &e.queue
	if f.discipline == globalFair {
		queue = &f.shared
	}
	t := queue.Pop(f.time())
	if t == nil {
		return nil
	}
	return t.Item
}

// compare notes how far each workspace's service is from its weighted max-min
// fair part of what was served.
func (f *fairRun) compare(backlog map[string]float64) {
	var total float64
	for _, s := range f.served {
		total += s
	}
	wants := map[string]float64{}
	for _, d := range f.demands {
		wants[d.name] = backlog[d.name] + f.arrived[d.name]
	}
	worst, large := 0.0, 0.0
	for name, ideal := range maxMin(f.demands, wants, total) {
		if ideal >= minPart*total {
			worst = max(worst, math.Abs(f.served[name]-ideal)/ideal)
		}
		if ideal >= largePart*total {
			large = max(large, math.Abs(f.served[name]-ideal)/ideal)
		}
	}
	f.deviations = append(f.deviations, worst)
	f.large = append(f.large, large)
}

// maxMin returns the weighted max-min fair parts of a total.
func maxMin(demands []demand, wants map[string]float64, total float64) map[string]float64 {
	parts := map[string]float64{}
	open := append([]demand(nil), demands...)
	for len(open) > 0 {
		var shares float64
		for _, d := range open {
			shares += d.share
		}
		level := total / shares
		var rest []demand
		for _, d := range open {
			if wants[d.name] <= level*d.share {
				parts[d.name] = wants[d.name]
				total -= wants[d.name]
			} else {
				rest = append(rest, d)
			}
		}
		if len(rest) == len(open) {
			for _, d := range rest {
				parts[d.name] = level * d.share
			}
			break
		}
		open = rest
	}
	return parts
}

// fleetDemands returns a few large workspaces, of which two flood, and many
// small ones.
func fleetDemands(flood bool) []demand {
	list := []demand{
		{"large-1", 10, 0.3, 40}, {"large-2", 10, 0.9, 40}, {"large-3", 10, 0.9, 40},
		{"large-4", 10, 0.9, 3}, {"probe", 1, 0.01, 4},
	}
	for i := range 12 {
		list = append(list, demand{fmt.Sprint("small-", i), 1, 0.02, 4})
	}
	if flood {
		return list
	}
	for i := range list {
		list[i].load = min(list[i].load, 0.1)
	}
	return list
}

// Fairness compares disciplines of waiting under overload.
func Fairness(_ context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# Fair share\n\n17 workspaces offer three times the capacity: four large ones, of which three flood, one of them with 3 prompt prefixes only, and 13 small ones. "+
		"Deviation is the worst of any workspace owed 2 %% or more from its weighted max-min fair part, in windows of %g s. Wait is the time to the first token of a small workspace that uses less than its part.\n\n", window)
	_, _ = fmt.Fprintln(out, "| endpoints | waiting | deviation p50 % | worst % | of large p50 % | worst % | small: wait p95 alone | beside the flood | ratio |")
	_, _ = fmt.Fprintln(out, "|--:|--|--:|--:|--:|--:|--:|--:|--:|")
	for _, endpoints := range []int{4, 16, 24} {
		for _, d := range []discipline{firstCome, localFair, stateFair, globalFair} {
			flood := newFairRun(d, fleetDemands(true), endpoints, s.Seed)
			flood.run()
			calm := newFairRun(d, fleetDemands(false), endpoints, s.Seed)
			calm.run()
			alone, beside := percentile(calm.waits["probe"], 0.95), percentile(flood.waits["probe"], 0.95)
			_, _ = fmt.Fprintf(out, "| %d | %s | %.1f | %.1f | %.1f | %.1f | %.0f ms | %.0f ms | %.1f |\n", endpoints, d,
				100*percentile(flood.deviations, 0.5), 100*percentile(flood.deviations, 1), 100*percentile(flood.large, 0.5), 100*percentile(flood.large, 1), 1000*alone, 1000*beside, beside/alone)
		}
	}
	return nil
}

func percentile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	sort.Float64s(list)
	return list[int(q*float64(len(list)-1))]
}
