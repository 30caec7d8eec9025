// Package chivetime implements the timeline. Each process keeps its own events, and
// a hybrid logical clock orders the events of all processes.
package chivetime

import (
	"sync"
	"time"
)

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	// Wall is the wall-clock time in Unix nanoseconds.
	Wall int64 `cbor:"wall" json:"wall"`
	// Count orders events with the same wall-clock time.
	Count uint32 `cbor:"count" json:"count"`
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Timestamp) Compare(o Timestamp) int {
	switch {
	case s.Wall < o.Wall, s.Wall == o.Wall && s.Count < o.Count:
		return -1
	case s == o:
		return 0
	}
	return 1
}

// maxClockAhead is the largest difference between a remote timestamp and the local
// wall clock for which the remote timestamp is used.
const maxClockAhead = time.Minute

// Clock is a hybrid logical clock. Its zero value is ready to use. It is safe for
// concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a timestamp after all that the clock has returned or observed.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	return c.last
}

// Observe moves the clock past a timestamp of another process. It ignores timestamps
// that are more than maxClockAhead ahead of the wall clock, so that one wrong clock
// does not move those of all processes.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > time.Now().Add(maxClockAhead).UnixNano() {
		return
	}
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}
