package chivefleet

import "github.com/chiveyoke/chiveyoke/internal/state/chiveclock"

// A Runner is one incarnation of an endpoint.
type Runner struct {
	// ID names the endpoint; it may be the same after a restart.
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving runners take no new requests.
	Leaving bool
	// ColdUntil is the moment until which the runner is cold.
	ColdUntil chiveclock.Moment
	// StartedAtMillis is the Unix millisecond of the runner's start, 0 where it is unknown.
	StartedAtMillis int64
	// Membership is the runner's place in a group of ranks, nil where it has none.
	Membership *GroupMembership
}

// A GroupMembership is the place of a runner in a group of ranks.
type GroupMembership struct {
	Group string
	// Epoch counts the formations of the group.
	Epoch int64
	Rank  int
	// Size is the number of ranks of the group.
	Size int
	// Open groups carry out passes.
	Open bool
}

// Incarnation identifies one start of a runner.
type Incarnation struct {
	ID              string
	StartedAtMillis int64
}

// Incarnation returns the identity of this start of the runner.
func (r *Runner) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartedAtMillis: r.StartedAtMillis}
}
