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

// TestPostpone checks which changes wait until their copies break no pauses.
func TestPostpone(t *testing.T) {
	const maxPause = 120 * time.Millisecond
	tests := []struct {
		give     string
		passTime time.Duration
		gain     float64
		want     bool
	}{
		{"headroom for copies", 90 * time.Millisecond, 0.1, false},
		{"copies break pauses", 110 * time.Millisecond, 0.1, true},
		{"copies break pauses, but the map fits badly", 110 * time.Millisecond, 0.5, false},
		{"pauses are broken already", 130 * time.Millisecond, 0.1, false},
		{"unknown pass", 0, 0.1, false},
	}
	for _, tt := range tests {
		if got := Postpone(tt.passTime, maxPause, tt.gain); got != tt.want {
			t.Errorf("%s: postponed is %v, want %v", tt.give, got, tt.want)
		}
	}
	if Postpone(time.Second, 0, 0.1) {
		t.Error("a change is postponed though no pause target is known")
	}
}
