package chivelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestStepShift plays a shift of popularity on a group in lock-step, whose passes
// take a floor and a time for each request that grows with the imbalance, and
// checks that pauses come back under what is asked and the limit recovers.
func TestStepShift(t *testing.T) {
	const (
		asked, floor = 120 * time.Millisecond, 18 * time.Millisecond
		slots        = 12
	)
	r := rand.New(rand.NewPCG(5, 6))
	var p ConcurrencyLimiter
	busy := float64(slots)
	pass := func(skew float64) time.Duration {
		return floor + time.Duration(busy*(0.15+0.85*skew)*3.6*float64(time.Millisecond))
	}
	play := func(skew float64, steps int) time.Duration {
		for range steps {
			for range 80 {
				p.AddPause(time.Duration(float64(pass(skew)) * (0.97 + 0.06*r.Float64())))
			}
			p.EndInterval(asked, floor, busy, slots)
			// Streams end and are admitted up to the limit.
			busy += 0.4 * (p.Limit(slots) - busy)
		}
		return pass(skew)
	}
	if got := play(1, 20); got > asked || p.Limit(slots) < slots-0.5 {
		t.Fatalf("in balance: pauses of %v, limit %v", got, p.Limit(slots))
	}
	if got := play(3.4, 25); got > asked {
		t.Fatalf("after the shift: pauses of %v, limit %v", got, p.Limit(slots))
	}
	if play(1.1, 30); p.Limit(slots) < slots-1 {
		t.Fatalf("after the change of the map: limit %v", p.Limit(slots))
	}
}

// TestStepBounds checks that the limit stays within its bounds whatever is seen.
func TestStepBounds(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	var p ConcurrencyLimiter
	for range 3000 {
		for range r.IntN(60) {
			p.AddPause(time.Duration(r.ExpFloat64() * float64(200*time.Millisecond)))
		}
		p.EndInterval(time.Duration(r.IntN(200))*time.Millisecond, 20*time.Millisecond, r.Float64()*14, 12)
		if l := p.Limit(12); l < least || l > 12 {
			t.Fatalf("limit is %v", l)
		}
	}
}
