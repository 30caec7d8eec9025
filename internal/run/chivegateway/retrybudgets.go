package chivegateway

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveretry"
)

// retryBudgets holds the retry budget of every workspace. It is safe for
// concurrent use.
type retryBudgets struct {
	mu          sync.Mutex
	byWorkspace map[string]*chiveretry.Budget
}

// newRetryBudgets returns empty retryBudgets; a workspace starts with a full
// budget.
func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byWorkspace: map[string]*chiveretry.Budget{}}
}

// addRequest credits the budget of the workspace for a new request.
func (b *retryBudgets) addRequest(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(workspace).AddRequest()
}

// takeRetry takes one retry from the budget of the workspace. It returns false
// if the budget is exhausted.
func (b *retryBudgets) takeRetry(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(workspace).AllowRetry()
}

// get returns the budget of the workspace and creates it if needed. The caller
// holds the lock.
func (b *retryBudgets) get(workspace string) *chiveretry.Budget {
	budget, ok := b.byWorkspace[workspace]
	if !ok {
		budget = &chiveretry.Budget{}
		b.byWorkspace[workspace] = budget
	}
	return budget
}
