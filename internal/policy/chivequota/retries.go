package chivequota

import "time"

// safety is the part of a fleet-wide bound that is used; the rest covers what
// entry VMs do not yet know of each other.
const safety = 0.85

// RetryBudget is one entry VM's part of the retry budget of a service. Its bound
// holds for every window: retries up to Ratio for each request, and this entry
// VM's part of Slack.
type RetryBudget struct {
	Ratio float64
	Slack float64
	Span  time.Duration

	requests, retries Window
}

// AddRequest counts a request.
func (r *RetryBudget) AddRequest(now time.Duration) {
	r.requests.Span = r.Span
	r.requests.Add(now, 1)
}

// AllowRetry counts a retry where the budget allows it. Entries is the number of entry
// VMs that share the budget.
func (r *RetryBudget) AllowRetry(now time.Duration, entries int) bool {
	r.requests.Span, r.retries.Span = r.Span, r.Span
	bound := safety * (r.Ratio*r.requests.Sum(now) + r.Slack/float64(max(1, entries)))
	if r.retries.Sum(now)+1 > bound {
		return false
	}
	r.retries.Add(now, 1)
	return true
}
