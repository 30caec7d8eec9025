package chivesuspect

import (
	"strings"
	"time"
)

const (
	// historySpan is the least time for which requests are remembered, unless there are
	// more than maxHistorySuspects suspects, several times what the head of a request can name.
	historySpan        = 10 * time.Minute
	maxHistorySuspects = 16 << 10
)

// history counts the requests with each suspect of a kind and remembers when one was last
// answered. It keeps two generations, so that its size is bounded. The zero value is empty.
type history struct {
	current, previous generation
	// rotatedAt is when the current generation began.
	rotatedAt time.Duration
}

// generation counts requests of a span of time.
type generation struct {
	// requests is the number of requests, breaks that of those that broke off unanswered at
	// runners which crashed.
	requests, breaks int
	suspects         map[string]*usage
}

// usage returns what is remembered of a suspect, created on first use.
func (g *generation) usage(id string) *usage {
	u := g.suspects[id]
	if u == nil {
		u = &usage{}
		// The ID may refer to the memory of a whole head.
		g.suspects[strings.Clone(id)] = u
	}
	return u
}

// find returns what is remembered of a suspect.
func (g *generation) find(id string) usage {
	if u := g.suspects[id]; u != nil {
		return *u
	}
	return usage{}
}

// usage is what is remembered of a suspect in one generation.
type usage struct {
	// requests and breaks are those of the requests with the suspect.
	requests, breaks int
	// answeredAt is when a request was last answered, 0 if none was.
	answeredAt time.Duration
	// latest is the number of the latest request with the suspect.
	latest int
}

// addRequest counts a request with the given suspects. One without any does not count.
func (h *history) addRequest(ids []string, now time.Duration) {
	if len(ids) == 0 {
		return
	}
	h.rotate(now)
	h.current.requests++
	for _, id := range ids {
		u := h.current.usage(id)
		if u.latest == h.current.requests {
			// The request names it more than once.
			continue
		}
		u.requests++
		u.latest = h.current.requests
	}
}

// addAnswer records that a request with the given suspects was answered.
func (h *history) addAnswer(ids []string, now time.Duration) {
	if len(ids) == 0 {
		return
	}
	h.rotate(now)
	for _, id := range ids {
		h.current.usage(id).answeredAt = now
	}
}

// addBreaks counts requests that broke off unanswered at a runner which crashed, given the
// number of those with each suspect.
func (h *history) addBreaks(requests int, counts map[string]*brokenCount, now time.Duration) {
	h.rotate(now)
	h.current.breaks += requests
	for id, c := range counts {
		h.current.usage(id).breaks += c.requests
	}
}

// breakRate returns the fraction of the remembered requests without the suspect that broke
// off unanswered at runners which crashed.
func (h *history) breakRate(id string) float64 {
	var requests, breaks int
	for _, g := range []generation{h.current, h.previous} {
		u := g.find(id)
		requests += g.requests - u.requests
		breaks += g.breaks - u.breaks
	}
	return float64(breaks) / float64(requests+priorRequests)
}

// answeredAt returns when a request with the suspect was last answered, or 0.
func (h *history) answeredAt(id string) time.Duration {
	return max(h.current.find(id).answeredAt, h.previous.find(id).answeredAt)
}

// share returns the fraction of the remembered requests that had the suspect.
func (h *history) share(id string) float64 {
	with := h.current.find(id).requests + h.previous.find(id).requests
	return float64(with) / float64(max(h.requests(), 1))
}

// requests returns the number of remembered requests.
func (h *history) requests() int {
	return h.current.requests + h.previous.requests
}

// rotate begins a new generation if the current one is too old or too large.
func (h *history) rotate(now time.Duration) {
	if h.current.suspects != nil && now-h.rotatedAt < historySpan && len(h.current.suspects) < maxHistorySuspects {
		return
	}
	h.previous, h.current, h.rotatedAt = h.current, generation{suspects: map[string]*usage{}}, now
}
