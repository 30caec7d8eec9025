package chivechoice

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
)

// A herd is a fleet whose entry VMs choose runners by reports of each other's
// load: those of their zone come every period, sums of other zones later still.
type herd struct {
	zones, entries, runners int
	// rate is the number of requests a second, service their mean time, in seconds.
	rate, service float64
	// period is the time between two reports, lag how old sums of zones are, in
	// seconds.
	period, lag float64
	slots       int

	draw *rand.Rand
	// own holds each entry VM's requests, told what it reported last.
	own, told [][]int
	// sums holds what the entry VMs of each zone have reported, far the newest sums
	// that other zones have.
	sums, far [][]int
	late      []lateSum
	busy      []int
	ends      ends
}

// A lateSum is a zone's sum on its way to others.
type lateSum struct {
	at   float64
	zone int
	busy []int
}

// An end is that of a request.
type end struct {
	at            float64
	entry, runner int
}

// ends is a heap by time.
type ends []end

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].at < e[j].at }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(end)) }
func (e *ends) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// step is the time between two looks, in seconds.
const step = 0.01

// run returns the part of all requests that came to a runner with all slots taken,
// and the part that went to another zone.
func (h *herd) run(seconds float64, choose func([]Candidate, *rand.Rand) int) (crowded, far float64) {
	h.own, h.told = grid(h.entries, h.runners), grid(h.entries, h.runners)
	h.sums, h.far = grid(h.zones, h.runners), grid(h.zones, h.runners)
	h.busy, h.ends, h.late = make([]int, h.runners), nil, nil
	due := make([]float64, h.entries)
	for i := range due {
		due[i] = h.draw.Float64() * h.period
	}
	count, over, away := 0, 0, 0
	for now := 0.0; now < seconds; now += step {
		h.end(now)
		h.report(now, due)
		for range h.arrivals() {
			entry := h.draw.IntN(h.entries)
			runner := choose(h.candidates(entry), h.draw)
			if runner < 0 {
				continue
			}
			count++
			if h.busy[runner] >= h.slots {
				over++
			}
			if runner%h.zones != entry%h.zones {
				away++
			}
			h.own[entry][runner]++
			h.busy[runner]++
			heap.Push(&h.ends, end{at: now + h.service*(0.3+1.4*h.draw.Float64()), entry: entry, runner: runner})
		}
	}
	return float64(over) / float64(count), float64(away) / float64(count)
}

func grid(rows, columns int) [][]int {
	g := make([][]int, rows)
	for i := range g {
		g[i] = make([]int, columns)
	}
	return g
}

func (h *herd) end(now float64) {
	for len(h.ends) > 0 && h.ends[0].at <= now {
		e := heap.Pop(&h.ends).(end)
		h.own[e.entry][e.runner]--
		h.busy[e.runner]--
	}
}

// report sends the reports that are due, and lets sums of zones arrive.
func (h *herd) report(now float64, due []float64) {
	for i := range h.entries {
		if now < due[i] {
			continue
		}
		due[i] += h.period
		z := i % h.zones
		for r := range h.runners {
			h.sums[z][r] += h.own[i][r] - h.told[i][r]
			h.told[i][r] = h.own[i][r]
		}
		if i < h.zones {
			h.late = append(h.late, lateSum{at: now + h.lag, zone: z, busy: append([]int(nil), h.sums[z]...)})
		}
	}
	for len(h.late) > 0 && h.late[0].at <= now {
		h.far[h.late[0].zone] = h.late[0].busy
		h.late = h.late[1:]
	}
}

// arrivals draws the number of requests of a step.
func (h *herd) arrivals() int {
	limit, p, n := math.Exp(-h.rate*step), h.draw.Float64(), 0
	for p > limit {
		p *= h.draw.Float64()
		n++
	}
	return n
}

// candidates returns the runners as an entry VM knows them.
func (h *herd) candidates(entry int) []Candidate {
	z := entry % h.zones
	list := make([]Candidate, h.runners)
	for r := range list {
		busy := h.sums[z][r] - h.told[entry][r] + h.own[entry][r]
		for y := range h.zones {
			if y != z {
				busy += h.far[y][r]
			}
		}
		list[r] = Candidate{InFlight: busy, Slots: h.slots, SameZone: r%h.zones == z}
	}
	return list
}

// crowdedBound is the part of the requests that may find all slots of their runner
// taken: 95 in 100 are to have their first token in time.
const crowdedBound = 0.05

// TestHerd answers a pattern of load: many entry VMs whose reports are some hundred
// milliseconds old, at half of the fleet's slots. Whoever sends to the runner with
// the least load sends where all others do.
func TestHerd(t *testing.T) {
	tests := []struct {
		give string
		herd herd
	}{
		{"36 entry VMs, 72 runners", herd{zones: 3, entries: 36, runners: 72, rate: 330, service: 1, period: 0.25, lag: 0.4, slots: 10}},
		{"8 entry VMs, 16 runners", herd{zones: 3, entries: 8, runners: 16, rate: 70, service: 1.2, period: 0.25, lag: 0.4, slots: 12}},
		{"320 entry VMs, 920 runners", herd{zones: 8, entries: 320, runners: 920, rate: 4000, service: 1, period: 0.64, lag: 0.8, slots: 10}},
	}
	for _, tt := range tests {
		least := func(list []Candidate, draw *rand.Rand) int {
			return (Chooser{QueueLimit: 100, SampleSize: len(list)}).Choose(list, draw)
		}
		sampled := func(list []Candidate, draw *rand.Rand) int { return (Chooser{QueueLimit: 100}).Choose(list, draw) }
		tt.herd.draw = rand.New(rand.NewPCG(20261204, 7))
		naive, naiveFar := tt.herd.run(12, least)
		tt.herd.draw = rand.New(rand.NewPCG(20261204, 7))
		got, far := tt.herd.run(12, sampled)
		t.Logf("%s: %.4f of the requests find all slots taken, %.4f with the least load; %.2f and %.2f go to another zone", tt.give, got, naive, far, naiveFar)
		if got > crowdedBound {
			t.Errorf("%s: %.4f of the requests find all slots taken", tt.give, got)
		}
		if got > naive {
			t.Errorf("%s: that is more than with the least load, %.4f", tt.give, naive)
		}
	}
}
