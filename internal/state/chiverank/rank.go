// Package chiverank changes the expert map of a group of ranks. Every rank
// switches to the new map by itself at the start of a given forward pass.
package chiverank

import (
	"context"
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("ranks")

// Member identifies one rank of a group and its runner.
type Member struct {
	// ID and Address identify the runner that carries the rank.
	ID      string
	Address string
	Rank    int
}

// Op is the operation that an order asks a rank to carry out. Its values are
// sent on the wire and must not be reordered.
type Op uint8

// The operations of an order.
const (
	// Prepare copies the experts that the rank needs for a map and lacks.
	Prepare Op = iota
	// Arm makes the rank switch to a prepared map at the start of a pass.
	Arm
	// Disarm cancels an Arm whose pass has not begun.
	Disarm
	// Hold stops the whole group before a pass until Go is received.
	Hold
	// Go releases a held group into the pass before which it was stopped.
	Go
)

var opNames = [...]string{Prepare: "prepare", Arm: "arm", Disarm: "disarm", Hold: "hold", Go: "go"}

// String returns the name of the operation, as used in logs.
func (o Op) String() string {
	if int(o) >= len(opNames) {
		return "unknown"
	}
	return opNames[o]
}

// Order is an order to one rank. A rank refuses an order whose token is lower
// than the highest it has seen, or whose epoch is not that of its group.
type Order struct {
	Op    Op
	Token int64
	Epoch int64
	// Version identifies the map of Prepare, Arm and Disarm.
	Version int64
	// Pass is the number of the pass for Arm, Hold and Go.
	Pass int64
	// Map lists the experts per layer and rank, Map[layer][rank]; only Prepare
	// uses it.
	Map [][][]int
}

// ErrConflict is returned for an order that does not fit the rank's state.
var ErrConflict = errors.New("order does not fit the rank's state")

// ErrFenced is returned for an order whose fencing token is lower than one that the
// rank has already seen.
var ErrFenced = errors.New("order is fenced off")

// Report is the state of a rank. It may be some hundred milliseconds old.
type Report struct {
	// Epoch increases each time the group is formed anew.
	Epoch int64
	Rank  int
	// Open reports whether the group runs forward passes.
	Open bool
	// Pass is the number of the last pass that has begun.
	Pass int64
	// Map, Prepared and Armed are the versions of the map in use, the prepared
	// map and the armed map; 0 means none.
	Map, Prepared, Armed int64
	// Pace is the relative step time of the rank: 1 is normal, above 1 is slower.
	Pace float64
	// Held is the pass before which this rank holds the group, or -1 for none.
	Held int64
}

// Ranks sends orders to ranks and reads their state.
type Ranks interface {
	// Order returns nil once the rank has accepted the order or had already
	// accepted it. The error wraps ErrConflict or ErrFenced if the rank refused;
	// after any other error the rank may still carry out the order later.
	Order(ctx context.Context, m Member, o Order) error
	// Report returns the state of a rank.
	Report(ctx context.Context, m Member) (Report, error)
}

// Lease tells its holder whether it may still act.
type Lease interface {
	// Held returns the fencing token and whether the lease is held now.
	Held() (uint64, bool)
	// Supersede records that a rank has a map of a later holder, and its token.
	Supersede(fence uint64)
}

// ExpertCounts holds how often the requests of a rank have chosen each expert.
type ExpertCounts struct {
	Epoch int64
	// Chosen holds the counts since the rank started, layer by layer.
	Chosen []int64
}

// HeldExperts holds the experts in the memory of a rank.
type HeldExperts struct {
	Epoch int64
	// Version is the version of the map in use.
	Version int64
	// Experts lists the experts of the rank per layer.
	Experts [][]int
}

// Engine sends orders to ranks and reads their state, expert counts and experts.
type Engine interface {
	Ranks
	// Counts returns how often the requests of a rank have chosen each expert.
	Counts(ctx context.Context, m Member) (ExpertCounts, error)
	// Experts returns the experts that a rank holds.
	Experts(ctx context.Context, m Member) (HeldExperts, error)
}
