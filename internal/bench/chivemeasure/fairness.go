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
	// windowSeconds is the length of the windows in which service is compared.
	windowSeconds = 10.0
	// warmUpSeconds is the simulated time before a measurement, fairnessSeconds the
	// simulated time of the measurement.
	warmUpSeconds   = 20.0
	fairnessSeconds = 200.0
	// stepSeconds is the time between two tokens of an answer.
	stepSeconds = 0.02
	// meanTokens is the mean length of answers. Gateways expect it as the cost of a
	// request.
	meanTokens = 64.0
	// maxQueueLen is the maximum number of queued requests per endpoint.
	maxQueueLen = 64
	// minEntitledFraction is the fraction of the served total to which a workspace must
	// be entitled for its deviation to count.
	minEntitledFraction = 0.02
	// largeEntitledFraction is the fraction of the served total to which a workspace must
	// be entitled to count as large.
	largeEntitledFraction = 0.1
)

// demand describes the requests of one workspace.
type demand struct {
	name  string
	share float64
	// offeredLoad is a fraction of the capacity of the fleet.
	offeredLoad float64
	// prefixCount is the number of different prompt prefixes.
	prefixCount int
}

// discipline is a queueing discipline.
type discipline string

// The queueing disciplines.
const (
	// firstCome queues requests at each endpoint in the order of arrival.
	firstCome discipline = "first come, first served"
	// localFair has a fair queue at each endpoint, which knows only the service that this
	// endpoint gave.
	localFair discipline = "fair at each agent"
	// reportedFair has a fair queue at each endpoint, to which gateways report the rate
	// of service of the workspace with each request.
	reportedFair discipline = "with stated service"
	// globalFair has one fair queue for all endpoints, as an ideal to compare with.
	globalFair discipline = "one fair queue"
)

// fairnessRun is one simulation of a discipline. Its maps are keyed by workspace.
type fairnessRun struct {
	simulator
	random     *rand.Rand
	discipline discipline
	demands    []demand
	endpoints  []*fairnessEndpoint
	// globalQueue is used only by globalFair.
	globalQueue chivefair.Queue[*fairnessRequest]
	// waits holds the times to the first token in seconds.
	waits map[string][]float64
	// served and arrived hold the tokens of the requests that started and arrived in
	// the current window.
	served  map[string]float64
	arrived map[string]float64
	// backlog holds the tokens of the queued requests.
	backlog map[string]float64
	meters  map[string]*chivefair.Meter
	// deviations holds the largest deviation of any workspace in each window, as a
	// fraction of the service to which it is entitled.
	deviations []float64
	// largeDeviations holds the same for large workspaces only.
	largeDeviations []float64
}

// fairnessEndpoint is a simulated endpoint with its queue.
type fairnessEndpoint struct {
	running int
	// queue is used by the fair disciplines, fifo by firstCome.
	queue chivefair.Queue[*fairnessRequest]
	fifo  []*fairnessRequest
}

// fairnessRequest is a simulated request.
type fairnessRequest struct {
	demand *demand
	// tokens is the actual length of the answer.
	tokens float64
	// arrivedAt is the simulated time in seconds.
	arrivedAt float64
	ticket    *chivefair.Ticket[*fairnessRequest]
}

// slotsPerEndpoint is the number of requests that an endpoint runs at once.
const slotsPerEndpoint = 8

func newFairnessRun(d discipline, demands []demand, endpoints int, seed uint64) *fairnessRun {
	f := &fairnessRun{
		random: rand.New(rand.NewPCG(seed, 2)), discipline: d, demands: demands, waits: map[string][]float64{},
		served: map[string]float64{}, arrived: map[string]float64{}, backlog: map[string]float64{}, meters: map[string]*chivefair.Meter{},
	}
	for range endpoints {
		f.endpoints = append(f.endpoints, &fairnessEndpoint{queue: chivefair.Queue[*fairnessRequest]{MaxLen: maxQueueLen}})
	}
	f.globalQueue.MaxLen = maxQueueLen * endpoints
	return f
}

// run runs the simulation and records the deviations in every window.
func (f *fairnessRun) run() {
	for i := range f.demands {
		f.scheduleArrival(&f.demands[i])
	}
	f.simulator.runUntil(warmUpSeconds)
	for f.now < warmUpSeconds+fairnessSeconds {
		initialBacklog := map[string]float64{}
		for name, b := range f.backlog {
			initialBacklog[name] = b
		}
		f.served, f.arrived = map[string]float64{}, map[string]float64{}
		f.simulator.runUntil(f.now + windowSeconds)
		f.recordDeviations(initialBacklog)
	}
	sort.Float64s(f.deviations)
}

// scheduleArrival schedules the next request of a workspace, which schedules the one
// after it.
func (f *fairnessRun) scheduleArrival(d *demand) {
	capacity := float64(len(f.endpoints)*slotsPerEndpoint) / stepSeconds
	rate := d.offeredLoad * capacity / meanTokens
	f.schedule(f.random.ExpFloat64()/rate, func() {
		r := &fairnessRequest{demand: d, tokens: math.Ceil(meanTokens * (0.25 + 1.5*f.random.Float64())), arrivedAt: f.now}
		f.arrived[d.name] += r.tokens
		f.backlog[d.name] += r.tokens
		f.submit(r)
		f.scheduleArrival(d)
	})
}

// submit routes a request to an endpoint and queues it there, or queues it globally.
func (f *fairnessRun) submit(r *fairnessRequest) {
	const cost = meanTokens
	if f.discipline == globalFair {
		var dropped *chivefair.Ticket[*fairnessRequest]
		r.ticket, dropped = f.globalQueue.Push(f.simulatedTime(), r.demand.name, r.demand.share, cost, "g", r)
		f.removeDropped(dropped)
		for _, e := range f.endpoints {
			f.startQueued(e)
		}
		return
	}
	e := f.endpoints[f.route(r.demand)]
	if f.discipline == firstCome {
		e.fifo = append(e.fifo, r)
		if len(e.fifo) > maxQueueLen {
			f.backlog[r.demand.name] -= r.tokens
			e.fifo = e.fifo[:maxQueueLen]
		}
	} else {
		if f.discipline == reportedFair {
			e.queue.SetGatewayRate(f.simulatedTime(), r.demand.name, "g", f.meter(r.demand).Rate(f.simulatedTime()))
		}
		var dropped *chivefair.Ticket[*fairnessRequest]
		r.ticket, dropped = e.queue.Push(f.simulatedTime(), r.demand.name, r.demand.share, cost, "g", r)
		f.removeDropped(dropped)
	}
	f.startQueued(e)
}

// removeDropped removes a request that a queue dropped from the backlog. The ticket is
// nil if there is none.
func (f *fairnessRun) removeDropped(t *chivefair.Ticket[*fairnessRequest]) {
	if t != nil {
		f.backlog[t.Item.demand.name] -= t.Item.tokens
	}
}

// simulatedTime returns the simulated time.
func (f *fairnessRun) simulatedTime() time.Time {
	return simulationStart.Add(time.Duration(f.now * float64(time.Second)))
}

// meter returns the meter of a workspace's service through its gateway.
func (f *fairnessRun) meter(d *demand) *chivefair.Meter {
	m := f.meters[d.name]
	if m == nil {
		m = &chivefair.Meter{}
		f.meters[d.name] = m
	}
	return m
}

// route picks an endpoint by prefix and load, as gateways do: the first attempts move
// on if the endpoint has no free slot.
func (f *fairnessRun) route(d *demand) int {
	prefix := chiveroute.HashPrefix(d.name, fmt.Sprint(f.random.IntN(d.prefixCount)))
	var tried []int
	for {
		i := f.pick(prefix, tried)
		if f.endpoints[i].running < slotsPerEndpoint || len(tried) == unqueuedAttempts {
			return i
		}
		tried = append(tried, i)
	}
}

// pick picks an endpoint that was not tried.
func (f *fairnessRun) pick(prefix uint64, tried []int) int {
	candidates := make([]chiveroute.Candidate, len(f.endpoints))
	for i, e := range f.endpoints {
		candidates[i] = chiveroute.Candidate{Hash: chiveroute.HashEndpoint(fmt.Sprint(i)), Limit: slotsPerEndpoint, UnreportedRequests: e.running + e.queue.Len() + len(e.fifo)}
	}
	for _, i := range tried {
		candidates[i].Excluded = true
	}
	return chiveroute.Pick(candidates, prefix, simulationStart, f.random)
}

// startQueued starts queued requests in the free slots of an endpoint.
func (f *fairnessRun) startQueued(e *fairnessEndpoint) {
	for e.running < slotsPerEndpoint {
		r := f.dequeue(e)
		if r == nil {
			return
		}
		e.running++
		f.meter(r.demand).Add(f.simulatedTime(), meanTokens)
		f.waits[r.demand.name] = append(f.waits[r.demand.name], f.now-r.arrivedAt+stepSeconds)
		f.served[r.demand.name] += r.tokens
		f.backlog[r.demand.name] -= r.tokens
		f.schedule(r.tokens*stepSeconds, func() {
			e.running--
			f.correctCost(e, r)
			f.startQueued(e)
		})
	}
}

// correctCost replaces the expected cost of a finished request by the actual one.
func (f *fairnessRun) correctCost(e *fairnessEndpoint, r *fairnessRequest) {
	switch f.discipline {
	case globalFair:
		f.globalQueue.CorrectCost(f.simulatedTime(), r.ticket, r.tokens)
	case localFair, reportedFair:
		f.meter(r.demand).Add(f.simulatedTime(), r.tokens-meanTokens)
		e.queue.CorrectCost(f.simulatedTime(), r.ticket, r.tokens)
	}
}

// dequeue removes and returns the next request for an endpoint, nil if there is none.
func (f *fairnessRun) dequeue(e *fairnessEndpoint) *fairnessRequest {
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
		queue = &f.globalQueue
	}
	t := queue.Pop(f.simulatedTime())
	if t == nil {
		return nil
	}
	return t.Item
}

// recordDeviations records how far the service of workspaces in the last window
// deviates from their weighted max-min fair shares of the served total. The argument
// is the backlog at the start of the window.
func (f *fairnessRun) recordDeviations(initialBacklog map[string]float64) {
	var total float64
	for _, s := range f.served {
		total += s
	}
	demanded := map[string]float64{}
	for _, d := range f.demands {
		demanded[d.name] = initialBacklog[d.name] + f.arrived[d.name]
	}
	worst, worstLarge := 0.0, 0.0
	for name, entitled := range maxMinFair(f.demands, demanded, total) {
		if entitled >= minEntitledFraction*total {
			worst = max(worst, math.Abs(f.served[name]-entitled)/entitled)
		}
		if entitled >= largeEntitledFraction*total {
			worstLarge = max(worstLarge, math.Abs(f.served[name]-entitled)/entitled)
		}
	}
	f.deviations = append(f.deviations, worst)
	f.largeDeviations = append(f.largeDeviations, worstLarge)
}

// maxMinFair returns the weighted max-min fair shares of a total by workspace, each at
// most what the workspace demanded.
func maxMinFair(demands []demand, demanded map[string]float64, total float64) map[string]float64 {
	fairShares := map[string]float64{}
	unsatisfied := append([]demand(nil), demands...)
	for len(unsatisfied) > 0 {
		var totalShare float64
		for _, d := range unsatisfied {
			totalShare += d.share
		}
		normalizedService := total / totalShare
		var remaining []demand
		for _, d := range unsatisfied {
			if demanded[d.name] <= normalizedService*d.share {
				fairShares[d.name] = demanded[d.name]
				total -= demanded[d.name]
			} else {
				remaining = append(remaining, d)
			}
		}
		if len(remaining) == len(unsatisfied) {
			for _, d := range remaining {
				fairShares[d.name] = normalizedService * d.share
			}
			break
		}
		unsatisfied = remaining
	}
	return fairShares
}

// fleetDemands returns the demands of four large and 13 small workspaces. With flood,
// three of the large ones offer far more than their fair share; without it, no
// workspace offers more than a tenth of the capacity.
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
		list[i].offeredLoad = min(list[i].offeredLoad, 0.1)
	}
	return list
}

// Fairness compares queueing disciplines under overload in a simulation and writes a
// table to out.
func Fairness(_ context.Context, s Settings, out io.Writer) error {
	_, _ = fmt.Fprintf(out, "# Fair share\n\n17 workspaces offer three times the capacity: four large ones, of which three flood, one of them with 3 prompt prefixes only, and 13 small ones. "+
		"Deviation is the worst of any workspace owed 2 %% or more from its weighted max-min fair part, in windows of %g s. Wait is the time to the first token of a small workspace that uses less than its part.\n\n", windowSeconds)
	_, _ = fmt.Fprintln(out, "| endpoints | waiting | deviation p50 % | worst % | of large p50 % | worst % | small: wait p95 alone | beside the flood | ratio |")
	_, _ = fmt.Fprintln(out, "|--:|--|--:|--:|--:|--:|--:|--:|--:|")
	for _, endpoints := range []int{4, 16, 24} {
		for _, d := range []discipline{firstCome, localFair, reportedFair, globalFair} {
			flood := newFairnessRun(d, fleetDemands(true), endpoints, s.Seed)
			flood.run()
			noFlood := newFairnessRun(d, fleetDemands(false), endpoints, s.Seed)
			noFlood.run()
			alone, beside := quantile(noFlood.waits["probe"], 0.95), quantile(flood.waits["probe"], 0.95)
			_, _ = fmt.Fprintf(out, "| %d | %s | %.1f | %.1f | %.1f | %.1f | %.0f ms | %.0f ms | %.1f |\n", endpoints, d,
				100*quantile(flood.deviations, 0.5), 100*quantile(flood.deviations, 1), 100*quantile(flood.largeDeviations, 0.5), 100*quantile(flood.largeDeviations, 1), 1000*alone, 1000*beside, beside/alone)
		}
	}
	return nil
}

// quantile sorts a list and returns its quantile q between 0 and 1, NaN for an empty
// list.
func quantile(list []float64, q float64) float64 {
	if len(list) == 0 {
		return math.NaN()
	}
	sort.Float64s(list)
	return list[int(q*float64(len(list)-1))]
}
