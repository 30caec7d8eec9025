package chivequota

import "time"

// safetyFactor is the fraction of a fleet-wide limit that entry VMs use. The rest
// covers requests that they have not yet reported to each other.
const safetyFactor = 0.85

// RetryBudget limits the retries that one entry VM sends to a service. In any
// window of length Span it allows Ratio retries per request plus an equal share of
// Slack, both reduced by safetyFactor.
type RetryBudget struct {
	// Ratio is the number of retries per request.
	Ratio float64
	// Slack is the number of further retries, shared equally by all entry VMs.
	Slack float64
	// Span is the length of the window.
	Span time.Duration

	requests, retries Window
}

// AddRequest counts a request.
func (b *RetryBudget) AddRequest(now time.Duration) {
	b.requests.Span = b.Span
	b.requests.Add(now, 1)
}

// AllowRetry reports whether a retry may be sent, and counts it if so. entries is
// the number of entry VMs that share the budget.
func (b *RetryBudget) AllowRetry(now time.Duration, entries int) bool {
	b.requests.Span, b.retries.Span = b.Span, b.Span
	limit := safetyFactor * (b.Ratio*b.requests.Sum(now) + b.Slack/float64(max(1, entries)))
	if b.retries.Sum(now)+1 > limit {
		return false
	}
	b.retries.Add(now, 1)
	return true
}
