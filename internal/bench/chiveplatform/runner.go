package chiveplatform

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runner is an HTTP handler that stands for an endpoint. It answers calls and
// streams with texts derived from the request ID and records every execution.
type Runner struct {
	// ID is the instance ID, Zone the zone that the runner is registered in.
	ID   string
	Zone string
	// Slots is the number of requests that run at a time. Further ones are refused.
	Slots int
	// EventCount is the number of events of a stream, EventInterval the time between
	// two of them.
	EventCount    int
	EventInterval time.Duration

	mu sync.Mutex
	// running is the number of requests that run now.
	running int
	// startTimes holds the start of each execution by request ID.
	startTimes map[string][]time.Time
	// failureRate is the probability that an answer is aborted after its request ran.
	failureRate float64
	// workTime is how long a call runs.
	workTime time.Duration
	// endless makes the runner send bytes without an end after the request ran.
	endless bool
	notices noticeLog
	crashes crashLog
}

// NewRunner returns a Runner with the given number of slots that aborts no answer.
func NewRunner(id, zone string, slots int) *Runner {
	return &Runner{ID: id, Zone: zone, Slots: slots, EventCount: 12, EventInterval: 15 * time.Millisecond, startTimes: map[string][]time.Time{}}
}

// SetFailureRate sets the probability, from 0 to 1, that an answer is aborted after
// its request ran.
func (r *Runner) SetFailureRate(rate float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failureRate = rate
}

// incarnation counts the restarts of the runner.
func (r *Runner) incarnation() int {
	r.notices.mu.Lock()
	defer r.notices.mu.Unlock()
	return r.notices.incarnation
}

// SetWorkTime sets how long calls run, or until their callers leave.
func (r *Runner) SetWorkTime(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workTime = d
}

// work waits for the time of a call. It reports whether the caller is still there.
func (r *Runner) work(q *http.Request) bool {
	r.mu.Lock()
	d := r.workTime
	r.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-q.Context().Done():
		return false
	}
}

// SetEndless sets whether answers have no end.
func (r *Runner) SetEndless(endless bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endless = endless
}

func (r *Runner) isEndless() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.endless
}

// sendEndless sends bytes that are neither an event nor an answer until the caller closes
// the connection.
func sendEndless(w http.ResponseWriter) {
	junk := []byte(strings.Repeat("x", endlessChunkSize))
	for {
		if _, err := w.Write(junk); err != nil {
			return
		}
	}
}

// endlessChunkSize is the size in bytes of what sendEndless writes at a time.
const endlessChunkSize = 16 << 10

// StartTimes returns a copy of the start times of all executions by request ID.
func (r *Runner) StartTimes() map[string][]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	times := make(map[string][]time.Time, len(r.startTimes))
	for id, starts := range r.startTimes {
		times[id] = append([]time.Time(nil), starts...)
	}
	return times
}

// StreamEvent returns event n of the stream that answers a request.
func StreamEvent(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
}

// CallAnswer returns the body of the answer to a call.
func CallAnswer(id string) string {
	return strings.Repeat("answer to "+id+";", 10)
}

// ServeHTTP implements http.Handler. It refuses requests meant for another instance
// with status 421, and those beyond its slots with 503 and Chiveyoke-Not-Executed.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expected := q.Header.Get("Chiveyoke-Expect-Instance"); expected != "" && expected != r.ID {
		w.Header().Set("Chiveyoke-Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("Chiveyoke-Attempt-Id")
	w.Header().Set("Chiveyoke-Instance-Id", r.ID)
	body, err := io.ReadAll(q.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	crashes := r.crashes.arrive(id, q.Header.Get(HeaderPromptParts), string(body))
	if pause := r.notices.arrive(id, w.Header()); pause > 0 {
		w.Header().Set("Chiveyoke-Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	aborted, ok := r.begin(id)
	if !ok {
		w.Header().Set("Chiveyoke-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.end()
	w.Header().Set("Chiveyoke-Attempt-Id", id)
	w.Header().Set("Chiveyoke-Response-Seal", "seal-"+id)
	if crashes {
		// The caller may have the head of the answer, as from a real crash.
		_ = http.NewResponseController(w).Flush()
		r.crashes.crash()
		panic(http.ErrAbortHandler)
	}
	if r.isEndless() {
		sendEndless(w)
		return
	}
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		r.stream(w, q, id, aborted)
		return
	}
	if aborted || !r.work(q) {
		panic(http.ErrAbortHandler)
	}
	// The client detects a truncated answer.
	_, _ = w.Write([]byte(CallAnswer(id)))
}

// stream writes events from the one after Last-Event-Id, if given. An aborted stream
// ends halfway.
func (r *Runner) stream(w http.ResponseWriter, q *http.Request, id string, aborted bool) {
	next := 0
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	controller := http.NewResponseController(w)
	for ; next < r.EventCount; next++ {
		if aborted && next == r.EventCount/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(StreamEvent(id, next))); err != nil || controller.Flush() != nil {
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-time.After(r.EventInterval):
		}
	}
}

// begin takes a slot and records the execution. aborted reports whether the answer is
// to be aborted, ok whether a slot was free.
func (r *Runner) begin(id string) (aborted, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.Slots {
		return false, false
	}
	r.running++
	r.startTimes[id] = append(r.startTimes[id], time.Now())
	return rand.Float64() < r.failureRate, true
}

// end releases a slot.
func (r *Runner) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}
