// Package chiveretry implements a retry budget, which keeps the retries of a
// workspace to a small fraction of its requests.
package chiveretry

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.2
	// burst is the maximum number of retries in the budget.
	burst = 20.0
)

// Budget is the retry budget of one workspace. The zero value is a full budget.
// It is not safe for concurrent use.
type Budget struct {
	// spent is the number of retries taken from a full budget.
	spent float64
}

// AddRequest adds the retries that one request earns to the budget.
func (b *Budget) AddRequest() {
	b.spent = max(0, b.spent-retryRatio)
}

// AllowRetry takes one retry from the budget and returns true, or returns false
// if less than one is left.
func (b *Budget) AllowRetry() bool {
	if b.spent+1 > burst {
		return false
	}
	b.spent++
	return true
}
