package chivequota

import "time"

// ColdLimiter is one entry VM's part of what a cold runner bears. Its zero value has
// sent nothing.
type ColdLimiter struct {
	sent Window
}

// Allow counts a request to the cold runner where the rate allows it. Entries is
// the number of entry VMs that share the rate, and place that of this one among
// them, from 0, in an order that all know and that differs from runner to runner.
// Where a fair part would be less than a request a second, only the first entry
// VMs send any.
func (c *ColdLimiter) Allow(now time.Duration, rate float64, entries, place int) bool {
	c.sent.Span = time.Second
	allowed := safety * rate
	each := allowed / float64(max(1, entries))
	if each < leastEach {
		each = leastEach
		if float64(place+1)*each > allowed && place > 0 {
			return false
		}
	}
	if c.sent.Sum(now)+1 > each {
		return false
	}
	c.sent.Add(now, 1)
	return true
}

// leastEach is the least number of requests a second that an entry VM sends to a
// cold runner, where it sends any.
const leastEach = 2
