package chivemap

import (
	"testing"
	"time"
)

// TestThresholdsFor checks that a map must fit better the closer passes come to the longest
// pause, and that unknown durations ask for no more than before.
func TestThresholdsFor(t *testing.T) {
	const maxPause = 120 * time.Millisecond
	tests := []struct {
		give               string
		passTime, maxPause time.Duration
		want               Thresholds
	}{
		{"no load", 30 * time.Millisecond, maxPause, relaxedThresholds},
		{"passes break pauses", 2 * maxPause, maxPause, tightThresholds},
		{"unknown pass", 0, maxPause, relaxedThresholds},
		{"unknown pause", 100 * time.Millisecond, 0, relaxedThresholds},
		{"negative pass", -time.Second, maxPause, relaxedThresholds},
	}
	for _, tt := range tests {
		if got := ThresholdsFor(tt.passTime, tt.maxPause); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.give, got, tt.want)
		}
	}
	last := relaxedThresholds
	for pass := time.Duration(0); pass < 2*maxPause; pass += time.Millisecond {
		got := ThresholdsFor(pass, maxPause)
		if got.Tolerance > last.Tolerance || got.MinGain > last.MinGain || got.MinGain <= 0 {
			t.Fatalf("passes of %v: %+v after %+v", pass, got, last)
		}
		last = got
	}
}
