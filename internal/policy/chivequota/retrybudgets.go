package chivequota

import "time"

// RetryBudgets holds the retry budgets of all services at one entry VM. Moments are durations
// since any fixed one.
type RetryBudgets struct {
	// Ratio, Slack and Span are those of each RetryBudget.
	Ratio, Slack float64
	Span         time.Duration

	budgets map[string]*RetryBudget
	// lastRegistered holds when each entry VM was registered last, by name.
	lastRegistered map[string]time.Duration
	registered     []string
}

// SetEntries sets the names of the registered entry VMs, which share the budgets. Before the
// first call, no retries are allowed.
func (b *RetryBudgets) SetEntries(names []string, now time.Duration) {
	if b.lastRegistered == nil {
		b.lastRegistered = map[string]time.Duration{}
	}
	for _, name := range append(b.registered, names...) {
		b.lastRegistered[name] = now
	}
	b.registered = names
}

// Sharers returns the number of entry VMs that have been registered within the window. Those that
// have left may have used their share.
func (b *RetryBudgets) Sharers(now time.Duration) int {
	n := len(b.registered)
	current := map[string]bool{}
	for _, name := range b.registered {
		current[name] = true
	}
	for name, at := range b.lastRegistered {
		switch {
		case current[name]:
		case now-at < b.Span:
			n++
		default:
			delete(b.lastRegistered, name)
		}
	}
	return n
}

// AddRequest counts a request to a service.
func (b *RetryBudgets) AddRequest(service string, now time.Duration) {
	b.budget(service).AddRequest(now)
}

// AllowRetry reports whether a retry may be sent to a service, and counts it if so.
func (b *RetryBudgets) AllowRetry(service string, now time.Duration) bool {
	return len(b.registered) > 0 && b.budget(service).AllowRetry(now, b.Sharers(now))
}

// Spent returns the number of retries in the window and their limit, by service.
func (b *RetryBudgets) Spent(now time.Duration) (spent, limit map[string]float64) {
	spent, limit = map[string]float64{}, map[string]float64{}
	for service, budget := range b.budgets {
		spent[service], limit[service] = budget.Spent(now), budget.Limit(now, b.Sharers(now))
	}
	return spent, limit
}

// budget returns the budget of a service, created on first use.
func (b *RetryBudgets) budget(service string) *RetryBudget {
	budget := b.budgets[service]
	if budget == nil {
		if b.budgets == nil {
			b.budgets = map[string]*RetryBudget{}
		}
		budget = &RetryBudget{Ratio: b.Ratio, Slack: b.Slack, Span: b.Span}
		b.budgets[service] = budget
	}
	return budget
}
