package chiveplatform

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// drainBound is the time after an entry VM has passed on that a runner is leaving from
	// which no request sent to that entry VM may reach the runner.
	drainBound = 2 * time.Second
	// pauseSlack is how long after a runner has asked for a pause requests may still
	// arrive from that entry VM, maxPauseArrivals how many may arrive later in the pause.
	pauseSlack       = 500 * time.Millisecond
	maxPauseArrivals = 2
	// headerIncarnation tells callers which incarnation of a runner has answered.
	headerIncarnation = "Incarnation"
	// limitWindow is the span in which a runner that has named a limit may get limitOverrun
	// times what that allows, and limitSlack more.
	limitWindow   = 4 * time.Second
	limitOverrun  = 1.5
	limitSlack    = 5
	headerLeaving = "Server-Leaving"
	headerLimit   = "Server-Limit"
)

// noticeLog records the requests that reached a runner, and what the runner has said of
// itself in its answers. The zero value is the log of a runner that stays. It is safe for
// concurrent use.
type noticeLog struct {
	mu          sync.Mutex
	incarnation int
	leaving     bool
	// pause is asked for until pauseEnd, in answers to all requests.
	pause    time.Duration
	pauseEnd time.Time
	// limit is the number of requests per second that all answers name, 0 if they name none.
	limit    float64
	arrivals []arrival
}

// arrival is a request that reached a runner.
type arrival struct {
	id          string
	incarnation int
	at          time.Time
	// pause is what the runner asked for in its answer, or 0.
	pause time.Duration
	// limit is what it named in its answer, or 0.
	limit float64
}

// arrive records a request, adds the notices to the header of its answer and returns the
// pause to ask for, or 0 if the request is to be run.
func (n *noticeLog) arrive(id string, h http.Header) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	a := arrival{id: id, incarnation: n.incarnation, at: now, limit: n.limit}
	if now.Before(n.pauseEnd) {
		a.pause = n.pause
	}
	n.arrivals = append(n.arrivals, a)
	h.Set(headerIncarnation, strconv.Itoa(n.incarnation))
	if n.leaving {
		h.Set(headerLeaving, "1")
	}
	if n.limit > 0 {
		h.Set(headerLimit, strconv.FormatFloat(n.limit, 'f', 2, 64))
	}
	return a.pause
}

// nameLimit makes all later answers name a limit, or none if it is 0.
func (n *noticeLog) nameLimit(limit float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = limit
}

// leave makes all later answers say that the runner is leaving.
func (n *noticeLog) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// restart begins the next incarnation, which stays.
func (n *noticeLog) restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	n.leaving = false
}

// askForPause refuses all requests for a time, with a pause of the given length.
func (n *noticeLog) askForPause(pause, during time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pause, n.pauseEnd = pause, time.Now().Add(during)
}

// list returns the requests that have arrived.
func (n *noticeLog) list() []arrival {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.arrivals)
}

// sending is a request of a caller.
type sending struct {
	// entry is the entry VM that got the request.
	entry string
	at    time.Time
}

// leavingAnswer is an answer that an entry VM passed on and in which a runner says that it
// is leaving.
type leavingAnswer struct {
	entry, runner string
	incarnation   int
	at            time.Time
}

// noticeViolations describes each request that reached a runner although its entry VM knew
// that the runner was leaving or wanted no requests. excused reports whether an entry VM,
// or its link to the runner, had a fault within a span.
func noticeViolations(runner string, arrivals []arrival, answers []leavingAnswer, sent map[string]sending, excused func(entry string, from, to time.Time) bool) []string {
	var list []string
	for _, a := range arrivals {
		s, ok := sent[a.id]
		if !ok {
			continue
		}
		for _, l := range answers {
			if l.runner == runner && l.incarnation == a.incarnation && l.entry == s.entry && s.at.After(l.at.Add(drainBound)) && !excused(s.entry, l.at, a.at) {
				list = append(list, fmt.Sprintf("%s reached %s from %s %v after that had passed on that the runner is leaving", a.id, runner, s.entry, a.at.Sub(l.at)))
				break
			}
		}
		list = append(list, limitViolation(runner, a, arrivals, sent, excused)...)
		end := a.at.Add(a.pause)
		late := 0
		for _, o := range arrivals {
			if sent[o.id].entry == s.entry && o.incarnation == a.incarnation && o.at.After(a.at.Add(pauseSlack)) && o.at.Before(end) {
				late++
			}
		}
		if late > maxPauseArrivals && !excused(s.entry, a.at, end) {
			list = append(list, fmt.Sprintf("%d requests reached %s from %s in a pause of %v that it had asked for", late, runner, s.entry, a.pause))
		}
	}
	return list
}

// limitViolation describes more requests than the limit allows that a runner names in its
// answer to a request, in the span of limitWindow from that request on. Counted are those from
// entry VMs that it had told for contactTime and that had no fault since.
func limitViolation(runner string, a arrival, arrivals []arrival, sent map[string]sending, excused func(entry string, from, to time.Time) bool) []string {
	told := map[string]bool{}
	count, end := 0, a.at.Add(limitWindow)
	for _, o := range arrivals {
		entry := sent[o.id].entry
		switch {
		case a.limit == 0 || o.limit != a.limit || o.incarnation != a.incarnation || entry == "" || !o.at.Before(end):
		case o.at.Before(a.at.Add(-contactTime)):
			told[entry] = true
		case !o.at.Before(a.at) && told[entry] && !excused(entry, a.at.Add(-contactTime), end):
			count++
		}
	}
	if allowed := limitOverrun*a.limit*limitWindow.Seconds() + limitSlack; float64(count) > allowed {
		return []string{fmt.Sprintf("%d requests reached %s in %v, which had named a limit of %v a second: %.0f are allowed", count, runner, limitWindow, a.limit, allowed)}
	}
	return nil
}
