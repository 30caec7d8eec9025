package chivelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestEndIntervalAfterSkew simulates a group in lockstep whose expert popularity
// shifts. A forward pass takes a constant time plus a time per request that grows
// with the skew. The pauses must return below the allowed maximum, and the limit
// must recover once the skew is gone.
func TestEndIntervalAfterSkew(t *testing.T) {
	const (
		maxPause, idlePause = 120 * time.Millisecond, 18 * time.Millisecond
		slots               = 12
	)
	r := rand.New(rand.NewPCG(5, 6))
	var l ConcurrencyLimiter
	running := float64(slots)
	passTime := func(skew float64) time.Duration {
		return idlePause + time.Duration(running*(0.15+0.85*skew)*3.6*float64(time.Millisecond))
	}
	simulate := func(skew float64, intervals int) time.Duration {
		for range intervals {
			for range 80 {
				l.AddPause(time.Duration(float64(passTime(skew)) * (0.97 + 0.06*r.Float64())))
			}
			l.EndInterval(maxPause, idlePause, running, slots)
			// Streams end and others are admitted up to the limit.
			running += 0.4 * (l.Limit(slots) - running)
		}
		return passTime(skew)
	}
	if got := simulate(1, 20); got > maxPause || l.Limit(slots) < slots-0.5 {
		t.Fatalf("without skew: pause %v, limit %v", got, l.Limit(slots))
	}
	if got := simulate(3.4, 25); got > maxPause {
		t.Fatalf("with skew: pause %v, limit %v", got, l.Limit(slots))
	}
	if simulate(1.1, 30); l.Limit(slots) < slots-1 {
		t.Fatalf("after the expert map was rebalanced: limit %v", l.Limit(slots))
	}
}

// TestEndIntervalBounds checks that the limit stays between minLimit and the
// number of slots for random pauses, targets and loads.
func TestEndIntervalBounds(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 8))
	var l ConcurrencyLimiter
	for range 3000 {
		for range r.IntN(60) {
			l.AddPause(time.Duration(r.ExpFloat64() * float64(200*time.Millisecond)))
		}
		l.EndInterval(time.Duration(r.IntN(200))*time.Millisecond, 20*time.Millisecond, r.Float64()*14, 12)
		if limit := l.Limit(12); limit < minLimit || limit > 12 {
			t.Fatalf("limit %v is not within minLimit and the slots", limit)
		}
	}
}
