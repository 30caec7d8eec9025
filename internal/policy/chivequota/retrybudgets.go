package chivequota

import (
	"slices"
	"time"
)

// startFraction is the fraction of a budget that is used while it is unknown what the process
// before has used. What all leave unused suffices for maxLosses losses of all who know within a
// window.
const (
	startFraction = (1 - safetyFactor) / maxLosses
	maxLosses     = 3
)

// RetryBudgets holds the retry budgets of all services at one entry VM. The budgets outlive
// the process: the use of a process that ran before on the same VM counts as its own. Until it
// knows that, or the window has passed, a process takes only startFraction. Moments are durations
// since any fixed one.
type RetryBudgets struct {
	// Ratio, Slack and Span are those of each retryBudget.
	Ratio, Slack float64
	Span         time.Duration
	// Started is when the process started.
	Started time.Duration

	budgets map[string]*retryBudget
	// lastRegistered holds when each entry VM was registered last, by name.
	lastRegistered map[string]time.Duration
	registered     []string
	// former is what is known of the process before, as of formerAt; nil if nothing is.
	former   *FormerUse
	formerAt time.Duration
}

// SetEntries sets the names of the registered entry VMs, which share the budgets. Before the
// first call, no retries are allowed.
func (b *RetryBudgets) SetEntries(names []string, now time.Duration) {
	if b.lastRegistered == nil {
		b.lastRegistered = map[string]time.Duration{}
	}
	for _, name := range slices.Concat(b.registered, names) {
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
	if b.former != nil && now-b.Started < b.Span {
		n = max(n, b.former.Sharers)
	}
	return n
}

// AddRequest counts a request to a service.
func (b *RetryBudgets) AddRequest(service string, now time.Duration) {
	b.budget(service).addRequest(now)
}

// AllowRetry reports whether a retry may be sent to a service, and counts it if so.
func (b *RetryBudgets) AllowRetry(service string, now time.Duration) bool {
	return len(b.registered) > 0 && b.budget(service).allow(now, b.share(now))
}

// SetFormer sets what another entry VM remembers of the process before, unless more recent is
// known. It reports whether that was the first it heard of it.
func (b *RetryBudgets) SetFormer(f *FormerUse, now time.Duration) bool {
	first := b.former == nil
	if now-b.Started >= b.Span || !first && now-f.Age <= b.formerAt {
		return false
	}
	b.former, b.formerAt = f, now-f.Age
	for _, budget := range b.budgets {
		budget.formerRequests, budget.formerRetries = Window{}, Window{}
	}
	for service, h := range f.Services {
		budget := b.budget(service)
		budget.setSpans()
		budget.formerRequests.restore(h.Requests, b.formerAt, now)
		budget.formerRetries.restore(h.Retries, b.formerAt, now)
	}
	return first
}

// Use returns what this entry VM has used, for others to remember, or nil if it does not know
// yet what the process before has used.
func (b *RetryBudgets) Use(now time.Duration) *RetryUse {
	if !b.complete(now) {
		return nil
	}
	use := &RetryUse{Sharers: b.Sharers(now), Services: map[string]RetryHistory{}}
	for service, budget := range b.budgets {
		use.Services[service] = budget.history(now)
	}
	return use
}

// Spent returns the number of retries in the window and their limit, by service.
func (b *RetryBudgets) Spent(now time.Duration) (spent, limit map[string]float64) {
	spent, limit = map[string]float64{}, map[string]float64{}
	for service, budget := range b.budgets {
		spent[service], limit[service] = budget.spent(now), budget.limit(now, b.share(now))
	}
	return spent, limit
}

// complete reports whether the use in the window is known, also that of the process before.
func (b *RetryBudgets) complete(now time.Duration) bool {
	return b.former != nil || now-b.Started >= b.Span
}

// share returns the share of this entry VM.
func (b *RetryBudgets) share(now time.Duration) retryShare {
	s := retryShare{fraction: safetyFactor, sharers: b.Sharers(now)}
	if !b.complete(now) {
		s.fraction = startFraction
	}
	return s
}

// budget returns the budget of a service, created on first use.
func (b *RetryBudgets) budget(service string) *retryBudget {
	budget := b.budgets[service]
	if budget == nil {
		if b.budgets == nil {
			b.budgets = map[string]*retryBudget{}
		}
		budget = &retryBudget{Ratio: b.Ratio, Slack: b.Slack, Span: b.Span}
		b.budgets[service] = budget
	}
	return budget
}
