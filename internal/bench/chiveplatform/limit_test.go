package chiveplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// recoveryBound is the time after its first answer without a limit from which a runner must
	// get its usual requests. It was in need, so that they return step by step.
	recoveryBound = 10 * time.Second
	// usualSpan is the time over which the usual requests of a runner are counted.
	usualSpan = 2 * limitWindow
)

// TestLimitOfRunner guards against a runner that gets more requests from all entry VMs
// together than the limit that it names in its answers, and against one that is given up for
// it.
func TestLimitOfRunner(t *testing.T) {
	tests := []struct {
		give  string
		limit float64
		// trouble happens a second after the runner has first named its limit.
		trouble func(t *testing.T, s *Site)
	}{
		{"a quarter of its usual requests", 2.5, func(*testing.T, *Site) {}},
		{"less than one a second", 0.5, func(*testing.T, *Site) {}},
		{"an entry VM stops", 2.5, func(t *testing.T, s *Site) {
			s.EntryVMs[1].Signal(syscall.SIGTERM)
			if !s.EntryVMs[1].WaitExit(shutdownGrace) {
				t.Error("entry VM did not exit with status 0")
			}
		}},
		{"the store is away", 2.5, func(_ *testing.T, s *Site) {
			s.Store.SetFault(StoreSilent)
			time.Sleep(4 * time.Second)
			s.Store.SetFault(StoreHealthy)
		}},
	}
	for i, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 40+i, 6, 4)
			stop := s.sendCalls(t, 25*time.Millisecond)
			defer stop()
			time.Sleep(time.Second + usualSpan)
			capped := &s.Runners[0].notices
			capped.nameLimit(tt.limit)
			namedAt := time.Now()
			_, usual := busiestWindow(capped.list(), namedAt.Add(-usualSpan), namedAt)
			time.Sleep(time.Second)
			tt.trouble(t, s)
			time.Sleep(time.Until(namedAt.Add(contactTime + 2*limitWindow)))
			endedAt := time.Now()
			most, all := busiestWindow(capped.list(), namedAt.Add(contactTime), endedAt)
			if allowed := limitOverrun*tt.limit*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
				t.Errorf("the runner got %d requests in %v, want at most %.0f", most, limitWindow, allowed)
			}
			if least := tt.limit * endedAt.Sub(namedAt.Add(contactTime)).Seconds() / 3; float64(all) < least {
				t.Errorf("the runner got %d requests, want at least a third of what it takes, %.0f", all, least)
			}
			capped.nameLimit(0)
			time.Sleep(recoveryBound)
			freeAt, ok := firstArrival(capped.list(), endedAt)
			if !ok {
				t.Fatalf("the runner got no request within %v after it had ceased to name a limit", recoveryBound)
			}
			recoveredAt := freeAt.Add(recoveryBound)
			time.Sleep(time.Until(recoveredAt.Add(usualSpan)))
			_, after := busiestWindow(capped.list(), recoveredAt, recoveredAt.Add(usualSpan))
			if after < usual/2 {
				t.Errorf("the runner got %d requests in %v after it had ceased to name a limit, want at least half of %d, as before", after, usualSpan, usual)
			}
			t.Logf("%d requests in %v before, at most %d in %v and %d in all under the limit, %d in %v after it", usual, usualSpan, most, limitWindow, all, after, usualSpan)
		})
	}
}

// sendCalls sends calls to random entry VMs until stop is called, which waits for them and
// fails the test if many were not served.
func (s *Site) sendCalls(t *testing.T, spacing time.Duration) (stop func()) {
	t.Helper()
	done := make(chan struct{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	var senders sync.WaitGroup
	var sent, failed atomic.Int64
	var ready atomic.Pointer[[]string]
	updateReady := func() {
		var list []string
		for _, e := range s.EntryVMs {
			if e.Running() && e.Ready() {
				list = append(list, e.CallerAddress())
			}
		}
		ready.Store(&list)
	}
	updateReady()
	senders.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
				updateReady()
			}
		}
	})
	senders.Go(func() {
		rng := rand.New(rand.NewPCG(uint64(spacing), 4))
		tick := time.NewTicker(spacing)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			list := *ready.Load()
			if len(list) == 0 {
				sent.Add(1)
				failed.Add(1)
				continue
			}
			addr := list[rng.IntN(len(list))]
			senders.Go(func() {
				sent.Add(1)
				if a := Send(t.Context(), client, addr, "any", fmt.Sprint("call-", n), "k1"); a.Status != http.StatusOK {
					failed.Add(1)
				}
			})
		}
	})
	return func() {
		close(done)
		senders.Wait()
		if failed.Load() > sent.Load()/50 {
			t.Errorf("%d of %d calls were not served", failed.Load(), sent.Load())
		}
	}
}

// firstArrival returns when the first request after a moment arrived, and false if none has.
func firstArrival(arrivals []arrival, from time.Time) (time.Time, bool) {
	i := slices.IndexFunc(arrivals, func(a arrival) bool { return a.at.After(from) })
	if i < 0 {
		return time.Time{}, false
	}
	return arrivals[i].at, true
}

// busiestWindow returns the largest number of arrivals in a span of limitWindow that lies
// between two moments, and the number of all arrivals between them.
func busiestWindow(arrivals []arrival, from, to time.Time) (most, all int) {
	for i, a := range arrivals {
		if a.at.Before(from) || a.at.After(to) {
			continue
		}
		all++
		n := 0
		for _, o := range arrivals[i:] {
			if o.at.Sub(a.at) < limitWindow && !o.at.After(to) {
				n++
			}
		}
		most = max(most, n)
	}
	return most, all
}
