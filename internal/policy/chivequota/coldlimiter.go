package chivequota

import "time"

// ColdLimiter limits the rate at which one entry VM sends requests to a cold
// runner. The zero value is ready to use.
type ColdLimiter struct {
	sent Window
}

// Allow reports whether a request may be sent to the cold runner, and counts it if
// so. rate is the number of requests per second that the runner supports from all
// entry VMs, entries the number of entry VMs, and index the position of this one
// among them, from 0. All entry VMs must use the same order, and the order should
// differ between runners, so that their first requests come from different entry
// VMs. If an equal share of the rate is less than minRequestRate, only the first
// entry VMs in the order send requests, and at least one does.
func (l *ColdLimiter) Allow(now time.Duration, rate float64, entries, index int) bool {
	l.sent.Span = time.Second
	total := safetyFactor * rate
	share := total / float64(max(1, entries))
	if share < minRequestRate {
		share = minRequestRate
		if float64(index+1)*share > total && index > 0 {
			return false
		}
	}
	if l.sent.Sum(now)+1 > share {
		return false
	}
	l.sent.Add(now, 1)
	return true
}

// minRequestRate is the least rate that an entry VM is allowed if it may send
// requests to the cold runner at all, in requests per second.
const minRequestRate = 2
