package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["part"] = func(l *lab, trouble bool) (bool, error) { return playDeadly(l, trouble, partDeadly(35)) }
	cases["part-early"] = func(l *lab, trouble bool) (bool, error) { return playDeadly(l, trouble, partDeadly(2)) }
	cases["query"] = func(l *lab, trouble bool) (bool, error) { return playDeadly(l, trouble, queryDeadly(true)) }
	cases["query-same"] = func(l *lab, trouble bool) (bool, error) { return playDeadly(l, trouble, queryDeadly(false)) }
}

const (
	contact       = 3 * time.Second
	crashedFor    = 3 * time.Second
	heartbeat     = 1200 * time.Millisecond
	deadlyRunners = 9
)

// deadly describes requests that crash runners.
type deadly struct {
	kind string
	// make returns a request, one that crashes runners or a sound one of the same route.
	make func(n int, crashes bool) call
	// isDeadly tells them apart at a runner.
	isDeadly func(q *http.Request) bool
	// crashes is the number of crashes after which, and contact later, at most most requests may reach
	// runners.
	crashes, most int
}

const badPart = "deadbeef"

// partDeadly has a part of a prompt crash runners, at a place among 40 parts of which the last is the
// request's own.
func partDeadly(place int) deadly {
	return deadly{
		kind: "streaming", crashes: 5, most: 3,
		make: func(n int, crashes bool) call {
			parts := make([]string, 40)
			for i := range parts {
				parts[i] = fmt.Sprintf("%08x:20", 0xa0000000+i)
			}
			if crashes {
				parts[place] = badPart + ":20"
			}
			parts[39] = fmt.Sprintf("%08x:40", rand.Uint32())
			return call{method: "POST", path: "/draft/x", body: fmt.Sprintf("draft %d", n), header: map[string]string{
				"Chiveyoke-Model": "m", "Chiveyoke-Token-Usage": "820,80", "Chiveyoke-Prefix-Hash": strings.Join(parts, ","),
			}}
		},
		isDeadly: func(q *http.Request) bool {
			return strings.Contains(q.Header.Get("Chiveyoke-Prefix-Hash"), badPart)
		},
	}
}

// queryDeadly has a request crash runners that comes again with the same path, caller and body, and, if
// varied is set, with a query that tells the time at which it was sent.
func queryDeadly(varied bool) deadly {
	return deadly{
		kind: "idempotent", crashes: 3, most: 3,
		make: func(_ int, crashes bool) call {
			c := call{method: "GET", path: "/draft/x"}
			if varied || !crashes {
				c.path += fmt.Sprintf("?t=%d", time.Now().UnixNano())
			}
			if crashes {
				c.path = strings.Replace(c.path, "/x", "/bad", 1)
			}
			return c
		},
		isDeadly: func(q *http.Request) bool { return q.URL.Path == "/draft/bad" },
	}
}

// playDeadly has clients send sound requests and, seldom, requests that crash the runners that begin to
// run them. BUDGET is broken if more of these than allowed reach runners later than contact-ms after
// the crash that the rule names.
func playDeadly(l *lab, trouble bool, d deadly) (bool, error) {
	draft := route("draft", d.kind, "desk", 8000, 2)
	draft["sticky"], draft["resumable"], draft["gap-target-ms"] = true, true, 120
	l.configure(1, []map[string]any{draft, route("order", "non_idempotent", "desk", 3000, 2)}, []map[string]any{service("desk", 0)}, map[string][]string{"team": {"key-1"}})
	var mu sync.Mutex
	var crashes []time.Time
	var late []string
	for i := range deadlyRunners {
		r, err := l.addRunner("desk", string("abc"[i%3]), 12, 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		r.stream = d.kind == "streaming"
		r.onRequest = func(q *http.Request) {
			if !d.isDeadly(q) || !trouble {
				return
			}
			r.mu.Lock()
			id := r.id
			r.mu.Unlock()
			mu.Lock()
			if len(crashes) >= d.crashes && time.Since(crashes[d.crashes-1]) > contact {
				late = append(late, q.Header.Get("Chiveyoke-Attempt-Id"))
				l.note("request %s that crashes runners reaches %s, %.1f s after crash %d", q.Header.Get("Chiveyoke-Attempt-Id"), id, time.Since(crashes[d.crashes-1]).Seconds(), d.crashes)
			}
			crashes = append(crashes, time.Now())
			l.note("crash %d, of %s", len(crashes), id)
			mu.Unlock()
			go r.crashAndReturn()
			// The process ends while it begins to answer.
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
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
	time.Sleep(4 * time.Second)
	send := func(client *http.Client, c call) {
		c.id, c.key, c.deadline = newID(), "key-1", 8*time.Second
		l.send(client, l.entries[rand.IntN(len(l.entries))], c)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		client := newClient()
		for n := range 60 {
			time.Sleep(time.Duration(300+rand.IntN(400)) * time.Millisecond)
			go send(client, d.make(n, true))
		}
	})
	wg.Go(func() {
		l.load(30*time.Second, 16, 400*time.Millisecond, func(client *http.Client, n int) { send(client, d.make(n, false)) })
	})
	wg.Go(func() {
		l.load(30*time.Second, 8, 400*time.Millisecond, func(client *http.Client, _ int) {
			send(client, call{method: "POST", path: "/order/x", body: "one box"})
		})
	})
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	runs, lost := l.runsOf(), 0
	for _, r := range l.results {
		if strings.HasPrefix(r.path, "/order/") && len(runs[r.id]) > 0 && (r.status != http.StatusOK || !r.complete) {
			lost++
		}
	}
	l.note("%d crashes; %d requests that crash runners reached them late, allowed are %d; %d orders of others were lost", len(crashes), len(late), d.most, lost)
	return len(late) > d.most, nil
}
