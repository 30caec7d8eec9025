package chivegateway

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveretry"
)

// budgets holds the retry budget of every workspace.
type budgets struct {
	mu   sync.Mutex
	list map[string]*chiveretry.Budget
}

func newBudgets() *budgets {
	return &budgets{list: map[string]*chiveretry.Budget{}}
}

// request pays a new request of the workspace in.
func (b *budgets) request(workspace string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.get(workspace).AddRequest()
}

// retry takes one retry out, or returns false where none is left.
func (b *budgets) retry(workspace string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(workspace).AllowRetry()
}

func (b *budgets) get(workspace string) *chiveretry.Budget {
	budget, ok := b.list[workspace]
	if !ok {
		budget = &chiveretry.Budget{}
		b.list[workspace] = budget
	}
	return budget
}
