package chiveplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// callerSpacing and badSpacing are the times between two sound requests and between
	// two with the part that crashes runners.
	callerSpacing = 30 * time.Millisecond
	badSpacing    = 150 * time.Millisecond
)

// crashCase is a kind of request that crashes runners.
type crashCase struct {
	// crash makes the runners crash on bad requests.
	crash func(s *Site)
	// sound and bad return the request number n of a sound caller and of one whose requests
	// crash runners. The callers are the same where their keys are.
	sound, bad func(rng *rand.Rand, n int) CallerRequest
	// limit is the number of crashes after which the bad requests must be known.
	limit int
}

// badPart is a part of prompts that crashes runners.
var badPart = crashCase{
	crash: func(s *Site) { s.CrashOnPart("bad") },
	sound: func(rng *rand.Rand, n int) CallerRequest {
		return CallerRequest{Route: "stream", Path: "x", ID: fmt.Sprint("sound-", n), Key: "k1", Body: fmt.Sprint("sound ", n), Parts: fmt.Sprintf("aa:40,b%x:300,c%x:20", rng.IntN(40), n)}
	},
	bad: func(rng *rand.Rand, n int) CallerRequest {
		return CallerRequest{Route: "stream", Path: "x", ID: fmt.Sprint("bad-", n), Key: "k1", Body: fmt.Sprint("bad ", n), Parts: fmt.Sprintf("aa:40,bad:60,b%x:300,d%x:20", rng.IntN(40), n)}
	},
	limit: maxCrashesOfPart,
}

// badPartAmongMany is a part of prompts that crashes runners, with an ID of its own length and behind
// hundreds of others that sound prompts have too.
func badPartAmongMany() crashCase {
	const common = 300
	id := strings.Repeat("bad", 40)
	var others strings.Builder
	for i := range common {
		_, _ = fmt.Fprintf(&others, "f%x:20,", i)
	}
	request := func(name string, n int, parts string) CallerRequest {
		return CallerRequest{Route: "stream", Path: "x", ID: fmt.Sprint(name, "-", n), Key: "k1", Body: fmt.Sprint(name, " ", n), Parts: others.String() + parts}
	}
	return crashCase{
		crash: func(s *Site) { s.CrashOnPart(id) },
		sound: func(_ *rand.Rand, n int) CallerRequest { return request("sound", n, fmt.Sprintf("c%x:20", n)) },
		bad:   func(_ *rand.Rand, n int) CallerRequest { return request("bad", n, fmt.Sprintf("%s:60,d%x:20", id, n)) },
		limit: maxCrashesOfPart,
	}
}

// badRequest returns the case of a request that comes again and again on a route and crashes
// runners, beside sound ones with the same path, some of them alike too.
func badRequest(route string) crashCase {
	request := func(id, body string) CallerRequest {
		return CallerRequest{Route: route, Path: "x", ID: id, Key: "k1", Body: body}
	}
	return crashCase{
		crash: func(s *Site) { s.CrashOnBody("bad") },
		sound: func(rng *rand.Rand, n int) CallerRequest {
			body := fmt.Sprint("unlike ", n)
			if rng.IntN(2) == 0 {
				body = fmt.Sprint("alike ", rng.IntN(5))
			}
			return request(fmt.Sprint("sound-", n), body)
		},
		bad:   func(_ *rand.Rand, n int) CallerRequest { return request(fmt.Sprint("bad-", n), "bad") },
		limit: maxCrashesOfRequest,
	}
}

// badPath is the case of requests with the same path, caller and body that crash runners, each with a
// query of its own, beside sound ones with other paths.
func badPath() crashCase {
	request := func(name string, n int, path, body string) CallerRequest {
		return CallerRequest{Route: "any", Path: fmt.Sprintf("%s?t=%d", path, n), ID: fmt.Sprint(name, "-", n), Key: "k1", Body: body}
	}
	return crashCase{
		crash: func(s *Site) { s.CrashOnBody("bad") },
		sound: func(rng *rand.Rand, n int) CallerRequest {
			return request("sound", n, fmt.Sprint("list-", rng.IntN(5)), "sound")
		},
		bad:   func(_ *rand.Rand, n int) CallerRequest { return request("bad", n, "list-0", "bad") },
		limit: maxCrashesOfRequest,
	}
}

// crashTroubles are what else happens while requests crash runners.
var crashTroubles = []struct {
	give   string
	happen func(t *testing.T, s *Site)
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
			startAnew(t, e)
			time.Sleep(2 * time.Second)
		}
	}},
}

// TestPartCrashesRunners guards against requests with one part in their prompts that crash
// one runner after the other, while other requests of the same caller must be served.
func TestPartCrashesRunners(t *testing.T) {
	for i, tt := range crashTroubles {
		t.Run(tt.give, func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 20+i, 4, 6)
			checkCrashes(t, s, badPart, func() { tt.happen(t, s) })
		})
	}
}

// TestPartAmongManyCrashesRunners guards against a part that crashes one runner after the other unseen,
// since it stands behind many others and has a long ID.
func TestPartAmongManyCrashesRunners(t *testing.T) {
	t.Parallel()
	checkCrashes(t, startSite(t, 80, 4, 6), badPartAmongMany(), func() {})
}

// TestPathCrashesRunners guards against requests that crash one runner after the other unseen, since
// each has a query of its own.
func TestPathCrashesRunners(t *testing.T) {
	t.Parallel()
	checkCrashes(t, startSite(t, 81, 4, 6), badPath(), func() {})
}

// TestRequestCrashesRunners guards against one request without parts of a prompt that comes
// again and crashes one runner after the other, while other requests of the same caller must
// be served.
func TestRequestCrashesRunners(t *testing.T) {
	for i, tt := range crashTroubles {
		for k, route := range []string{"any", "once", "stream"} {
			t.Run(route+", "+tt.give, func(t *testing.T) {
				t.Parallel()
				s := startSite(t, 60+3*i+k, 4, 6)
				checkCrashes(t, s, badRequest(route), func() { tt.happen(t, s) })
			})
		}
	}
}

// checkCrashes sends sound requests, then also bad ones that crash runners, and checks how many
// of either reach runners.
func checkCrashes(t *testing.T, s *Site, c crashCase, trouble func()) {
	t.Helper()
	var senders sync.WaitGroup
	defer senders.Wait()
	done := make(chan struct{})
	defer close(done)
	var sound, served atomic.Int64
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}
	every := func(spacing time.Duration, request func(rng *rand.Rand, n int) CallerRequest, record func(Answer)) {
		rng := rand.New(rand.NewPCG(uint64(spacing), 1))
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(spacing):
				}
				addr, r := s.EntryVMs[rng.IntN(len(s.EntryVMs))].CallerAddress(), request(rng, n)
				senders.Go(func() { record(SendRequest(t.Context(), client, addr, r)) })
			}
		})
	}
	countSound := func(rng *rand.Rand, n int) CallerRequest {
		sound.Add(1)
		return c.sound(rng, n)
	}
	every(callerSpacing, countSound, func(a Answer) {
		if a.Status == http.StatusOK && a.Complete {
			served.Add(1)
		}
	})
	share := func(span time.Duration) float64 {
		sentBefore, servedBefore := sound.Load(), served.Load()
		time.Sleep(span)
		return float64(served.Load()-servedBefore) / float64(sound.Load()-sentBefore)
	}
	before := share(2 * time.Second)
	c.crash(s)
	every(badSpacing, c.bad, func(Answer) {})
	trouble()
	time.Sleep(2 * contactTime)
	during := share(3 * time.Second)
	_, crashes := s.crashTimes()
	if len(crashes) == 0 {
		t.Fatal("no runner crashed")
	}
	late := s.lateRequests(c.limit, func(arrival) bool { return true })
	if late > maxLateRequests {
		t.Errorf("%d bad requests reached runners later than %v after crash %d, want at most %d; %d crashes", late, contactTime, c.limit, maxLateRequests, len(crashes))
	}
	if during < before/2 {
		t.Errorf("%.2f of the sound requests were served while the others came, %.2f before", during, before)
	}
	t.Logf("%d crashes, %d late bad requests, sound served %.2f before and %.2f during", len(crashes), late, before, during)
}

// TestCrashTrigger checks that only requests with the part or the body crash the stand-in of a
// runner.
func TestCrashTrigger(t *testing.T) {
	part, body := crashTrigger{part: "bad"}, crashTrigger{body: "bad"}
	tests := []struct {
		trigger     crashTrigger
		parts, body string
		want        bool
	}{
		{part, "", "", false}, {part, "aa:40,c1:20", "bad", false}, {part, "bad:60,c1:20", "", true}, {part, "aa:40,bad:60,c1:20", "", true}, {part, "aa:40,badder:60", "", false},
		{body, "bad:60", "", false}, {body, "", "bad", true}, {body, "", "badder", false}, {crashTrigger{}, "", "", false},
	}
	for _, tt := range tests {
		if got := tt.trigger.matches(tt.parts, tt.body); got != tt.want {
			t.Errorf("%+v, parts %q, body %q: crashes %t, want %t", tt.trigger, tt.parts, tt.body, got, tt.want)
		}
	}
}
