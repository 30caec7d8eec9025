package chiverow

import (
	"context"
	"errors"
)

// ErrReplyLost is returned by a Flaky table for an answer that was lost.
var ErrReplyLost = errors.New("answer was lost")

// An Outcome is what a Flaky table does with a request.
type Outcome uint8

// The outcomes.
const (
	// OutcomeOK answers.
	OutcomeOK Outcome = iota
	// OutcomeNotApplied has no effect and answers with an error.
	OutcomeNotApplied
	// OutcomeReplyLost takes effect and answers with an error.
	OutcomeReplyLost
	// OutcomeDelayed answers with an error and takes effect at the next request.
	OutcomeDelayed
)

// FaultyTable is a Table for tests whose requests fail as it is told.
type FaultyTable struct {
	Table
	// NextOutcome decides on each request.
	NextOutcome func() Outcome

	late *Row
}

// Get implements Table.Get.
func (f *FaultyTable) Get(ctx context.Context, key string) (Row, error) {
	f.deliver(ctx)
	if f.NextOutcome() != OutcomeOK {
		return Row{}, ErrReplyLost
	}
	return f.Table.Get(ctx, key)
}

// Version implements Table.Version.
func (f *FaultyTable) Version(ctx context.Context, key string) (uint64, error) {
	f.deliver(ctx)
	if f.NextOutcome() != OutcomeOK {
		return 0, ErrReplyLost
	}
	return f.Table.Version(ctx, key)
}

// Put implements Table.Put.
func (f *FaultyTable) Put(ctx context.Context, row Row) error {
	f.deliver(ctx)
	switch f.NextOutcome() {
	case OutcomeNotApplied:
		return ErrReplyLost
	case OutcomeReplyLost:
		_ = f.Table.Put(ctx, row)
		return ErrReplyLost
	case OutcomeDelayed:
		f.late = &row
		return ErrReplyLost
	}
	return f.Table.Put(ctx, row)
}

// deliver lets a late write take effect.
func (f *FaultyTable) deliver(ctx context.Context) {
	if f.late == nil {
		return
	}
	row := *f.late
	f.late = nil
	_ = f.Table.Put(ctx, row)
}
