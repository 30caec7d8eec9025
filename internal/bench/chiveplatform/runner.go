package chiveplatform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// A Runner is an endpoint: it answers calls and streams, and keeps what it ran.
type Runner struct {
	ID    string
	Zone  string
	Slots int
	// EventCount and Pause are the number of events of a stream and the time between
	// them.
	EventCount    int
	EventInterval time.Duration

	mu      sync.Mutex
	running int
	// startTimes holds when each request began to run.
	startTimes map[string][]time.Time
	// failureRate is the part of answers that are broken off after they ran.
	failureRate float64
}

// NewRunner returns a new Runner with room for so many requests.
func NewRunner(id, zone string, slots int) *Runner {
	return &Runner{ID: id, Zone: zone, Slots: slots, EventCount: 12, EventInterval: 15 * time.Millisecond, startTimes: map[string][]time.Time{}}
}

// SetFailureRate sets the part of answers that are broken off after they ran.
func (r *Runner) SetFailureRate(part float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failureRate = part
}

// StartTimes returns when requests began to run, by their ids.
func (r *Runner) StartTimes() map[string][]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make(map[string][]time.Time, len(r.startTimes))
	for id, at := range r.startTimes {
		list[id] = append([]time.Time(nil), at...)
	}
	return list
}

// StreamEvent returns an event of the stream that answers a request.
func StreamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// CallAnswer returns the whole answer to a call.
func CallAnswer(id string) string {
	return strings.Repeat("answer to "+id+";", 10)
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Chiveyoke-Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Chiveyoke-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Chiveyoke-Attempt-Id")
	broken, ok := r.begin(id)
	if !ok {
		w.Header().Set("Chiveyoke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	w.Header().Set("Chiveyoke-Attempt-Id", id)
	w.Header().Set("Chiveyoke-Response-Seal", "seal-"+id)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		r.stream(w, q, id, broken)
		return
	}
	if broken {
		panic(http.ErrAbortHandler)
	}
	// The caller notices an answer that is cut.
	_, _ = w.Write([]byte(CallAnswer(id)))
}

func (r *Runner) stream(w http.ResponseWriter, q *http.Request, id string, broken bool) {
	next := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	flush := http.NewResponseController(w)
	for ; next < r.EventCount; next++ {
		if broken && next == r.EventCount/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(StreamEvent(id, next))); err != nil || flush.Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.EventInterval):
		}
	}
}

// begin takes a slot and notes the run. It returns false where no slot is free.
func (r *Runner) begin(id string) (broken, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.Slots {
		return false, false
	}
	r.running++
	r.startTimes[id] = append(r.startTimes[id], time.Now())
	return rand.Float64() < r.failureRate, true
}

func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
