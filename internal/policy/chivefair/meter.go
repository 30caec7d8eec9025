package chivefair

import (
	"math"
	"time"
)

// DecayTime is the time constant with which past service decays.
const DecayTime = 5 * time.Second

// Meter measures the recent rate of service of a workspace, in cost per
// second, as an average that decays exponentially with DecayTime. The zero value
// is ready to use. It is not safe for concurrent use.
type Meter struct {
	rate float64
	at   time.Time
}

// Add adds service of the given cost. A negative cost takes service back; the
// rate does not fall below 0.
func (m *Meter) Add(now time.Time, cost float64) {
	m.rate = max(0, m.Rate(now)+cost/DecayTime.Seconds())
	m.at = now
}

// Rate returns the recent rate of service in cost per second.
func (m *Meter) Rate(now time.Time) float64 {
	return decay(m.rate, now.Sub(m.at))
}

// decay returns what remains of a value after the given time.
func decay(value float64, age time.Duration) float64 {
	if value == 0 || age <= 0 {
		return value
	}
	return value * math.Exp(-age.Seconds()/DecayTime.Seconds())
}
