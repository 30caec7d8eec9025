package chivequota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindow compares the window with a list of all events.
func TestWindow(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 0))
		w := Window{Span: 10 * time.Second}
		var all []time.Duration
		now := time.Duration(0)
		for range 2000 {
			now += time.Duration(r.ExpFloat64() * float64(40*time.Millisecond))
			if r.IntN(300) == 0 {
				now += time.Duration(r.Int64N(int64(30 * time.Second)))
			}
			w.Add(now, 1)
			all = append(all, now)
			low, high := 0, 0
			for _, at := range all {
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

// TestRetries floods many entry VMs with retries, evenly and at one alone, and
// counts all retries in every window.
func TestRetries(t *testing.T) {
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
			list := make([]RetryBudget, tt.entries)
			for i := range list {
				list[i] = RetryBudget{Ratio: ratio, Slack: slack, Span: span}
			}
			var requests, retries []time.Duration
			for now := time.Duration(0); now < 60*time.Second; now += 5 * time.Millisecond {
				at := r.IntN(tt.entries)
				if tt.skewed {
					at = 0
				}
				// A burst, a lull and a burst again.
				if now%(20*time.Second) < 12*time.Second {
					list[at].AddRequest(now)
					requests = append(requests, now)
				}
				if list[r.IntN(tt.entries)].AllowRetry(now, tt.entries) {
					retries = append(retries, now)
				}
				if now%time.Second != 0 {
					continue
				}
				sent, asked := within(retries, now, span), within(requests, now, span)
				asked = max(asked, within(requests, now-span/2, span), within(requests, now-span, span))
				if bound := ratio*float64(asked) + slack; float64(sent) > bound {
					t.Fatalf("at %v: %d retries, at most %v are allowed", now, sent, bound)
				}
			}
			if len(retries) == 0 {
				t.Error("no retry was allowed")
			}
		})
	}
}

func within(list []time.Duration, now, span time.Duration) int {
	n := 0
	for _, at := range list {
		if at > now-span && at <= now {
			n++
		}
	}
	return n
}

// TestCold has zones come back cold under full load: every entry VM sends what
// it may to one runner, which must not get more than it bears.
func TestCold(t *testing.T) {
	const overrun, slack = 1.5, 5
	for _, rate := range []float64{2, 15, 28, 100} {
		for _, entries := range []int{1, 8, 12, 36, 46, 320} {
			t.Run(fmt.Sprintf("rate %v, %d entry VMs", rate, entries), func(t *testing.T) {
				r := rand.New(rand.NewPCG(uint64(entries), uint64(rate)))
				list := make([]ColdLimiter, entries)
				var sent []time.Duration
				for now := time.Duration(0); now < 5*time.Second; now += time.Millisecond {
					for range 3 {
						i := r.IntN(entries)
						if list[i].Allow(now, rate, entries, i) {
							sent = append(sent, now)
						}
					}
					if got := within(sent, now, time.Second); float64(got) > rate*overrun+slack {
						t.Fatalf("at %v: %d requests in a second, at most %v are borne", now, got, rate*overrun+slack)
					}
				}
				if len(sent) == 0 {
					t.Error("the runner got nothing")
				}
			})
		}
	}
}
