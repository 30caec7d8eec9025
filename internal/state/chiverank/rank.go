// Package chiverank implements the change of a group's expert map on ranks that
// switch by themselves as a given pass begins.
package chiverank

import (
	"context"
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("ranks")

// A Member is a rank of a group.
type Member struct {
	// ID and Address are those of the rank's runner.
	ID      string
	Address string
	Rank    int
}

// An Op is what an order asks of a rank.
type Op uint8

// The orders.
const (
	// Prepare copies the experts of a map that the rank lacks.
	Prepare Op = iota
	// Arm makes the rank switch to a prepared map as a pass begins.
	Arm
	// Disarm takes that back.
	Disarm
	// Hold keeps the whole group from beginning a pass until it is let go.
	Hold
	// Go lets the group begin the pass at which it is held.
	Go
)

var opNames = [...]string{Prepare: "prepare", Arm: "arm", Disarm: "disarm", Hold: "hold", Go: "go"}

// String returns the name of the order in logs.
func (o Op) String() string {
	return opNames[o]
}

// An Order is one order to a rank. A rank refuses orders with a token below the
// highest that it has seen, and those for another epoch of its group.
type Order struct {
	Op    Op
	Token int64
	Epoch int64
	// Version names the map of Prepare, Arm and Disarm.
	Version int64
	// Pass is that of Arm, Hold and Go.
	Pass int64
	// Map holds the experts of each rank by layer: Map[layer][rank].
	Map [][][]int
}

// ErrConflict is returned for an order that does not fit the rank's state.
var ErrConflict = errors.New("order does not fit the rank's state")

// ErrFenced is returned for an order with a token that is too low.
var ErrFenced = errors.New("order is fenced off")

// A Report is the state of a rank, some hundred milliseconds old.
type Report struct {
	// Epoch counts the formations of the group.
	Epoch int64
	Rank  int
	// Open groups carry out passes.
	Open bool
	// Pass is the last that was begun.
	Pass int64
	// Map is the version in use, Prepared one that is ready, Armed one that is
	// armed; 0 where there is none.
	Map, Prepared, Armed int64
	// Pace is over 1 for a rank that is slower than usual.
	Pace float64
	// Held is the pass at which this rank holds the group, -1 for none.
	Held int64
}

// Ranks carries orders to ranks and reads their state.
type Ranks interface {
	// Order returns nil where the order holds or has begun. Its error wraps
	// ErrConflict or ErrFenced; after any other the order may be carried out
	// later.
	Order(ctx context.Context, m Member, o Order) error
	// Report returns the state of a rank.
	Report(ctx context.Context, m Member) (Report, error)
}

// A Lease tells whether its holder may still act.
type Lease interface {
	// Held returns the fencing token and whether the lease is held now.
	Held() (uint64, bool)
}

// ExpertCounts is how often the requests of a rank chose each expert.
type ExpertCounts struct {
	Epoch int64
	// Chosen holds the counts since the rank started, layer by layer.
	Chosen []int64
}

// HeldExperts is what a rank holds.
type HeldExperts struct {
	Epoch   int64
	Version int64
	// Experts holds those of the rank, by layer.
	Experts [][]int
}

// An Engine reads ranks and gives them orders.
type Engine interface {
	Ranks
	// Counts returns how often a rank's requests chose each expert.
	Counts(ctx context.Context, m Member) (ExpertCounts, error)
	// Experts returns the experts that a rank holds.
	Experts(ctx context.Context, m Member) (HeldExperts, error)
}
