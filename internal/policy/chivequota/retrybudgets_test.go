package chivequota

import (
	"fmt"
	"testing"
	"time"
)

// TestSlackOfEntriesThatLeave guards against repeats beyond the budget of all entry VMs (BUDGET)
// while entry VMs stop: those that were left divided the slack by their own number, although
// the others had used their shares in the same window. The twin in which none leaves uses as
// much.
func TestSlackOfEntriesThatLeave(t *testing.T) {
	const entries, slack, span = 35, 208.0, 10 * time.Second
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("e%02d", i))
	}
	for _, leave := range []bool{false, true} {
		budgets := make([]RetryBudgets, entries)
		for i := range budgets {
			budgets[i] = RetryBudgets{Ratio: 0.2, Slack: slack, Span: span}
			budgets[i].SetEntries(names, 0)
		}
		sent := 0.0
		for i := range entries {
			now := time.Duration(i) * 200 * time.Millisecond
			left := names
			if leave {
				left = names[i:]
			}
			for k := i; k < entries; k++ {
				budgets[k].SetEntries(left, now)
				for budgets[k].AllowRetry("s", now) {
					sent++
				}
			}
		}
		if sent > slack || sent < slack/2 {
			t.Errorf("entry VMs leave %t: %v retries, want %v at most and half of it at least", leave, sent, slack)
		}
	}
}
