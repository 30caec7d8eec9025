package chivelimit

import (
	"testing"
	"time"
)

// TestStepTimeDetector checks that a rank that becomes slow or stops is detected
// within a few samples, and that gradually rising load is not reported as slow.
func TestStepTimeDetector(t *testing.T) {
	const sampleInterval = 150 * time.Millisecond
	tests := []struct {
		give string
		// stepTime returns the step time at a time since the start.
		stepTime func(at time.Duration) time.Duration
		slow     bool
	}{
		{"steady", func(time.Duration) time.Duration { return 30 * time.Millisecond }, false},
		{"load that doubles within 30 s", func(at time.Duration) time.Duration { return 30*time.Millisecond + at/1000 }, false},
		{"a rank that becomes slow", func(at time.Duration) time.Duration {
			if at > 10*time.Second {
				return 120 * time.Millisecond
			}
			return 30 * time.Millisecond
		}, true},
		{"a rank that stops", func(at time.Duration) time.Duration {
			if at > 10*time.Second {
				return time.Hour
			}
			return 30 * time.Millisecond
		}, true},
	}
	for _, tt := range tests {
		var d StepTimeDetector
		start := time.Unix(0, 0)
		detected := time.Duration(0)
		passes := 0.0
		for at := time.Duration(0); at < 30*time.Second; at += sampleInterval {
			passes += float64(sampleInterval) / float64(tt.stepTime(at))
			if d.Observe(start.Add(at), int64(passes)) && detected == 0 {
				detected = at
			}
		}
		if tt.slow != (detected > 0) {
			t.Errorf("%s: first reported slow after %v (0 means never)", tt.give, detected)
		}
		// The first slow pass may span one sample; two more are allowed.
		if tt.slow && (detected < 10*time.Second || detected > 10*time.Second+3*sampleInterval) {
			t.Errorf("%s: first reported slow after %v, want within 3 samples after 10s", tt.give, detected)
		}
	}
}

// TestMeanStepTime checks that the mean is near the true step time, though each sample spans
// one pass or two, and that it follows a rise of the load within two seconds.
func TestMeanStepTime(t *testing.T) {
	const sampleInterval = 170 * time.Millisecond
	var d StepTimeDetector
	if got := d.MeanStepTime(); got != 0 {
		t.Errorf("before any observation: %v, want 0", got)
	}
	start, passes := time.Unix(0, 0), 0.0
	for at := time.Duration(0); at < 20*time.Second; at += sampleInterval {
		stepTime := 70 * time.Millisecond
		if at > 10*time.Second {
			stepTime = 110 * time.Millisecond
		}
		passes += float64(sampleInterval) / float64(stepTime)
		d.Observe(start.Add(at), int64(passes))
		settled := at > 3*time.Second && at < 10*time.Second || at > 12*time.Second
		if got := d.MeanStepTime(); settled && (got < stepTime*8/10 || got > stepTime*12/10) {
			t.Fatalf("at %v: mean step time is %v, want %v", at, got, stepTime)
		}
	}
}
