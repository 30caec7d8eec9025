package chivefair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetLoad is a service that several gateways send to, each with a ledger, without
// queues: a request finds a place or is refused.
type fleetLoad struct {
	slots, kept int
	service     time.Duration
	gateways    []*Ledger
	// naive keeps no places.
	naive bool
}

// ending is the end of a request, endings a heap of them by time.
type ending time.Duration

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i] < e[j] }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// asker is a workspace with its demand, at some of the gateways.
type asker struct {
	name     string
	rate     float64
	gateways []int
}

// run returns the part of each workspace's requests that was served, and all that
// were served in a second.
func (f *fleetLoad) run(askers []asker, seconds float64, draw *rand.Rand) (part map[string]float64, rate float64) {
	const (
		warm   = 5.0
		step   = 0.001
		period = 0.25
	)
	asked, served := map[string]float64{}, map[string]float64{}
	var busy endings
	all, report := 0.0, 0.0
	for now := 0.0; now < warm+seconds; now += step {
		at := time.Duration(now * float64(time.Second))
		for len(busy) > 0 && time.Duration(busy[0]) <= at {
			heap.Pop(&busy)
		}
		if now >= report {
			report += period
			f.tell(at)
		}
		for _, a := range askers {
			if draw.Float64() >= a.rate*step {
				continue
			}
			ok := f.ask(&busy, at, a.name, f.gateways[a.gateways[draw.IntN(len(a.gateways))]], draw)
			if now < warm {
				continue
			}
			asked[a.name]++
			if ok {
				served[a.name]++
				all++
			}
		}
	}
	part = map[string]float64{}
	for name, n := range asked {
		part[name] = served[name] / n
	}
	return part, all / seconds
}

func (f *fleetLoad) ask(busy *endings, at time.Duration, workspace string, g *Ledger, draw *rand.Rand) bool {
	now := time.Unix(0, int64(at))
	limit := f.slots
	if !f.naive && g.OverShare(now, workspace) {
		limit -= f.kept
	}
	if len(*busy) >= limit {
		return false
	}
	g.Add(now, workspace, 1)
	heap.Push(busy, ending(at+time.Duration(float64(f.service)*(0.3+1.4*draw.Float64()))))
	return true
}

// tell has the gateways state what they have served.
func (f *fleetLoad) tell(at time.Duration) {
	now := time.Unix(0, int64(at))
	for i, from := range f.gateways {
		for j, to := range f.gateways {
			if i != j {
				to.SetRemoteRates(now, fmt.Sprint(i), from.LocalRates(now))
			}
		}
	}
}

// fairBound is how far below max-min fairness the service of a workspace may stay.
const fairBound = 0.05

// TestFlood answers a pattern of load: one workspace floods a service through all
// gateways, others ask for less than an equal share through a few of them. Where
// one place in eleven is kept from workspaces over their share, the others are
// served as max-min fairness has it, in full; first come, first served they lose
// what the flood takes.
func TestFlood(t *testing.T) {
	for _, flood := range []float64{200, 400, 1000} {
		var askers []asker
		for i := range 9 {
			askers = append(askers, asker{fmt.Sprint("small-", i), 10, []int{i % 4, (i + 1) % 4}})
		}
		askers = append(askers, asker{"flood", flood, []int{0, 1, 2, 3}})
		run := func(naive bool) (least float64, rate float64) {
			f := &fleetLoad{slots: 44, kept: 4, service: 200 * time.Millisecond, naive: naive}
			for range 4 {
				f.gateways = append(f.gateways, &Ledger{})
			}
			part, rate := f.run(askers, 60, rand.New(rand.NewPCG(20261204, 42)))
			least = 1
			for _, a := range askers[:9] {
				least = min(least, part[a.name])
			}
			return least, rate
		}
		fair, rate := run(false)
		first, most := run(true)
		t.Logf("flood of %.0f a second: %.3f of a small workspace served, %.3f when the first come is; %.0f and %.0f a second in all", flood, fair, first, rate, most)
		if fair < 1-fairBound {
			t.Errorf("flood of %.0f a second: only %.3f of a small workspace is served", flood, fair)
		}
		if rate < (1-2*fairBound)*most {
			t.Errorf("flood of %.0f a second: %.0f a second are served, %.0f when the first come is", flood, rate, most)
		}
	}
}
