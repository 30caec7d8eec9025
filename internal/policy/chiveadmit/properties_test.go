package chiveadmit

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestNonsenseReports checks that a peer that reports nonsense neither empties nor floods a
// service: the budget stays within its bounds around an even part of the limit.
func TestNonsenseReports(t *testing.T) {
	const limit, entries = 350, 35
	cases := []struct {
		name  string
		known Known
	}{
		{"negative work", Known{Limit: limit, Others: -1e9, Entries: entries}},
		{"huge work", Known{Limit: limit, Others: 1e18, Entries: entries}},
		{"infinite work", Known{Limit: limit, Others: math.Inf(1), Entries: entries}},
		{"no number", Known{Limit: limit, Others: math.NaN(), Entries: entries}},
		{"negative age", Known{Limit: limit, Others: limit, Age: -time.Hour, Entries: entries}},
		{"huge age", Known{Limit: limit, Others: limit, Age: math.MaxInt64, Entries: entries}},
		{"phase without number", Known{Limit: limit, Entries: entries, Phase: math.NaN()}},
		{"no entry VMs", Known{Limit: limit, Entries: 0}},
		{"negative entry VMs", Known{Limit: limit, Entries: -3}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			even := limit / float64(max(1, c.known.Entries))
			var g Gate
			now, admitted := time.Hour, 0
			for range 2000 {
				g.Update(now, c.known)
				if g.Admit(now, Demand{Work: 1, TimeLeft: time.Second}).Admitted {
					admitted++
				}
				now += time.Millisecond
			}
			least, most := minBudgetFraction*even-1, min(maxBudgetFraction*even, limit)+1
			if n := float64(admitted); n < least || n > most {
				t.Errorf("admitted %d, want %.1f to %.1f", admitted, least, most)
			}
		})
	}
}

// TestPriorityBounds checks that priorities that no configuration should hold go before no
// others.
func TestPriorityBounds(t *testing.T) {
	cases := []struct{ priority, want int }{
		{0, 0}, {3, 3}, {9, 9}, {10, 9}, {math.MaxInt, 9}, {-1, 9}, {math.MinInt, 9},
	}
	for _, c := range cases {
		if got := urgencyLevel(c.priority); got != c.want {
			t.Errorf("priority %d: level %d, want %d", c.priority, got, c.want)
		}
	}
}

// TestPlanProperties divides generated amounts of room among generated demands. No class may
// get less than a less urgent one, each gets its floor, and no more is given than there is.
func TestPlanProperties(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for i := range 2000 {
		var k ranking
		now, all := time.Hour, 0.0
		for c := range k.demand {
			if random.IntN(3) > 0 {
				continue
			}
			work := random.ExpFloat64() * 10
			k.add(now, c, work)
			all += k.demand[c].perSecond(now, demandMemory)
		}
		room := random.Float64() * 1.5 * all
		k.plan(now, room)
		given, floor := 0.0, floorFraction*min(1, room/max(all, minDemand))
		for c := range k.demand {
			d := k.demand[c].perSecond(now, demandMemory)
			given += k.part[c] * d
			if d == 0 {
				continue
			}
			if k.part[c] < floor-1e-9 || k.part[c] > 1+1e-9 {
				t.Fatalf("case %d: class %d gets %.3f, floor %.3f", i, c, k.part[c], floor)
			}
			for e := range c {
				if k.demand[e].value > 0 && k.part[e] < k.part[c]-1e-9 {
					t.Fatalf("case %d: class %d gets %.3f, class %d before it %.3f", i, c, k.part[c], e, k.part[e])
				}
			}
		}
		if given > room+1e-6 {
			t.Fatalf("case %d: %.3f given of %.3f", i, given, room)
		}
	}
}

// TestSizesAlike offers small and large requests of one kind beyond the limit: neither may be
// served less often, which a rule that looks for room for the whole request would do.
func TestSizesAlike(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	var g Gate
	ends := map[time.Duration][]float64{}
	var offered, served [2]float64
	for now := time.Hour; now < time.Hour+60*time.Second; now += 10 * time.Millisecond {
		for _, work := range ends[now] {
			g.End(now, work)
		}
		delete(ends, now)
		g.Update(now, Known{Limit: 10, Entries: 1})
		large := random.IntN(2)
		work := [2]float64{0.3, 4}[large]
		offered[large]++
		if g.Admit(now, Demand{Work: work, TimeLeft: time.Second}).Admitted {
			served[large]++
			ends[now+500*time.Millisecond] = append(ends[now+500*time.Millisecond], work)
		}
	}
	small, large := served[0]/offered[0], served[1]/offered[1]
	if math.Abs(small-large) > 0.2*max(small, large) {
		t.Errorf("small requests served %.3f, large ones %.3f", small, large)
	}
}

// TestReturnOrder refuses a burst of requests while places become free at a known rate: each
// gets a later place, none more than a third of the time that it has left.
func TestReturnOrder(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		timeLeft  time.Duration
	}{
		{"much room", 20, 8 * time.Second},
		{"little room", 2, 8 * time.Second},
		{"no room", -5, 8 * time.Second},
		{"little time", 20, 300 * time.Millisecond},
		{"no time", 20, -time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var o returnOrder
			last, seen := time.Duration(0), map[time.Duration]bool{}
			for range 100 {
				d := o.next(time.Hour, c.perSecond, c.timeLeft)
				if d < 0 || d > max(0, c.timeLeft)/3 {
					t.Fatalf("told to return after %v with %v left", d, c.timeLeft)
				}
				if d < last && last < time.Duration((1-lateReturnSpread)*float64(c.timeLeft)/3) {
					t.Fatalf("told to return after %v, the one before after %v", d, last)
				}
				last, seen[d] = d, true
			}
			if c.timeLeft > time.Second && len(seen) < 50 {
				t.Errorf("100 requests return at %d moments", len(seen))
			}
		})
	}
}

// TestFillLimiter breaks the target of first events and keeps it again: the factor falls
// within a second, stays above its bound and recovers.
func TestFillLimiter(t *testing.T) {
	const target = 500 * time.Millisecond
	var l FillLimiter
	now := time.Hour
	run := func(d, wait time.Duration) {
		for end := now + d; now < end; now += 200 * time.Millisecond {
			for range 10 {
				l.AddFirst(wait, target)
			}
			l.EndInterval(now)
		}
	}
	run(time.Second, 150*time.Millisecond)
	if l.Fill() != 1 {
		t.Errorf("%.2f filled on time, want 1", l.Fill())
	}
	run(time.Second, 700*time.Millisecond)
	if l.Fill() > 0.85 {
		t.Errorf("%.2f filled a second after the target broke", l.Fill())
	}
	run(time.Minute, 700*time.Millisecond)
	if l.Fill() < minFill-1e-9 {
		t.Errorf("%.2f filled, want at least %.2f", l.Fill(), minFill)
	}
	run(10*time.Second, 150*time.Millisecond)
	if l.Fill() != 1 {
		t.Errorf("%.2f filled 10 s later, want 1", l.Fill())
	}
}

func BenchmarkGate(b *testing.B) {
	var g Gate
	now := time.Hour
	b.ReportAllocs()
	for i := range b.N {
		now += time.Millisecond
		if i%200 == 0 {
			g.Update(now, Known{Limit: 650, Others: 600, Age: 300 * time.Millisecond, Entries: 36})
		}
		if g.Admit(now, Demand{Urgency: i % 3, Work: 1, TimeLeft: 8 * time.Second}).Admitted && i%3 > 0 {
			g.End(now, 1)
		}
	}
}
