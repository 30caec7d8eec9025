package chiveadmit

import "time"

const (
	// minReturn is the shortest time after which a refused request returns: the reports of
	// what was admitted meanwhile have arrived.
	minReturn = 600 * time.Millisecond
	// minReturnRate is the lowest rate per second at which room is expected.
	minReturnRate = 0.5
	// returnHorizon is the time over which room that is left now is given to those that return.
	returnHorizon = time.Second
	// maxReturnFraction is the part of the time left that a caller is told to wait at most.
	maxReturnFraction = 1.0 / 3
	// lateReturnSpread is the fraction of the longest wait over which requests are spread
	// that would have to wait longer.
	lateReturnSpread = 0.25
)

// returnOrder gives each refused request a place among those that return.
type returnOrder struct {
	// last is when the last place is due.
	last time.Duration
	// phase spreads the requests beyond the longest wait, in [0, 1).
	phase float64
}

// next returns the time until the next place is due, if perSecond places become free per
// second, but at most maxReturnFraction of the time left.
func (o *returnOrder) next(now time.Duration, perSecond float64, timeLeft time.Duration) time.Duration {
	longest := max(0, time.Duration(maxReturnFraction*float64(timeLeft)))
	step := time.Duration(float64(time.Second) / max(minReturnRate, perSecond))
	// Places that were promised while fewer became free are due earlier now.
	o.last = min(o.last, now+longest)
	due := max(o.last, now+minReturn) + step
	if due-now <= longest {
		o.last = due
		return due - now
	}
	if o.phase += goldenRatio; o.phase >= 1 {
		o.phase--
	}
	return time.Duration((1 - lateReturnSpread*o.phase) * float64(longest))
}
