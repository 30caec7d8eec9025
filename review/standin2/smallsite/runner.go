package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	plainWork     = 60 * time.Millisecond
	eventCount    = 24
	eventInterval = 18 * time.Millisecond
)

// runner is a stand-in of a runner. One with an engine is a rank of a group.
type runner struct {
	site    *site
	id      string
	service service
	address string
	zone    string
	born    int64
	// group is the group of the rank.
	group           string
	groupSize, rank int
	// refuses makes it turn all requests away as if it were full.
	refuses bool
	// loses is set while it loses the answers of some requests that it ran.
	loses atomic.Bool

	started time.Time
	slots   chan struct{}
}

func newRunner(s *site, id string, of service, n int) *runner {
	r := &runner{site: s, id: id, service: of, address: s.address(2, n, portRunner), zone: zones[n%len(zones)], started: time.Now(), born: time.Now().UnixMilli()}
	r.slots = make(chan struct{}, modelSlots)
	return r
}

func (r *runner) listen() error { return r.site.listen(r.address, r) }

// entry returns the entry with which the runner registers itself.
func (r *runner) entry() map[string]any {
	e := map[string]any{
		"service": r.service.name, "address": r.address, "zone": r.zone, "version": "v1", "slots": plainSlots, "state": "ready",
		"cold-remaining-ms": 0, "sequence": 0, "born": r.born,
	}
	if r.service.engine {
		e["slots"], e["group"], e["size"] = modelSlots, r.groupState(), r.groupSize
	}
	return e
}

func (r *runner) groupState() map[string]any {
	return map[string]any{"name": r.group, "epoch": 1, "rank": r.rank, "state": "open"}
}

// pass returns the number of the last pass that has begun.
func (r *runner) pass() int64 { return int64(time.Since(r.started) / (20 * time.Millisecond)) }

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Chiveyoke-Instance-Id", r.id)
	if want := q.Header.Get("Chiveyoke-Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/healthz":
		return
	case "/-/report":
		answerJSON(w, map[string]any{
			"stage": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": 0, "waiting": 0, "running": len(r.slots),
			"kv-used": 0, "kv-total": 280000, "kv-handles": 0, "pace": 1, "born": r.born,
			"group": r.groupState(), "size": r.groupSize, "step": r.pass(), "map": 0, "prepared": nil, "armed": nil, "held": nil,
		})
		return
	case "/-/picked":
		r.picked(w, q)
		return
	case "/-/order":
		w.WriteHeader(http.StatusConflict)
		return
	}
	r.run(w, q)
}

// picked answers how often experts were chosen, which is never, or the experts of the rank.
func (r *runner) picked(w http.ResponseWriter, q *http.Request) {
	answer := map[string]any{"step": r.pass(), "epoch": 1, "born": r.born}
	if q.URL.Query().Has("lists") {
		var own [][]int
		for range expertSets {
			var list []int
			for e := r.rank; e < experts; e += r.groupSize {
				list = append(list, e)
			}
			own = append(own, list)
		}
		answer["map"], answer["prepared"] = map[string]any{"version": 0, "experts": own}, nil
	} else {
		answer["counts"] = make([]int, expertSets*experts)
	}
	answerJSON(w, answer)
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller sees a truncated answer.
	_ = json.NewEncoder(w).Encode(v)
}

// run runs a request.
func (r *runner) run(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Chiveyoke-Attempt-Id")
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	refuse := func(status int) {
		w.Header().Set("Chiveyoke-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	w.Header().Set("Chiveyoke-Attempt-Id", id)
	if r.refuses {
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
	default:
		refuse(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-r.slots }()
	r.site.record.event("run", id, r.id)
	w.Header().Set("Chiveyoke-Response-Seal", "seal-"+id)
	if r.service.engine {
		r.stream(w, q, id)
		return
	}
	time.Sleep(plainWork)
	if r.loses.Load() && rand.Float64() < lostRate {
		r.site.record.event("answer lost", id, r.id)
		resetCaller(w)
		return
	}
	// The caller sees a truncated answer.
	_, _ = io.WriteString(w, strings.Repeat("answer to "+id+"\n", 40))
}

// resetCaller resets the connection of the caller.
func resetCaller(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// stream answers with the events after Last-Event-Id.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string) {
	next := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for ; next < eventCount; next++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", next, next, id); err != nil || controller.Flush() != nil {
			return
		}
	}
}
