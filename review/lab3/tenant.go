package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["tenant"] = playTenant }

// uploadTime is how long the clients take to send a body.
const uploadTime = 4 * time.Second

// playTenant has clients send orders whose bodies take some seconds. Meanwhile a configuration gives the
// key to another tenant. UNASKED is broken by a request that runs with the name of a tenant that has not
// held the client's key for longer than config-apply-ms.
func playTenant(l *lab, trouble bool) (bool, error) {
	routes := []map[string]any{route("order", "non_idempotent", "desk", 8000, 2)}
	services := []map[string]any{service("desk", 0)}
	l.configure(1, routes, services, map[string][]string{"hotel": {"key-1", "key-2"}, "club": {"key-3"}})
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := l.addRunner("desk", zone, 12, 20*time.Millisecond); err != nil {
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
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() {
			time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
			l.sendSlowly(l.entries[i%len(l.entries)], call{method: "POST", path: "/order/x", id: newID(), key: "key-1", body: strings.Repeat("one box; ", 200), deadline: 8 * time.Second}, uploadTime)
		})
	}
	time.Sleep(600 * time.Millisecond)
	changed := time.Now()
	if trouble {
		l.configure(2, routes, services, map[string][]string{"hotel": {"key-2"}, "club": {"key-3", "key-1"}})
		l.note("configuration 2 is acknowledged: key-1 belongs to club and no longer to hotel")
	}
	time.Sleep(3 * time.Second)
	client := newClient()
	for _, e := range l.entries {
		r := l.send(client, e, call{method: "POST", path: "/order/x", id: newID(), key: "key-1", body: "one box", deadline: 3 * time.Second})
		l.note("%s answers a new request with the same key with %d: it ran for %s", e.name, r.status, l.runsOf()[r.id][0].tenant)
	}
	wg.Wait()
	broken := 0
	for _, a := range l.arrivals {
		if trouble && a.ran && a.tenant != "club" && a.at.Sub(changed) > 2*time.Second {
			broken++
			l.note("request %s ran for %s, %.1f s after the key was taken from it and given to club", a.id, a.tenant, a.at.Sub(changed).Seconds())
		}
	}
	l.note("%d requests, %d ran for a tenant that no longer holds the key", len(l.results), broken)
	return broken > 0, nil
}

// sendSlowly sends a request whose body takes some time, and records the answer.
func (l *lab) sendSlowly(e *entryVM, c call, d time.Duration) {
	r := result{id: c.id, entry: e.name, path: c.path, key: c.key, sent: time.Now()}
	defer func() {
		r.done = time.Now()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.results = append(l.results, r)
	}()
	nc, err := net.DialTimeout("tcp4", e.address(portCallers), time.Second)
	if err != nil {
		r.err = err.Error()
		return
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(c.deadline))
	_, err = fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\nChiveyoke-Attempt-Id: %s\r\nChiveyoke-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n\r\n",
		c.method, c.path, host, c.id, c.deadline.Milliseconds(), c.key, len(c.body))
	const pieces = 20
	for i := 0; i < pieces && err == nil; i++ {
		if _, err = io.WriteString(nc, c.body[i*len(c.body)/pieces:(i+1)*len(c.body)/pieces]); i < pieces-1 {
			time.Sleep(d / (pieces - 1))
		}
	}
	if err != nil {
		r.err = err.Error()
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		r.err = err.Error()
		return
	}
	data, err := io.ReadAll(resp.Body)
	r.status, r.body, r.complete = resp.StatusCode, string(data), err == nil
}
