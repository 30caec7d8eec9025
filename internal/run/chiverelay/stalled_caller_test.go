package chiverelay

import (
	"testing"
	"time"
)

// TestCallerThatNeverReads checks that a caller which reads nothing is cut callerStallTime after
// the deadline of its request, not before, that its response does not look complete, and that
// its memory is given back.
func TestCallerThatNeverReads(t *testing.T) {
	for _, path := range []string{"/stream/x", "/any/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s, _ := newSlowCluster(t, 77, 136e6, 1)
			c := s.callSlowly(t, path, "never", time.Second)
			time.Sleep(callerStallTime - time.Second)
			if n := s.relay.Memory.Counts(); n.Held == 0 || n.Slow != 1 {
				t.Errorf("cut before its time: %+v", n)
			}
			if !waitFor(func() bool { return s.relay.Memory.Counts() == MemoryCounts{} }) {
				t.Errorf("memory is held: %+v", s.relay.Memory.Counts())
			}
			if g := c.read(); g.complete {
				t.Errorf("%d bytes look complete", len(g.body))
			}
		})
	}
}
