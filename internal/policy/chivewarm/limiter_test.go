package chivewarm

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

// engine simulates an engine whose capacity grows from coldLimit to fullLimit by
// one for each request that it completed.
type engine struct {
	coldLimit, fullLimit, running, completed int
}

func (e *engine) capacity() int { return min(e.fullLimit, e.coldLimit+e.completed) }

// limiter is implemented by Limiter and timeLimiter.
type limiter interface {
	Begin() bool
	End(stepTime time.Duration) bool
	Reset()
}

// timeLimiter is a naive limiter whose limit grows with time, whether or not
// requests complete.
type timeLimiter struct {
	coldLimit, fullLimit, running, ticks int
}

func (l *timeLimiter) Begin() bool {
	if l.running >= min(l.fullLimit, l.coldLimit+l.ticks) {
		return false
	}
	l.running++
	return true
}

func (l *timeLimiter) End(time.Duration) bool { l.running--; return false }
func (l *timeLimiter) Reset()                 { l.ticks, l.running = 0, 0 }

// countOverloads runs a schedule of arrivals, completions and ticks. It returns
// the number of requests that began above the capacity of the engine.
func countOverloads(l limiter, e *engine, schedule []int, tick func()) int {
	n := 0
	for _, action := range schedule {
		switch {
		case action < 5:
			if l.Begin() {
				e.running++
				if e.running > e.capacity() {
					n++
				}
			}
		case action < 8 && e.running > 0:
			e.running--
			e.completed++
			l.End(10 * time.Millisecond)
		default:
			tick()
		}
	}
	return n
}

// TestLimitNeverExceedsCapacity checks that the limit never exceeds the capacity
// of an engine that warms up only by completing requests. A limiter that grows
// with time must fail on the same schedules; otherwise they are too weak.
func TestLimitNeverExceedsCapacity(t *testing.T) {
	timeOverloads := 0
	chiveseed.Check(t, func(t *rapid.T) {
		coldLimit := rapid.IntRange(1, 8).Draw(t, "cold")
		fullLimit := coldLimit + rapid.IntRange(0, 60).Draw(t, "more")
		schedule := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 400).Draw(t, "schedule")
		e := &engine{coldLimit: coldLimit, fullLimit: fullLimit}
		if n := countOverloads(NewLimiter(coldLimit, fullLimit), e, schedule, func() {}); n > 0 {
			t.Fatalf("%d requests began above the capacity of the engine", n)
		}
		byTime := &timeLimiter{coldLimit: coldLimit, fullLimit: fullLimit}
		timeOverloads += countOverloads(byTime, &engine{coldLimit: coldLimit, fullLimit: fullLimit}, schedule, func() { byTime.ticks++ })
	})
	if timeOverloads == 0 {
		t.Fatal("the limiter that grows with time never overloaded the engine: the schedules are too weak")
	}
}

func TestLimitReachesFullLimit(t *testing.T) {
	l := NewLimiter(4, 32)
	for range 1000 {
		for l.Begin() {
		}
		l.End(10 * time.Millisecond)
	}
	if l.Limit() != 32 {
		t.Fatalf("limit is %d, want 32", l.Limit())
	}
}

// TestEndStepTimes checks how the step time of a request changes the limit.
func TestEndStepTimes(t *testing.T) {
	cases := []struct {
		name     string
		stepTime time.Duration
		minLimit int
		maxLimit int
		cold     bool
	}{
		{"normal", 10 * time.Millisecond, 16, 32, false},
		{"slow", 25 * time.Millisecond, 8, 15, false},
		{"cold", 50 * time.Millisecond, 4, 4, true},
	}
	for _, c := range cases {
		l := NewLimiter(4, 32)
		for range 26 {
			for l.Begin() {
			}
			l.End(10 * time.Millisecond)
		}
		if cold := l.End(c.stepTime); cold != c.cold || l.Limit() < c.minLimit || l.Limit() > c.maxLimit {
			t.Errorf("%s: limit %d, cold %t", c.name, l.Limit(), cold)
		}
	}
}
