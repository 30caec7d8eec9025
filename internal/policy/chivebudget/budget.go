// Package chivebudget decides how much memory a process may hold for its callers, whether
// another request fits, and which slow callers are cut when the memory is spent.
package chivebudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// processSize is what a process needs for itself, in bytes.
	processSize = 32 << 20
	// heapDivisor is the part of the remaining memory that callers may have: the heap grows
	// to twice what is in use before it is collected, and sockets have buffers.
	heapDivisor = 3
	// minDivisor is the part of a small memory that callers have at least.
	minDivisor = 8
	// Requests are admitted while at most admitNumerator of admitDenominator parts are
	// held, so that the answers to those that were admitted have room.
	admitNumerator, admitDenominator = 3, 4
	// maxPerCaller bounds what is read ahead for one caller, in bytes, and callerDivisor
	// bounds it as a part of the budget.
	maxPerCaller  = 1 << 20
	callerDivisor = 8
	// slowDivisor is the part of the budget that slow callers may have together.
	slowDivisor = 2
)

// Budget is the memory that a process may hold for its callers. The zero value sets no limit.
type Budget struct {
	// Total is the number of bytes for all callers together, 0 if it is not limited.
	Total int64
}

// ForMemory returns the budget of a process that may use memory bytes, or no limit if memory
// is 0.
func ForMemory(memory int64) Budget {
	if memory <= 0 {
		return Budget{}
	}
	return Budget{Total: max((memory-processSize)/heapDivisor, memory/minDivisor)}
}

// Limited reports whether there is a limit.
func (b Budget) Limited() bool {
	return b.Total > 0
}

// Admits reports whether a request that needs more bytes fits while held bytes are in use.
func (b Budget) Admits(held, more int64) bool {
	return !b.Limited() || held+more <= b.Total/admitDenominator*admitNumerator
}

// SlowShare returns how many bytes slow callers may have together, so that requests of others
// are admitted beside them.
func (b Budget) SlowShare() int64 {
	return b.Total / slowDivisor
}

// Excess returns by how many bytes held bytes, of which slow bytes are held for slow callers,
// exceed the budget. Cutting slow callers frees both.
func (b Budget) Excess(held, slow int64) int64 {
	if !b.Limited() {
		return 0
	}
	return max(0, held-b.Total, slow-b.SlowShare())
}

// PerCaller returns how many bytes may be read ahead for one caller.
func (b Budget) PerCaller() int64 {
	return min(maxPerCaller, b.Total/callerDivisor)
}

// SlowCaller is a caller that does not read what is held for it.
type SlowCaller struct {
	// Held is the number of bytes that are held for it.
	Held int64
	// Idle is how long it has read nothing.
	Idle time.Duration
}

// weight is the product of the bytes that the caller holds up and of the time. A caller that
// has just read weighs little, and so does one for which little is held.
func (c SlowCaller) weight() float64 {
	return float64(c.Held) * c.Idle.Seconds()
}

// Cut returns the indexes of the callers to cut so that excess bytes become free, as far as
// they suffice, the first to cut first.
func Cut(callers []SlowCaller, excess int64) []int {
	order := make([]int, len(callers))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(i, k int) int { return cmp.Compare(callers[k].weight(), callers[i].weight()) })
	for n, i := range order {
		if excess <= 0 {
			return order[:n]
		}
		excess -= callers[i].Held
	}
	return order
}
