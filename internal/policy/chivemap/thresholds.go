package chivemap

import "time"

// Thresholds tells how far a map may stay behind the demand before it is changed.
type Thresholds struct {
	// Tolerance is how far the most loaded rank may stay above the lower bound of its load,
	// as a fraction of that bound.
	Tolerance float64
	// MinGain is the least fraction of the step time that a change must save.
	MinGain float64
}

// Passes that take less than relaxedFraction of the longest pause that callers accept need
// no better map; from tightFraction on, each rise of the load breaks pauses.
const (
	relaxedFraction = 0.5
	tightFraction   = 0.7
)

var (
	// relaxedThresholds save copies of experts, which lengthen passes while they last.
	relaxedThresholds = Thresholds{Tolerance: 0.25, MinGain: 0.15}
	tightThresholds   = Thresholds{Tolerance: 0.12, MinGain: 0.07}
)

// ThresholdsFor returns the thresholds for a group whose passes take passTime while its
// callers accept pauses of up to maxPause. The less headroom is left, the better a map must
// fit. The thresholds are relaxed if one of the two is not known, that is, 0.
func ThresholdsFor(passTime, maxPause time.Duration) Thresholds {
	if passTime <= 0 || maxPause <= 0 {
		return relaxedThresholds
	}
	used := float64(passTime) / float64(maxPause)
	weight := max(0, min(1, (used-relaxedFraction)/(tightFraction-relaxedFraction)))
	mix := func(relaxed, tight float64) float64 { return relaxed + weight*(tight-relaxed) }
	return Thresholds{
		Tolerance: mix(relaxedThresholds.Tolerance, tightThresholds.Tolerance),
		MinGain:   mix(relaxedThresholds.MinGain, tightThresholds.MinGain),
	}
}

const (
	// copySlowdown is the relative increase of the duration of passes while ranks copy
	// experts.
	copySlowdown = 0.15
	// urgentGain is the gain from which a change is made though its copies break pauses once:
	// a map that fits so badly soon breaks them for longer.
	urgentGain = 0.3
)

// Postpone reports whether a change that saves the fraction gain of the step time should wait:
// passes of passTime keep pauses below maxPause, and would not while experts are copied. Each
// stream that runs would be late.
func Postpone(passTime, maxPause time.Duration, gain float64) bool {
	slowed := time.Duration((1 + copySlowdown) * float64(passTime))
	return gain < urgentGain && passTime < maxPause && slowed >= maxPause
}
