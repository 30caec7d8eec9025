// Package chivelimit implements a limit on the requests that model runners have
// at once, such that the pauses between the events of a stream stay within what
// its route asks.
package chivelimit

import (
	"sort"
	"time"
)

// The figures leave room for what varies between two passes: prompts that are
// read and requests that begin (docs/BENCH.md, model of a group).
const (
	// part is the part of the asked pause that most pauses may take.
	part = 0.85
	// quantile is the part of all pauses that must stay within it.
	quantile = 0.85
	// minSamples is the number of pauses that an interval must have.
	minSamples = 12
	// maxSamples bounds the pauses that are kept.
	maxSamples = 512
	// fall and rise bound the change of the limit in one interval: a part of it,
	// and a number of requests.
	fall = 0.75
	rise = 0.7
	// least is the lowest limit for one runner.
	least = 3
)

// A ConcurrencyLimiter limits the requests at each runner of a service. The time of a pass
// grows with the requests that run, from a floor that no limit can lower; the
// slope depends on the balance of experts and on the prompts that are read, and
// is measured. Its zero value sets no limit.
type ConcurrencyLimiter struct {
	pauses []time.Duration
	limit  float64
}

// AddPause notes the pause between two events of a stream.
func (p *ConcurrencyLimiter) AddPause(pause time.Duration) {
	if len(p.pauses) < maxSamples {
		p.pauses = append(p.pauses, pause)
	}
}

// Limit returns the number of requests that a runner with so many slots may have.
func (p *ConcurrencyLimiter) Limit(slots int) float64 {
	if p.limit == 0 {
		return float64(slots)
	}
	return min(p.limit, float64(slots))
}

// EndInterval ends an interval. Asked is the longest pause for which an answer is on
// time, floor that between two events of a runner with nothing else to do, busy
// the mean number of requests of a runner with so many slots.
func (p *ConcurrencyLimiter) EndInterval(asked, floor time.Duration, busy float64, slots int) {
	defer func() { p.pauses = p.pauses[:0] }()
	now := p.Limit(slots)
	if len(p.pauses) < minSamples || asked <= floor {
		p.limit = min(now+rise, float64(slots))
		return
	}
	sort.Slice(p.pauses, func(i, j int) bool { return p.pauses[i] < p.pauses[j] })
	pause := p.pauses[int(quantile*float64(len(p.pauses)))]
	target := time.Duration(part * float64(asked))
	best := float64(slots)
	if pause > floor && busy > 0 {
		best = busy * float64(target-floor) / float64(pause-floor)
	}
	p.limit = max(least, min(max(best, now*fall), now+rise, float64(slots)))
}
