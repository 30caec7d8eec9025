package chivelimit

import (
	"testing"
	"time"
)

// TestGait tells a rank that turns slow from a load that rises.
func TestGait(t *testing.T) {
	const look = 150 * time.Millisecond
	tests := []struct {
		give string
		// each returns the time of a pass at a moment after the start.
		each func(at time.Duration) time.Duration
		slow bool
	}{
		{"steady", func(time.Duration) time.Duration { return 30 * time.Millisecond }, false},
		{"load that doubles within 30 s", func(at time.Duration) time.Duration { return 30*time.Millisecond + at/1000 }, false},
		{"a rank that turns slow", func(at time.Duration) time.Duration {
			if at > 10*time.Second {
				return 120 * time.Millisecond
			}
			return 30 * time.Millisecond
		}, true},
		{"a rank that stands still", func(at time.Duration) time.Duration {
			if at > 10*time.Second {
				return time.Hour
			}
			return 30 * time.Millisecond
		}, true},
	}
	for _, tt := range tests {
		var g StepTimeDetector
		start := time.Unix(0, 0)
		found := time.Duration(0)
		passes := 0.0
		for at := time.Duration(0); at < 30*time.Second; at += look {
			passes += float64(look) / float64(tt.each(at))
			if g.Observe(start.Add(at), int64(passes)) && found == 0 {
				found = at
			}
		}
		if tt.slow != (found > 0) {
			t.Errorf("%s: found slow after %v", tt.give, found)
		}
		// Two looks more than that which falls within the first slow pass.
		if tt.slow && (found < 10*time.Second || found > 10*time.Second+3*look) {
			t.Errorf("%s: found slow after %v", tt.give, found)
		}
	}
}
