package chiverow

import (
	"context"
	"errors"
)

// ErrReplyLost is returned by a FaultyTable for a request without a reply.
var ErrReplyLost = errors.New("reply was lost")

// Outcome determines what a FaultyTable does with a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeOK carries out the request and replies.
	OutcomeOK Outcome = iota
	// OutcomeNotApplied returns an error without carrying out the request.
	OutcomeNotApplied
	// OutcomeReplyLost carries out the request but returns an error.
	OutcomeReplyLost
	// OutcomeDelayed returns an error and carries out a write at the next request.
	OutcomeDelayed
)

// FaultyTable is a Table for tests that injects faults into the requests to
// another Table.
type FaultyTable struct {
	Table
	// NextOutcome is called for each request and returns its outcome.
	NextOutcome func() Outcome

	delayed *Row
}

// Get implements Table.Get.
func (f *FaultyTable) Get(ctx context.Context, key string) (Row, error) {
	f.applyDelayed(ctx)
	if f.NextOutcome() != OutcomeOK {
		return Row{}, ErrReplyLost
	}
	return f.Table.Get(ctx, key)
}

// Version implements Table.Version.
func (f *FaultyTable) Version(ctx context.Context, key string) (uint64, error) {
	f.applyDelayed(ctx)
	if f.NextOutcome() != OutcomeOK {
		return 0, ErrReplyLost
	}
	return f.Table.Version(ctx, key)
}

// Put implements Table.Put.
func (f *FaultyTable) Put(ctx context.Context, row Row) error {
	f.applyDelayed(ctx)
	switch f.NextOutcome() {
	case OutcomeNotApplied:
		return ErrReplyLost
	case OutcomeReplyLost:
		_ = f.Table.Put(ctx, row)
		return ErrReplyLost
	case OutcomeDelayed:
		f.delayed = &row
		return ErrReplyLost
	}
	return f.Table.Put(ctx, row)
}

// applyDelayed applies the delayed write, if any.
func (f *FaultyTable) applyDelayed(ctx context.Context) {
	if f.delayed == nil {
		return
	}
	row := *f.delayed
	f.delayed = nil
	_ = f.Table.Put(ctx, row)
}
