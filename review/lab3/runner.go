package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	id, runner, path, tenant, body string
	at                             time.Time
	// ran tells whether the runner ran it, cold whether the runner was cold then.
	ran, cold bool
}

// runnerStand is a stand-in for a runner of a plain service, by PROTOCOL.md.
type runnerStand struct {
	id, service, zone, addr string
	slots                   int
	work                    time.Duration
	lab                     *lab

	mu        sync.Mutex
	born      int64
	state     string
	coldUntil time.Time
	sequence  int64
	running   int
	// answer, if it is not nil, decides on the answer to a request that has run: it returns false
	// for the usual one.
	answer func(w http.ResponseWriter, q *http.Request, id string) bool
	// stream makes it answer with a stream of events.
	stream bool
	// onRequest, if it is not nil, is called for each request that reached the runner.
	onRequest func(q *http.Request)

	server   *http.Server
	listener net.Listener
}

// start makes the runner listen and serve.
func (r *runnerStand) start() error {
	l, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born, r.state = time.Now().UnixMilli(), "ready"
	r.listener, r.server = l, &http.Server{Handler: r, IdleTimeout: 10 * time.Second}
	server := r.server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the runner as a kill does: its connections are reset and its port is closed.
func (r *runnerStand) crash() {
	r.mu.Lock()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
}

// register writes the runner's entry.
func (r *runnerStand) register() {
	r.mu.Lock()
	r.sequence++
	entry := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"cold-remaining-ms": max(0, time.Until(r.coldUntil).Milliseconds()), "sequence": r.sequence, "born": r.born,
	}
	r.mu.Unlock()
	r.lab.store.put("servers", r.id, entry)
}

// crashAndReturn ends the runner, and starts it again after some seconds under a new id, at the same
// address. Its entry lapses after three heartbeats.
func (r *runnerStand) crashAndReturn() {
	r.crash()
	r.mu.Lock()
	before := r.id
	r.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { r.lab.store.remove("servers", before) })
	time.Sleep(crashedFor)
	r.mu.Lock()
	r.id, r.sequence, r.running = fmt.Sprintf("i-%08x", rand.Uint32()), 0, 0
	r.mu.Unlock()
	if err := r.start(); err != nil {
		r.lab.note("runner can't start again: %v", err)
		return
	}
	r.register()
}

// sendEvents answers with a stream.
func (r *runnerStand) sendEvents(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	n, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	for n++; n <= 12; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// isCold reports whether the runner is cold, and for how long.
func (r *runnerStand) isCold() (time.Duration, bool) {
	left := time.Until(r.coldUntil)
	return left, left > 0
}

// ServeHTTP implements http.Handler.
func (r *runnerStand) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	left, cold := r.isCold()
	onRequest, answer, instance := r.onRequest, r.answer, r.id
	r.mu.Unlock()
	w.Header().Set("Chiveyoke-Instance-Id", instance)
	if q.URL.Path == "/healthz" {
		if cold {
			w.Header().Set("Chiveyoke-Cold-Ms", fmt.Sprint(left.Milliseconds()))
		}
		return
	}
	if expected := q.Header.Get("Chiveyoke-Expect-Instance"); expected != "" && expected != instance {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if onRequest != nil {
		onRequest(q)
	}
	id := q.Header.Get("Chiveyoke-Attempt-Id")
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a := arrival{id: id, runner: instance, path: q.URL.Path, tenant: q.Header.Get("Chiveyoke-Tenant"), body: string(body), at: time.Now(), cold: cold}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	a.ran = !full
	r.lab.arrived(a)
	if full {
		w.Header().Set("Chiveyoke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	time.Sleep(r.work)
	if answer != nil && answer(w, q, id) {
		return
	}
	w.Header().Set("Chiveyoke-Attempt-Id", id)
	w.Header().Set("Chiveyoke-Response-Seal", "seal."+id)
	if r.stream && strings.HasPrefix(q.URL.Path, "/draft/") {
		r.sendEvents(w, q)
		return
	}
	_, _ = io.WriteString(w, answerBody(id))
}

// answerBody is the body of the answer to a request.
func answerBody(id string) string {
	return strings.Repeat("answer to "+id+"; ", 20)
}

// share reports true for about the given share of all calls.
func share(x float64) bool { return rand.Float64() < x }
