// Package chiveretry implements the budget that keeps retries a small part of
// the requests of a workspace.
package chiveretry

const (
	// ratio is the number of retries that one request pays for.
	ratio = 0.2
	// burst is the number of retries that a budget holds at most.
	burst = 20.0
)

// A Budget is the retry budget of one workspace. Its zero value is full. It is
// not safe for concurrent use.
type Budget struct {
	spent float64
}

// AddRequest pays the part of a new request into the budget.
func (b *Budget) AddRequest() {
	b.spent = max(0, b.spent-ratio)
}

// AllowRetry takes one retry out of the budget, or returns false where it is empty.
func (b *Budget) AllowRetry() bool {
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
