package chiveplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// callerSpacing and badSpacing are the times between two sound requests and between
	// two with the part that crashes runners.
	callerSpacing = 30 * time.Millisecond
	badSpacing    = 150 * time.Millisecond
)

// TestPartCrashesRunners guards against requests with one part in their prompts that crash
// one runner after the other, while other requests of the same caller must be served.
func TestPartCrashesRunners(t *testing.T) {
	tests := []struct {
		give string
		// trouble happens once the part crashes runners.
		trouble func(t *testing.T, s *Site)
	}{
		{"nothing else happens", func(*testing.T, *Site) {}},
		{"the store is away", func(_ *testing.T, s *Site) {
			s.Store.SetFault(StoreSilent)
			time.Sleep(4 * time.Second)
			s.Store.SetFault(StoreHealthy)
		}},
		{"entry VMs start anew, one after the other", func(t *testing.T, s *Site) {
			time.Sleep(2 * time.Second)
			for _, e := range s.EntryVMs {
				e.Signal(syscall.SIGKILL)
				e.WaitExit(shutdownGrace)
				if err := e.Start(); err != nil {
					t.Error(err)
				}
				time.Sleep(2 * time.Second)
			}
		}},
	}
	for i, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 20+i, 4, 6)
			checkPartCrashes(t, s, func() { tt.trouble(t, s) })
		})
	}
}

// checkPartCrashes sends sound requests, then also some with a part that crashes runners,
// and checks how many of either reach runners.
func checkPartCrashes(t *testing.T, s *Site, trouble func()) {
	t.Helper()
	var senders sync.WaitGroup
	defer senders.Wait()
	done := make(chan struct{})
	defer close(done)
	var sound, served atomic.Int64
	every := func(spacing time.Duration, send func(rng *rand.Rand, addr string, n int)) {
		rng := rand.New(rand.NewPCG(uint64(spacing), 1))
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(spacing):
				}
				addr, seed := s.EntryVMs[rng.IntN(len(s.EntryVMs))].CallerAddress(), rng.Uint64()
				senders.Go(func() { send(rand.New(rand.NewPCG(seed, 2)), addr, n) })
			}
		})
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	every(callerSpacing, func(rng *rand.Rand, addr string, n int) {
		parts := fmt.Sprintf("aa:40,b%x:300,c%x:20", rng.IntN(40), n)
		sound.Add(1)
		if a := SendPrompt(t.Context(), client, addr, "stream", fmt.Sprint("sound-", n), "k1", parts); a.Status == http.StatusOK && a.Complete {
			served.Add(1)
		}
	})
	share := func(span time.Duration) float64 {
		sentBefore, servedBefore := sound.Load(), served.Load()
		time.Sleep(span)
		return float64(served.Load()-servedBefore) / float64(sound.Load()-sentBefore)
	}
	before := share(2 * time.Second)
	s.CrashOnPart("bad")
	every(badSpacing, func(rng *rand.Rand, addr string, n int) {
		parts := fmt.Sprintf("aa:40,bad:60,b%x:300,d%x:20", rng.IntN(40), n)
		SendPrompt(t.Context(), client, addr, "stream", fmt.Sprint("bad-", n), "k1", parts)
	})
	trouble()
	time.Sleep(2 * contactTime)
	during := share(3 * time.Second)
	_, crashes := s.crashTimes()
	if len(crashes) == 0 {
		t.Fatal("no runner crashed")
	}
	late := s.lateRequests(func(arrival) bool { return true })
	if late > maxRequestsWithPart {
		t.Errorf("%d requests with the part reached runners later than %v after the fifth crash, want at most %d; %d crashes", late, contactTime, maxRequestsWithPart, len(crashes))
	}
	if during < before/2 {
		t.Errorf("%.2f of the sound requests were served while the others came, %.2f before", during, before)
	}
	t.Logf("%d crashes, %d late requests with the part, sound served %.2f before and %.2f during", len(crashes), late, before, during)
}

// TestCrashOnPart checks that only prompts with the part crash the stand-in of a runner.
func TestCrashOnPart(t *testing.T) {
	tests := []struct {
		parts string
		want  bool
	}{
		{"", false}, {"aa:40,c1:20", false}, {"bad:60,c1:20", true}, {"aa:40,bad:60,c1:20", true}, {"aa:40,badder:60", false},
	}
	for _, tt := range tests {
		c := crashLog{part: "bad"}
		if got := c.begin(tt.parts); got != tt.want {
			t.Errorf("%s: crashes %t, want %t", strings.TrimSpace(tt.parts), got, tt.want)
		}
	}
}
