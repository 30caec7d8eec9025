package main

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

func init() { cases["cold"] = playCold }

const (
	// coldPerS, coldOverrun and coldSlack are those of the deployment.
	coldPerS, coldOverrun, coldSlack = 28.0, 1.5, 5.0
	// crashRate is well above what a cold runner tolerates: it crashes at so many requests in a second.
	crashRate = 2.5 * coldPerS
	coldTime  = 3 * time.Second
	// storeAway is how long the store is down.
	storeAway = 4500 * time.Millisecond
)

// playCold has the platform's store down for some seconds. Meanwhile a runner becomes cold, which it says
// in its health responses; its entry can't change until the store is back. FAILBACK is broken if a cold
// runner gets more requests in one second than cold-per-s x cold-overrun + cold-slack.
func playCold(l *lab, trouble bool) (bool, error) {
	routes := []map[string]any{route("read", "idempotent", "desk", 3000, 2), route("order", "non_idempotent", "desk", 3000, 2)}
	l.configure(1, routes, []map[string]any{service("desk", coldPerS)}, map[string][]string{"team": {"key-1"}})
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := l.addRunner("desk", zone, 12, 80*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := l.addEntry(zone); err != nil {
			return false, err
		}
	}
	if err := l.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	r := l.runners[0]
	var mu sync.Mutex
	var recent []time.Time
	crashed := false
	r.mu.Lock()
	r.onRequest = func(*http.Request) {
		r.mu.Lock()
		_, cold := r.isCold()
		r.mu.Unlock()
		mu.Lock()
		defer mu.Unlock()
		if !cold || crashed {
			return
		}
		now := time.Now()
		recent = slices.DeleteFunc(append(recent, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
		if len(recent) > crashRate {
			crashed = true
			l.note("runner %s crashes: %d requests within a second while it is cold", r.id, len(recent))
			go r.crashAndReturn()
		}
	}
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(3 * time.Second)
		if trouble {
			l.store.setSilent("", true)
			l.note("the store answers no call any more")
		}
		time.Sleep(500 * time.Millisecond)
		r.mu.Lock()
		r.coldUntil = time.Now().Add(coldTime)
		r.mu.Unlock()
		l.note("runner %s becomes cold for %v", r.id, coldTime)
		if trouble {
			time.Sleep(storeAway - 500*time.Millisecond)
			l.store.setSilent("", false)
			l.note("the store answers again")
		}
		r.register()
	})
	l.load(9*time.Second, 36, 80*time.Millisecond, func(client *http.Client, n int) {
		c := call{method: "GET", path: "/read/x", id: newID(), key: "key-1", deadline: 3 * time.Second}
		if n%4 == 0 {
			c.method, c.path, c.body = "POST", "/order/x", "one box"
		}
		l.send(client, l.entries[rand.IntN(len(l.entries))], c)
	})
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	var at []time.Time
	for _, a := range l.arrivals {
		if a.cold {
			at = append(at, a.at)
		}
	}
	sort.Slice(at, func(i, k int) bool { return at[i].Before(at[k]) })
	most := 0
	for i := range at {
		n := 0
		for k := i; k < len(at) && at[k].Sub(at[i]) < time.Second; k++ {
			n++
		}
		most = max(most, n)
	}
	lost := 0
	for _, x := range l.results {
		if strings.HasPrefix(x.path, "/order/") && (x.status == 0 || x.status == http.StatusBadGateway || x.status == http.StatusGatewayTimeout) {
			lost++
		}
	}
	l.notes = append(l.notes, summary(l, "%d requests; the cold runner got at most %d in one second, allowed are %.0f; %d orders were lost", len(l.results), most, coldPerS*coldOverrun+coldSlack, lost))
	return float64(most) > coldPerS*coldOverrun+coldSlack, nil
}
