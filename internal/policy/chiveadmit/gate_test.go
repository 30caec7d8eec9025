package chiveadmit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testTick   = 10 * time.Millisecond
	testUpdate = 200 * time.Millisecond
)

// fleet runs the gates of several entry VMs in front of one group of runners, whose requests
// last longer the more of them run.
type fleet struct {
	gates   []Gate
	limit   float64
	age     time.Duration
	random  *rand.Rand
	naive   bool
	held    []float64
	history []map[int]float64
	ends    map[int64][]running
	now     time.Duration
	peak    float64
	offered [urgencyLevels]float64
	served  [urgencyLevels]float64
	over    [2][2]float64
	stalled bool
}

type running struct {
	entry int
	work  float64
}

// load describes the requests per second by urgency at a moment and an entry VM.
type load func(now time.Duration, entry int) []float64

func newFleet(entries int, limit float64, age time.Duration, seed uint64) *fleet {
	return &fleet{
		gates: make([]Gate, entries), held: make([]float64, entries), history: make([]map[int]float64, entries),
		limit: limit, age: age, random: rand.New(rand.NewPCG(seed, 1)), ends: map[int64][]running{}, now: time.Hour,
	}
}

func (f *fleet) total() float64 {
	sum := 0.0
	for _, h := range f.held {
		sum += h
	}
	return sum
}

// reported returns what entry VM i knows of the others.
func (f *fleet) reported(i int, age time.Duration) float64 {
	step, sum := int((f.now-age)/testTick), 0.0
	for j := range f.history {
		if j != i {
			sum += f.history[j][step]
		}
	}
	return sum
}

// run offers a load for some time.
func (f *fleet) run(d time.Duration, l load) {
	for end := f.now + d; f.now < end; f.now += testTick {
		step := int64(f.now / testTick)
		if !f.stalled {
			for _, r := range f.ends[step] {
				f.held[r.entry] -= r.work
				f.gates[r.entry].End(f.now, r.work)
			}
			delete(f.ends, step)
		}
		for i := range f.gates {
			if f.history[i] == nil {
				f.history[i] = map[int]float64{}
			}
			f.history[i][int(step)] = f.held[i]
			// Reports reach each entry VM at another moment.
			if (f.now/testTick+time.Duration(i)*7)%(testUpdate/testTick) == 0 {
				f.gates[i].Update(f.now, Known{Limit: f.limit, Others: f.reported(i, f.age), Age: f.age, Entries: len(f.gates), Phase: float64(i) / float64(len(f.gates))})
			}
			for urgency, rate := range l(f.now, i) {
				f.offer(i, urgency, rate)
			}
		}
		f.peak = max(f.peak, f.total())
	}
}

// offer offers the requests of a tick to an entry VM.
func (f *fleet) offer(i, urgency int, rate float64) {
	for p := rate * testTick.Seconds(); p > 0; p-- {
		if f.random.Float64() >= p {
			continue
		}
		over := f.random.IntN(2)
		d := Demand{Urgency: urgency, Work: 1, OverShare: over == 1, TimeLeft: 8 * time.Second}
		f.offered[urgency]++
		f.over[over][0]++
		admitted := f.gates[i].Admit(f.now, d).Admitted
		if f.naive {
			if admitted {
				f.gates[i].End(f.now, 1)
			}
			admitted = f.held[i]+f.reported(i, f.age) < f.limit
		}
		if !admitted {
			continue
		}
		f.served[urgency]++
		f.over[over][1]++
		f.held[i]++
		// Half a pass more for each tenth of the limit that runs.
		last := time.Duration((0.5 + 1.2*f.total()/f.limit) * float64(time.Second))
		step := int64((f.now + last) / testTick)
		f.ends[step] = append(f.ends[step], running{i, 1})
	}
}

func (f *fleet) part(urgency int) float64 {
	return f.served[urgency] / max(1, f.offered[urgency])
}

// steady returns a load of the same rates at all entry VMs.
func steady(rates ...float64) load {
	return func(time.Duration, int) []float64 { return rates }
}

// TestGateUnderWant offers loads at which a service has too little room, through 35 entry VMs
// with old reports. Their sum has to stay within the limit, up to the noise of a place in
// each, most of the room has to be used, and the more urgent must not be served less.
func TestGateUnderWant(t *testing.T) {
	const entries, limit = 35, 650
	usual, burst := steady(2.5, 3.5, 1.2), steady(5.7, 7.6, 2.5)
	cases := []struct {
		name  string
		load  load
		stall bool
		// urgent is the part of the most urgent requests that has to be served, 0 for any.
		urgent float64
	}{
		{"burst of all kinds", burst, false, 0.8},
		{"burst of the most urgent kind", steady(10, 3.5, 1.2), false, 0.75},
		{"waves out of step between zones", func(now time.Duration, entry int) []float64 {
			x := 1 + 0.8*math.Sin(2*math.Pi*(now.Seconds()/3+float64(entry%3)/3))
			return []float64{5.7 * x, 7.6 * x, 2.5 * x}
		}, false, 0.75},
		{"stall of the group", usual, true, 0},
	}
	for _, c := range cases {
		for _, age := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
			t.Run(c.name+" with reports of "+age.String(), func(t *testing.T) {
				f := newFleet(entries, limit, age, 1)
				f.run(4*time.Second, usual)
				f.peak, f.offered, f.served = 0, [urgencyLevels]float64{}, [urgencyLevels]float64{}
				f.stalled = c.stall
				f.run(6*time.Second, c.load)
				if most := limit * 1.12; f.peak > most {
					t.Errorf("work reached %.0f, want at most %.0f", f.peak, most)
				}
				// Old reports may cost room, but not the limit.
				least := 0.85 * limit
				if age > 200*time.Millisecond {
					least = 0.7 * limit
				}
				if f.peak < least {
					t.Errorf("work reached %.0f, want %.0f", f.peak, least)
				}
				if f.part(0) < c.urgent {
					t.Errorf("most urgent served %.2f, want %.2f", f.part(0), c.urgent)
				}
				for u := 1; u < 3 && !c.stall; u++ {
					if f.part(u) > f.part(u-1)+0.03 {
						t.Errorf("urgency %d served %.2f, urgency %d only %.2f", u, f.part(u), u-1, f.part(u-1))
					}
				}
				if all := (f.served[0] + f.served[1] + f.served[2]) / (f.offered[0] + f.offered[1] + f.offered[2]); !c.stall && f.part(2) < all/4 {
					t.Errorf("least urgent served %.2f, all %.2f: starved", f.part(2), all)
				}
				n := newFleet(entries, limit, age, 1)
				n.naive = true
				n.run(4*time.Second, usual)
				n.peak, n.stalled = 0, c.stall
				n.run(6*time.Second, c.load)
				t.Logf("peak %.0f, first come with old counts %.0f; served %.2f %.2f %.2f", f.peak, n.peak, f.part(0), f.part(1), f.part(2))
				if n.peak < f.peak && age >= 500*time.Millisecond {
					t.Errorf("first come with old counts reached only %.0f, less than %.0f", n.peak, f.peak)
				}
			})
		}
	}
}
