package chivebudget

import (
	"cmp"
	"slices"
)

const (
	// connDivisor is the part of Budget.Total that connections without an admitted request may
	// have in addition to it.
	connDivisor = 3
	// roomDivisor is the part of a limit that becomes free when it was exceeded.
	roomDivisor = 16
	// minSpent keeps one that has used much in a short time from weighing nothing.
	minSpent = 1.0 / 16
)

// Connections returns how many bytes connections that carry no admitted request may have together,
// beside Total: buffers, and heads that are being read. It is 0 if there is no limit.
func (b Budget) Connections() int64 {
	return b.Total / connDivisor
}

// Share is what the connections of a door, a port of the process, use of something limited.
type Share struct {
	// Used is the amount in use, Weight the weight of the door when the limit is divided.
	Used, Weight int64
}

// guaranteed returns the amount of a limit that each door may use whatever the others do.
func guaranteed(limit int64, shares []Share) []int64 {
	var sum int64
	for _, s := range shares {
		sum += s.Weight
	}
	list := make([]int64, len(shares))
	for i, s := range shares {
		list[i] = limit / max(1, sum) * s.Weight
	}
	return list
}

// Candidate is a connection that may be closed.
type Candidate struct {
	// Door is the index of its door.
	Door int
	// Used is what closing it frees.
	Used int64
	// Spent is the part of the time for its present step, such as reading a head, that has passed.
	Spent float64
}

// weight is the product of what closing the connection frees and of the time that it has had. A
// connection that has just begun weighs little, as does one that has used little.
func (c Candidate) weight() float64 {
	return float64(c.Used) * (minSpent + c.Spent)
}

// CloseFirst returns the indexes of the connections to close so that the shares fit the limit, as far
// as that is possible; then some room is left, so that not every further byte closes one. It closes
// only at doors that use more than is guaranteed to them, so that a crowd at one door leaves room at
// the others.
func CloseFirst(candidates []Candidate, shares []Share, limit int64) []int {
	var sum int64
	for _, s := range shares {
		sum += s.Used
	}
	if sum <= limit {
		return nil
	}
	excess := sum - (limit - limit/roomDivisor)
	over := guaranteed(limit, shares)
	for i, s := range shares {
		over[i] = s.Used - over[i]
	}
	order := make([]int, 0, len(candidates))
	for i, c := range candidates {
		if over[c.Door] > 0 && c.Used > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, k int) int { return cmp.Compare(candidates[k].weight(), candidates[i].weight()) })
	var list []int
	for _, i := range order {
		if excess <= 0 {
			break
		}
		c := candidates[i]
		if over[c.Door] <= 0 {
			continue
		}
		over[c.Door] -= c.Used
		excess -= c.Used
		list = append(list, i)
	}
	return list
}
