package chivelimit

import "time"

const (
	// slowStepRatio is the ratio of a step time to the baseline above which the
	// step counts as slow.
	slowStepRatio = 1.8
	// The baseline is an exponential moving average; these are the weights of a
	// sample below and above it. The small weight above keeps a slow rank
	// detectable for several samples, and keeps a single sample, which spans only a
	// few passes, from setting the baseline.
	baselineDecreaseWeight = 0.2
	baselineIncreaseWeight = 0.05
	// meanWeight is the weight of a sample in the recent mean.
	meanWeight = 0.2
)

// StepTimeDetector detects a sudden increase of the time between the forward
// passes of a group. A slow rank increases it at once, whereas rising load
// increases it gradually. The zero value is ready to use.
type StepTimeDetector struct {
	baseline time.Duration
	lastPass int64
	lastTime time.Time
	// stepTime is the step time at the last observation.
	stepTime time.Duration
	// recentTime and recentPasses are the recent time between two observations and the
	// passes that began in it, as moving averages.
	recentTime, recentPasses float64
}

// MeanStepTime returns the recent mean of the step time, or 0 before the second observation
// with a new pass. A single observation spans only a few passes.
func (d *StepTimeDetector) MeanStepTime() time.Duration {
	if d.recentPasses == 0 {
		return 0
	}
	return time.Duration(d.recentTime / d.recentPasses)
}

// StepTime returns the step time at the last observation, or 0 before the second one.
func (d *StepTimeDetector) StepTime() time.Duration {
	return d.stepTime
}

// Observe records the number of the latest forward pass that had begun by now
// and reports whether the step time is well above the baseline. A pass number
// lower than the previous one restarts the measurement but keeps the baseline.
func (d *StepTimeDetector) Observe(now time.Time, pass int64) bool {
	last, at := d.lastPass, d.lastTime
	if at.IsZero() || pass < last {
		d.lastPass, d.lastTime = pass, now
		return false
	}
	// If no pass has begun since, the elapsed time is a lower bound of the
	// duration of the current one.
	stepTime := now.Sub(at) / time.Duration(max(1, pass-last))
	d.stepTime = stepTime
	if pass > last {
		d.recentTime += meanWeight * (float64(now.Sub(at)) - d.recentTime)
		d.recentPasses += meanWeight * (float64(pass-last) - d.recentPasses)
		d.lastPass, d.lastTime = pass, now
	}
	if d.baseline == 0 && pass == last {
		return false
	}
	slow := d.baseline > 0 && float64(stepTime) > slowStepRatio*float64(d.baseline)
	switch {
	case d.baseline == 0:
		d.baseline = stepTime
	case stepTime < d.baseline:
		d.baseline -= time.Duration(baselineDecreaseWeight * float64(d.baseline-stepTime))
	case pass > last:
		d.baseline += time.Duration(baselineIncreaseWeight * float64(stepTime-d.baseline))
	}
	return slow
}
