package chivegateway

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveretry"
)

// retryBudgets holds the retry budget of every workspace.
type retryBudgets struct {
	mu          sync.Mutex
	byWorkspace map[string]*chiveretry.Budget
}

func newRetryBudgets() *retryBudgets {
	return &retryBudgets{byWorkspace: map[string]*chiveretry.Budget{}}
}

// addRequest pays a new addRequest of the workspace in.
func (b *retryBudgets) addRequest(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(workspace).AddRequest()
}

// takeRetry takes one takeRetry out, or returns false where none is left.
func (b *retryBudgets) takeRetry(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(workspace).AllowRetry()
}

func (b *retryBudgets) get(workspace string) *chiveretry.Budget {
	budget, ok := b.byWorkspace[workspace]
	if !ok {
		budget = &chiveretry.Budget{}
		b.byWorkspace[workspace] = budget
	}
	return budget
}
