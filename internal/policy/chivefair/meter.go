package chivefair

import (
	"math"
	"time"
)

// DecayTime is the time over which service is remembered.
const DecayTime = 5 * time.Second

// A Meter measures the recent service of a workspace, in cost a second. Service
// is forgotten exponentially over Memory. Its zero value has seen none. It is
// not safe for concurrent use.
type Meter struct {
	level float64
	at    time.Time
}

// Add counts service, or takes some back where the cost is negative.
func (m *Meter) Add(now time.Time, cost float64) {
	m.level = max(0, m.Rate(now)+cost/DecayTime.Seconds())
	m.at = now
}

// Rate returns the recent service.
func (m *Meter) Rate(now time.Time) float64 {
	return decay(m.level, now.Sub(m.at))
}

// decay returns what is left of a level after a time.
func decay(level float64, age time.Duration) float64 {
	if level == 0 || age <= 0 {
		return level
	}
	return level * math.Exp(-age.Seconds()/DecayTime.Seconds())
}
