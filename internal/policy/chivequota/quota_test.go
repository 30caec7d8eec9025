package chivequota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindow compares the sums of a window with a list of all events.
func TestWindow(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		w := Window{Span: 10 * time.Second}
		var events []time.Duration
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(r.ExpFloat64() * float64(40*time.Millisecond))
			if r.IntN(300) == 0 {
				now += time.Duration(r.Int64N(int64(30 * time.Second)))
			}
			w.Add(now, 1)
			events = append(events, now)
			low, high := 0, 0
			for _, at := range events {
				if at > now-w.Span {
					low++
				}
				if at > now-w.Span-2*w.Span/buckets {
					high++
				}
			}
			if got := int(w.Sum(now)); got < low || got > high {
				t.Fatalf("seed %d at %v: %d events, want %d to %d", seed, now, got, low, high)
			}
		}
	}
}

// TestRetryBudget has many entry VMs retry at every opportunity and checks the
// fleet-wide limit in every window, with requests spread evenly or all at one
// entry VM.
func TestRetryBudget(t *testing.T) {
	const (
		ratio, slack = 0.2, 92.0
		span         = 10 * time.Second
	)
	tests := []struct {
		give    string
		entries int
		skewed  bool
	}{
		{"8 entry VMs", 8, false},
		{"8 entry VMs, one has all requests", 8, true},
		{"46 entry VMs", 46, false},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			r := rand.New(rand.NewPCG(7, 7))
			budgets := make([]retryBudget, tt.entries)
			for i := range budgets {
				budgets[i] = retryBudget{Ratio: ratio, Slack: slack, Span: span}
			}
			var requests, retries []time.Duration
			for now := time.Duration(0); now < 60*time.Second; now += 5 * time.Millisecond {
				entry := r.IntN(tt.entries)
				if tt.skewed {
					entry = 0
				}
				// Requests arrive for 12 s out of every 20 s.
				if now%(20*time.Second) < 12*time.Second {
					budgets[entry].addRequest(now)
					requests = append(requests, now)
				}
				if budgets[r.IntN(tt.entries)].allow(now, retryShare{fraction: safetyFactor, sharers: tt.entries}) {
					retries = append(retries, now)
				}
				if now%time.Second != 0 {
					continue
				}
				sent, received := countWithin(retries, now, span), countWithin(requests, now, span)
				received = max(received, countWithin(requests, now-span/2, span), countWithin(requests, now-span, span))
				if limit := ratio*float64(received) + slack; float64(sent) > limit {
					t.Fatalf("at %v: %d retries in the window, want at most %v", now, sent, limit)
				}
			}
			if len(retries) == 0 {
				t.Error("no retry was allowed")
			}
		})
	}
}

// countWithin returns the number of times in the window of length span that ends
// now.
func countWithin(times []time.Duration, now, span time.Duration) int {
	n := 0
	for _, at := range times {
		if at > now-span && at <= now {
			n++
		}
	}
	return n
}

// TestColdLimiter has all entry VMs send to one cold runner as fast as they may,
// as when a zone restarts cold under full load. The runner must not receive more
// requests per second than it supports, within a tolerance.
func TestColdLimiter(t *testing.T) {
	const overrun, slack = 1.5, 5
	for _, rate := range []float64{2, 15, 28, 100} {
		for _, entries := range []int{1, 8, 12, 36, 46, 320} {
			t.Run(fmt.Sprintf("rate %v, %d entry VMs", rate, entries), func(t *testing.T) {
				r := rand.New(rand.NewPCG(uint64(entries), uint64(rate)))
				limiters := make([]ColdLimiter, entries)
				var sent []time.Duration
				for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
					for range 3 {
						i := r.IntN(entries)
						if limiters[i].Allow(now, rate, entries, i) {
							sent = append(sent, now)
						}
					}
					if got := countWithin(sent, now, time.Second); float64(got) > rate*overrun+slack {
						t.Fatalf("at %v: %d requests in a second, want at most %v", now, got, rate*overrun+slack)
					}
				}
				if len(sent) == 0 {
					t.Error("the runner received no request")
				}
			})
		}
	}
}
