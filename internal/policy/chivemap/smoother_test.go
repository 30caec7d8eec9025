package chivemap

import (
	"math"
	"math/rand/v2"
	"testing"
)

// distanceOf returns the part of the load that two forecasts place differently.
func distanceOf(a, b Loads) float64 {
	var sum float64
	for i := range a {
		for e := range a[i] {
			sum += math.Abs(a[i][e]-b[i][e]) / 2
		}
	}
	return sum / float64(len(a))
}

func noisy(r *rand.Rand, loads Loads) Loads {
	out := zeros(loads)
	for i := range loads {
		for e := range loads[i] {
			out[i][e] = loads[i][e] * math.Exp(0.2*r.NormFloat64())
		}
	}
	return out
}

func TestSmootherTellsDriftFromNoise(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 1))
	from, to := normalized(randomLoads(r, 2, 64, 1)), normalized(randomLoads(r, 2, 64, 1))
	const intervals = 40
	cases := []struct {
		name string
		at   func(t int) Loads
		// better says that the forecast must be nearer to the next loads than the
		// newest loads are.
		noise, better bool
	}{
		{"noise", func(int) Loads { return from }, true, true},
		{"slow turn", func(t int) Loads { return mixed(from, to, float64(t)/intervals) }, false, true},
		{"still", func(int) Loads { return from }, false, false},
	}
	for _, c := range cases {
		var s Forecaster
		var forecast, newest float64
		for i := range intervals {
			loads := c.at(i)
			if c.noise {
				loads = noisy(r, loads)
			}
			next := c.at(i + 1)
			forecast += distanceOf(s.Observe(loads), next)
			newest += distanceOf(normalized(loads), next)
		}
		if c.better && forecast >= newest || forecast > newest+1e-9 {
			t.Errorf("%s: the forecast is off by %g, the newest loads by %g", c.name, forecast, newest)
		}
	}
}

func mixed(a, b Loads, place float64) Loads {
	out := zeros(a)
	for i := range a {
		for e := range a[i] {
			out[i][e] = (1-place)*a[i][e] + place*b[i][e]
		}
	}
	return out
}

func TestSmootherBeginsAnewAfterAJump(t *testing.T) {
	var s Forecaster
	before, after := Loads{{1, 0, 0, 0}}, Loads{{0, 0, 0, 1}}
	for range 10 {
		s.Observe(before)
	}
	if d := distanceOf(s.Observe(after), after); d > 1e-9 {
		t.Fatalf("after a jump the forecast is off by %g", d)
	}
}

// TestPlanEnds plans at the size and for the loads under which the search moved
// slots to and fro by rounding errors, without end.
func TestPlanEnds(t *testing.T) {
	r := rand.New(rand.NewPCG(20261204, 1))
	loads := randomLoads(r, 8, 64, 3)
	now := Build(16, 5, 64, loads)
	for range 24 {
		loads = noisy(r, loads)
		if next := (Planner{}).Plan(now, loads); next != nil {
			now = next
		}
	}
	if err := now.Check(); err != nil {
		t.Fatal(err)
	}
}
