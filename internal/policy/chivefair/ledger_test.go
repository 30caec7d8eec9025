package chivefair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetSim simulates a service behind several gateways, each with a ledger. There
// are no queues: a request takes a slot or is refused.
type fleetSim struct {
	// reserved is the number of slots that workspaces over their share may not
	// take.
	slots, reserved int
	// service is the mean duration of a request.
	service  time.Duration
	gateways []*Ledger
	// firstCome disables the reservation.
	firstCome bool
}

// completion is the time at which a request ends.
type completion time.Duration

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// workload is the demand of a workspace, in requests per second, and the indices
// of the gateways that it uses.
type workload struct {
	workspace string
	rate      float64
	gateways  []int
}

// run simulates the workloads for the given time after a warm-up. It returns the
// fraction of each workspace's requests that was served, and the requests served
// per second in total.
func (s *fleetSim) run(workloads []workload, seconds float64, draw *rand.Rand) (fraction map[string]float64, rate float64) {
	const (
		warmUp = 5.0
		step   = 0.001
		period = 0.25
	)
	requested, served := map[string]float64{}, map[string]float64{}
	var busy completionHeap
	total, nextReport := 0.0, 0.0
	for now := 0.0; now < warmUp+seconds; now += step {
		at := time.Duration(now * float64(time.Second))
		for len(busy) > 0 && time.Duration(busy[0]) <= at {
			heap.Pop(&busy)
		}
		if now >= nextReport {
			nextReport += period
			s.exchangeRates(at)
		}
		for _, w := range workloads {
			if draw.Float64() >= w.rate*step {
				continue
			}
			ok := s.request(&busy, at, w.workspace, s.gateways[w.gateways[draw.IntN(len(w.gateways))]], draw)
			if now < warmUp {
				continue
			}
			requested[w.workspace]++
			if ok {
				served[w.workspace]++
				total++
			}
		}
	}
	fraction = map[string]float64{}
	for workspace, n := range requested {
		fraction[workspace] = served[workspace] / n
	}
	return fraction, total / seconds
}

// request reports whether a request through the gateway gets a slot.
func (s *fleetSim) request(busy *completionHeap, at time.Duration, workspace string, g *Ledger, draw *rand.Rand) bool {
	now := time.Unix(0, int64(at))
	limit := s.slots
	if !s.firstCome && g.OverShare(now, workspace) {
		limit -= s.reserved
	}
	if len(*busy) >= limit {
		return false
	}
	g.Add(now, workspace, 1)
	heap.Push(busy, completion(at+time.Duration(float64(s.service)*(0.3+1.4*draw.Float64()))))
	return true
}

// exchangeRates sends the rates of each gateway to all others.
func (s *fleetSim) exchangeRates(at time.Duration) {
	now := time.Unix(0, int64(at))
	for i, from := range s.gateways {
		for j, to := range s.gateways {
			if i != j {
				to.SetRemoteRates(now, fmt.Sprint(i), from.LocalRates(now))
			}
		}
	}
}

// maxUnfairness is the fraction by which the service of a workspace may stay below
// max-min fairness.
const maxUnfairness = 0.05

// TestOverShareProtectsSmallWorkspaces guards against a workspace that floods a
// service through all gateways while others ask for less than an equal share
// through some of them. With one slot in eleven closed to workspaces over their
// share, max-min fairness requires that the others are served in full. Without the
// closed slots, the flood takes slots that they need.
func TestOverShareProtectsSmallWorkspaces(t *testing.T) {
	for _, flood := range []float64{200, 400, 1000} {
		var workloads []workload
		for i := range 9 {
			workloads = append(workloads, workload{fmt.Sprint("small-", i), 10, []int{i % 4, (i + 1) % 4}})
		}
		workloads = append(workloads, workload{"flood", flood, []int{0, 1, 2, 3}})
		run := func(firstCome bool) (least float64, rate float64) {
			s := &fleetSim{slots: 44, reserved: 4, service: 200 * time.Millisecond, firstCome: firstCome}
			for range 4 {
				s.gateways = append(s.gateways, &Ledger{})
			}
			fraction, rate := s.run(workloads, 60, rand.New(rand.NewPCG(20261204, 42)))
			least = 1
			for _, w := range workloads[:9] {
				least = min(least, fraction[w.workspace])
			}
			return least, rate
		}
		fair, fairRate := run(false)
		unfair, maxRate := run(true)
		t.Logf("flood of %.0f requests/s: served fraction of the worst small workspace %.3f (first come: %.3f); total %.0f requests/s (first come: %.0f)", flood, fair, unfair, fairRate, maxRate)
		if fair < 1-maxUnfairness {
			t.Errorf("flood of %.0f requests/s: served fraction of the worst small workspace is only %.3f", flood, fair)
		}
		if fairRate < (1-2*maxUnfairness)*maxRate {
			t.Errorf("flood of %.0f requests/s: total %.0f requests/s, first come, first served reaches %.0f", flood, fairRate, maxRate)
		}
	}
}
