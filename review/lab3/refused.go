package main

import (
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["refused"] = playRefused }

// playRefused has one runner of eight fail part of its calls while its health check is good: it has run
// the call and answers 503, without Chiveyoke-Not-Executed. REFUSED is broken by a call that may not be
// repeated, has run and is answered 429, 503, 408 or 421.
func playRefused(l *lab, trouble bool) (bool, error) {
	l.configure(1, []map[string]any{route("order", "non_idempotent", "desk", 3000, 2)}, []map[string]any{service("desk", 0)}, map[string][]string{"team": {"key-1"}})
	for i := range 8 {
		if _, err := l.addRunner("desk", string("abc"[i%3]), 6, 20*time.Millisecond); err != nil {
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
	time.Sleep(4 * time.Second)
	if trouble {
		grey := l.runners[0]
		grey.mu.Lock()
		grey.answer = func(w http.ResponseWriter, _ *http.Request, id string) bool {
			if !share(0.45) {
				return false
			}
			w.Header().Set("Chiveyoke-Attempt-Id", id)
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		grey.mu.Unlock()
		l.note("runner %s begins to fail part of the calls that it has run, with 503", grey.id)
	}
	l.load(6500*time.Millisecond, 8, 60*time.Millisecond, func(client *http.Client, _ int) {
		l.send(client, l.entries[rand.IntN(len(l.entries))], call{method: "POST", path: "/order/x", id: newID(), key: "key-1", body: "one box", deadline: 3 * time.Second})
	})
	runs, broken := l.runsOf(), 0
	for _, r := range l.results {
		switch r.status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(runs[r.id]) > 0 {
				broken++
				l.note("request %s was answered %d and has run at %s", r.id, r.status, runs[r.id][0].runner)
			}
		}
	}
	l.note("%d requests, %d of them answered as not run although they have run", len(l.results), broken)
	return broken > 0, nil
}
