package chivechoice

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// workLoad is a load of requests of uneven work on runners whose slots are counted by requests.
type workLoad struct {
	give string
	// spread is that of the logarithm of the work, which is at most 2.5 times the usual.
	spread float64
	// reportAge is the time between two reports of an entry VM, in units of a usual request.
	reportAge float64
	// guess returns the work that is expected of a request.
	guess func(r *rand.Rand, work float64) float64
	// slowRunner reports whether the first runner is four times slower than the others.
	slowRunner bool
}

// workTask is a request at a runner.
type workTask struct {
	entry                int
	left, guess, arrived float64
}

const (
	// waitNoise is a wait, in units of a usual request, that callers do not notice.
	waitNoise = 0.002
	// testWorkWeight is the weight that entry VMs use.
	testWorkWeight = 0.2

	workEntries = 12
	workRunners = 24
	workSlots   = 10
	// workStep is the length of a step, in units of a usual request.
	workStep = 0.02
	// workRate is the number of requests in a step: 0.8 of the slots are busy.
	workRate = 0.8 * workRunners * workSlots * workStep
)

// run plays the load. It returns the mean time for which requests wait for a slot, that of the
// hundredth that waits longest, and the mean of the most running requests at a runner.
func (l workLoad) run(choose Chooser, seed uint64) (mean, worst, most float64) {
	r := rand.New(rand.NewPCG(seed, 3))
	runners := make([][]workTask, workRunners)
	var reported [workEntries][workRunners]Candidate
	var waits []float64
	steps, sent := 4000, 0.0
	for step := range steps {
		now := float64(step) * workStep
		for e := range workEntries {
			if period := int(l.reportAge / workStep); (step+e)%period == 0 {
				reported[e] = sumTasks(runners, e)
			}
		}
		for sent += workRate * (0.6 + 0.8*r.Float64()); sent >= 1; sent-- {
			work := max(0.05, min(2.5, math.Exp(l.spread*r.NormFloat64()-l.spread*l.spread/2)))
			entry := r.IntN(workEntries)
			list := sumTasks(runners, entry)
			for i := range list {
				for e := range workEntries {
					if e != entry {
						list[i].InFlight += reported[e][i].InFlight
						list[i].Work += reported[e][i].Work
					}
				}
				list[i].Slots, list[i].SameZone = workSlots, true
			}
			if i := choose.Choose(list[:], r); i >= 0 {
				runners[i] = append(runners[i], workTask{entry, work, l.guess(r, work), now})
			}
		}
		busiest := 0
		for i := range runners {
			busiest = max(busiest, min(workSlots, len(runners[i])))
			runners[i], waits = l.advance(runners[i], i, now, waits)
		}
		most += float64(busiest) / float64(steps)
	}
	slices.Sort(waits)
	for _, w := range waits {
		mean += w / float64(len(waits))
	}
	return mean, waits[len(waits)*99/100], most
}

// advance runs the requests in the slots of a runner for a step and appends the times for
// which those that start have waited.
func (l workLoad) advance(tasks []workTask, runner int, now float64, waits []float64) (rest []workTask, all []float64) {
	speed := workStep
	if l.slowRunner && runner == 0 {
		speed /= 4
	}
	for i := range min(workSlots, len(tasks)) {
		if tasks[i].arrived >= 0 {
			waits = append(waits, now-tasks[i].arrived)
			tasks[i].arrived = -1
		}
		tasks[i].left -= speed
		tasks[i].guess = max(0.1, tasks[i].guess-speed)
	}
	return slices.DeleteFunc(tasks, func(t workTask) bool { return t.left <= 0 }), waits
}

// sumTasks returns the load that an entry VM puts on each runner.
func sumTasks(runners [][]workTask, entry int) (sums [workRunners]Candidate) {
	for i := range runners {
		for _, t := range runners[i] {
			if t.entry == entry {
				sums[i].InFlight++
				sums[i].Work += t.guess
			}
		}
	}
	return sums
}

// TestChooseByWork compares the choice by count and work with those by count alone and
// by work alone. It may not lose against counting, also where expectations are wrong.
func TestChooseByWork(t *testing.T) {
	learned := func(r *rand.Rand, work float64) float64 { return work * math.Exp(0.25*r.NormFloat64()) }
	lies := func(r *rand.Rand, _ float64) float64 { return 2.5 * r.Float64() }
	tests := []struct {
		load workLoad
		// bound is the largest mean wait, in that of counting.
		bound float64
	}{
		{workLoad{"heavy tails", 0.8, 0.1, learned, false}, 1},
		{workLoad{"heavy tails, reports a fifth of a request's time old", 0.8, 0.2, learned, false}, 1},
		{workLoad{"heavy tails, reports half of a request's time old", 0.8, 0.5, learned, false}, 1},
		{workLoad{"heavy tails, one slow runner", 0.8, 0.1, learned, true}, 1},
		{workLoad{"all alike", 0, 0.1, learned, false}, 1},
		{workLoad{"expectations that are pure chance", 0.8, 0.2, lies, false}, 1},
	}
	for _, tt := range tests {
		var counted, got, alone [3]float64
		for seed := range uint64(3) {
			add(&counted, tt.load, Chooser{QueueLimit: 1000}, seed)
			add(&got, tt.load, Chooser{QueueLimit: 1000, WorkWeight: testWorkWeight}, seed)
			add(&alone, tt.load, Chooser{QueueLimit: 1000, WorkWeight: 1}, seed)
		}
		t.Logf("%s: mean wait %.4f (counting %.4f, work alone %.4f), worst hundredth %.3f (%.3f), most running %.2f (%.2f)", tt.load.give, got[0], counted[0], alone[0], got[1], counted[1], got[2], counted[2])
		if got[0] > tt.bound*counted[0]+waitNoise {
			t.Errorf("%s: mean wait %.4f, want at most %v of %.4f, that of counting", tt.load.give, got[0], tt.bound, counted[0])
		}
	}
}

func add(sums *[3]float64, l workLoad, c Chooser, seed uint64) {
	mean, worst, most := l.run(c, seed)
	sums[0], sums[1], sums[2] = sums[0]+mean/3, sums[1]+worst/3, sums[2]+most/3
}

// TestChooseAllocates checks that a choice allocates nothing.
func TestChooseAllocates(t *testing.T) {
	list, r := manyCandidates()
	if n := testing.AllocsPerRun(100, func() { (Chooser{WorkWeight: testWorkWeight}).Choose(list, r) }); n > 0 {
		t.Errorf("a choice allocates %v times", n)
	}
}

func manyCandidates() ([]Candidate, *rand.Rand) {
	r := rand.New(rand.NewPCG(1, 2))
	list := make([]Candidate, 72)
	for i := range list {
		list[i] = Candidate{InFlight: r.IntN(10), Work: 10 * r.Float64(), Slots: 10, SameZone: i%3 == 0}
	}
	return list, r
}

func BenchmarkChoose(b *testing.B) {
	list, r := manyCandidates()
	b.ReportAllocs()
	for b.Loop() {
		(Chooser{WorkWeight: testWorkWeight}).Choose(list, r)
	}
}
