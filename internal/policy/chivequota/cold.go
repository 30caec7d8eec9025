package chivequota

import "time"

// Cold is one entry VM's part of what a cold runner bears. Its zero value has
// sent nothing.
type Cold struct {
	sent Window
}

// Take counts a request to the cold runner where the rate allows it. Entries is
// the number of entry VMs that share the rate. Each may send one a second at
// least, so that every entry VM can serve.
func (c *Cold) Take(now time.Duration, rate float64, entries int) bool {
	c.sent.Span = time.Second
	if c.sent.Sum(now)+1 > max(1, safety*rate/float64(max(1, entries))) {
		return false
	}
	c.sent.Add(now, 1)
	return true
}
