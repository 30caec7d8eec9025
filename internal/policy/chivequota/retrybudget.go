package chivequota

import "time"

// safetyFactor is the fraction of a fleet-wide limit that entry VMs use. The rest
// covers requests that they have not yet reported to each other.
const safetyFactor = 0.85

// retryBudget limits the retries that one entry VM sends to a service. In any
// window of length Span it allows Ratio retries per request plus an equal share of
// Slack, both reduced by safetyFactor.
type retryBudget struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of further retries, shared equally by all entry VMs.
	Slack float64
	// Span is the length of the window.
	Span time.Duration

	requests, retries Window
	// formerRequests and formerRetries are those of the process before.
	formerRequests, formerRetries Window
}

// retryShare is the part of a budget that one entry VM may use.
type retryShare struct {
	// fraction is the fraction of the budget that all use, sharers their number.
	fraction float64
	sharers  int
}

// addRequest counts a request.
func (b *retryBudget) addRequest(now time.Duration) {
	b.setSpans()
	b.requests.Add(now, 1)
}

// allow reports whether a retry may be sent, and counts it if so.
func (b *retryBudget) allow(now time.Duration, s retryShare) bool {
	if b.spent(now)+1 > b.limit(now, s) {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// spent returns the number of retries in the window.
func (b *retryBudget) spent(now time.Duration) float64 {
	b.setSpans()
	return b.retries.Sum(now) + b.formerRetries.Sum(now)
}

// limit returns the number of retries that are allowed in the window.
func (b *retryBudget) limit(now time.Duration, s retryShare) float64 {
	b.setSpans()
	requests := b.requests.Sum(now) + b.formerRequests.Sum(now)
	return s.fraction * (b.Ratio*requests + b.Slack/float64(max(1, s.sharers)))
}

// history returns the requests and retries in the window, with those of the process before.
func (b *retryBudget) history(now time.Duration) RetryHistory {
	b.setSpans()
	return RetryHistory{
		Requests: b.requests.History(now).plus(b.formerRequests.History(now)),
		Retries:  b.retries.History(now).plus(b.formerRetries.History(now)),
	}
}

// setSpans sets the spans of the windows, so that the zero value of the windows works.
func (b *retryBudget) setSpans() {
	for _, w := range []*Window{&b.requests, &b.retries, &b.formerRequests, &b.formerRetries} {
		w.Span = b.Span
	}
}
