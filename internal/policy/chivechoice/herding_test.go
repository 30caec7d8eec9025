package chivechoice

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

// fleetSim simulates a fleet whose entry VMs choose runners by reported load.
// Entry VMs report to their own zone every period; zones exchange sums of these
// reports, which arrive with a further lag.
type fleetSim struct {
	zones, entries, runners int
	// rate is the number of requests per second, service their mean duration in
	// seconds.
	rate, service float64
	// period is the time between two reports of an entry VM, lag the age at which
	// the sums of a zone reach the others, both in seconds.
	period, lag float64
	slots       int

	draw *rand.Rand
	// own holds the requests of each entry VM at each runner, reported those that
	// it last reported.
	own, reported [][]int
	// zoneSums holds the sum of the reports of each zone, remoteSums the latest
	// sums that have reached the other zones.
	zoneSums, remoteSums [][]int
	inTransit            []zoneReport
	busy                 []int
	completions          completionHeap
}

// zoneReport holds the sums of a zone and when they reach the other zones.
type zoneReport struct {
	at   float64
	zone int
	busy []int
}

// completion is the end of a request.
type completion struct {
	at            float64
	entry, runner int
}

// completionHeap orders completions by time.
type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// step is the time step of the simulation, in seconds.
const step = 0.01

// run simulates the fleet. It returns the fraction of requests that reached a
// runner with all slots taken, and the fraction that went to another zone.
func (s *fleetSim) run(seconds float64, choose func([]Candidate, *rand.Rand) int) (fullFraction, crossZone float64) {
	s.own, s.reported = newGrid(s.entries, s.runners), newGrid(s.entries, s.runners)
	s.zoneSums, s.remoteSums = newGrid(s.zones, s.runners), newGrid(s.zones, s.runners)
	s.busy, s.completions, s.inTransit = make([]int, s.runners), nil, nil
	nextReport := make([]float64, s.entries)
	for i := range nextReport {
		nextReport[i] = s.draw.Float64() * s.period
	}
	requests, toFull, toOtherZone := 0, 0, 0
	for now := 0.0; now < seconds; now += step {
		s.complete(now)
		s.exchangeReports(now, nextReport)
		for range s.arrivals() {
			entry := s.draw.IntN(s.entries)
			runner := choose(s.candidates(entry), s.draw)
			if runner < 0 {
				continue
			}
			requests++
			if s.busy[runner] >= s.slots {
				toFull++
			}
			if runner%s.zones != entry%s.zones {
				toOtherZone++
			}
			s.own[entry][runner]++
			s.busy[runner]++
			heap.Push(&s.completions, completion{at: now + s.service*(0.3+1.4*s.draw.Float64()), entry: entry, runner: runner})
		}
	}
	return float64(toFull) / float64(requests), float64(toOtherZone) / float64(requests)
}

func newGrid(rows, columns int) [][]int {
	g := make([][]int, rows)
	for i := range g {
		g[i] = make([]int, columns)
	}
	return g
}

// complete removes the requests that have ended by now.
func (s *fleetSim) complete(now float64) {
	for len(s.completions) > 0 && s.completions[0].at <= now {
		c := heap.Pop(&s.completions).(completion)
		s.own[c.entry][c.runner]--
		s.busy[c.runner]--
	}
}

// exchangeReports sends the reports that are due and delivers the sums of zones
// whose lag has passed. The first entry VM of a zone also sends the sums of the
// zone.
func (s *fleetSim) exchangeReports(now float64, nextReport []float64) {
	for i := range s.entries {
		if now < nextReport[i] {
			continue
		}
		nextReport[i] += s.period
		z := i % s.zones
		for r := range s.runners {
			s.zoneSums[z][r] += s.own[i][r] - s.reported[i][r]
			s.reported[i][r] = s.own[i][r]
		}
		if i < s.zones {
			s.inTransit = append(s.inTransit, zoneReport{at: now + s.lag, zone: z, busy: append([]int(nil), s.zoneSums[z]...)})
		}
	}
	for len(s.inTransit) > 0 && s.inTransit[0].at <= now {
		s.remoteSums[s.inTransit[0].zone] = s.inTransit[0].busy
		s.inTransit = s.inTransit[1:]
	}
}

// arrivals draws the number of requests in a step from a Poisson distribution.
func (s *fleetSim) arrivals() int {
	limit, p, n := math.Exp(-s.rate*step), s.draw.Float64(), 0
	for p > limit {
		p *= s.draw.Float64()
		n++
	}
	return n
}

// candidates returns the runners with their load as the entry VM sees it.
func (s *fleetSim) candidates(entry int) []Candidate {
	z := entry % s.zones
	list := make([]Candidate, s.runners)
	for r := range list {
		inFlight := s.zoneSums[z][r] - s.reported[entry][r] + s.own[entry][r]
		for y := range s.zones {
			if y != z {
				inFlight += s.remoteSums[y][r]
			}
		}
		list[r] = Candidate{InFlight: inFlight, Slots: s.slots, SameZone: r%s.zones == z}
	}
	return list
}

// maxFullFraction is the fraction of requests that may find all slots of their runner
// taken; 95% of requests must get their first token in time.
const maxFullFraction = 0.05

// TestHerdingOnStaleReports guards against herding: with reports some hundred
// milliseconds old, entry VMs that all choose the least loaded runner send to the
// same one. The fleets run at about half of their slots.
func TestHerdingOnStaleReports(t *testing.T) {
	tests := []struct {
		give  string
		fleet fleetSim
	}{
		{"36 entry VMs, 72 runners", fleetSim{zones: 3, entries: 36, runners: 72, rate: 330, service: 1, period: 0.25, lag: 0.4, slots: 10}},
		{"8 entry VMs, 16 runners", fleetSim{zones: 3, entries: 8, runners: 16, rate: 70, service: 1.2, period: 0.25, lag: 0.4, slots: 12}},
		{"320 entry VMs, 920 runners", fleetSim{zones: 8, entries: 320, runners: 920, rate: 4000, service: 1, period: 0.64, lag: 0.8, slots: 10}},
	}
	for _, tt := range tests {
		leastLoaded := func(list []Candidate, draw *rand.Rand) int {
			return (Chooser{QueueLimit: 100, SampleSize: len(list)}).Choose(list, draw)
		}
		sampled := func(list []Candidate, draw *rand.Rand) int { return (Chooser{QueueLimit: 100}).Choose(list, draw) }
		tt.fleet.draw = rand.New(rand.NewPCG(20261204, 7))
		naive, naiveCrossZone := tt.fleet.run(12, leastLoaded)
		tt.fleet.draw = rand.New(rand.NewPCG(20261204, 7))
		got, crossZone := tt.fleet.run(12, sampled)
		t.Logf("%s: %.4f of the requests find all slots taken (least loaded: %.4f); %.2f go to another zone (least loaded: %.2f)", tt.give, got, naive, crossZone, naiveCrossZone)
		if got > maxFullFraction {
			t.Errorf("%s: %.4f of the requests find all slots taken, more than maxFullFraction", tt.give, got)
		}
		if got > naive {
			t.Errorf("%s: more requests find all slots taken than with the least loaded runner, %.4f", tt.give, naive)
		}
	}
}
