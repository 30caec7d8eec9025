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
	if b.Spent(now)+1 > b.Limit(now, entries) {
		return false
	}
	b.retries.Add(now, 1)
	return true
}

// Spent returns the number of retries in the window.
func (b *RetryBudget) Spent(now time.Duration) float64 {
	b.retries.Span = b.Span
	return b.retries.Sum(now)
}

// Limit returns the number of retries that are allowed in the window.
func (b *RetryBudget) Limit(now time.Duration, entries int) float64 {
	b.requests.Span = b.Span
	return safetyFactor * (b.Ratio*b.requests.Sum(now) + b.Slack/float64(max(1, entries)))
}
