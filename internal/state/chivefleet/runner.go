package chivefleet

import "github.com/chiveyoke/chiveyoke/internal/state/chiveclock"

// Runner is one incarnation of an endpoint.
type Runner struct {
	// ID names the endpoint. It may stay the same across restarts.
	ID      string
	Service string
	Address string
	Zone    string
	// Slots is the number of requests that the runner processes at once.
	Slots int
	// Leaving runners take no new requests.
	Leaving bool
	// ColdUntil is when the slow start of the runner ends.
	ColdUntil chiveclock.Moment
	// StartedAtMillis is the start time of the runner in Unix milliseconds, 0 if
	// unknown.
	StartedAtMillis int64
	// Membership is nil if the runner belongs to no group.
	Membership *GroupMembership
}

// GroupMembership is the membership of a runner in a group of ranks.
type GroupMembership struct {
	Group string
	// Epoch counts how often the group was formed.
	Epoch int64
	Rank  int
	// Size is the number of ranks of the group.
	Size int
	// Open reports whether the group runs forward passes.
	Open bool
}

// Incarnation identifies one run of an endpoint between two restarts.
type Incarnation struct {
	ID              string
	StartedAtMillis int64
}

// Incarnation returns the ID and the start time of the runner.
func (r *Runner) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, StartedAtMillis: r.StartedAtMillis}
}
