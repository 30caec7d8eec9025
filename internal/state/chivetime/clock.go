// Package chivetime implements the time line: events of one process, ordered
// over all processes by a hybrid logical clock.
package chivetime

import (
	"sync"
	"time"
)

// A Timestamp is a reading of a hybrid logical clock: wall-clock nanoseconds and a
// counter that orders events of the same nanosecond.
type Timestamp struct {
	Wall  int64  `cbor:"wall" json:"wall"`
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

// maxAhead is the most that a remote clock may move the local one.
const maxAhead = time.Minute

// A Clock is a hybrid logical clock. Its zero value is ready.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a stamp after every stamp that the clock gave or saw.
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

// Observe moves the clock past a stamp of another process. A stamp that is more
// than a minute ahead is not believed.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Wall > time.Now().Add(maxAhead).UnixNano() {
		return
	}
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}
