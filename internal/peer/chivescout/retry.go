package chivescout

import (
	"context"
	"errors"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// localTryTimeout and remoteTryTimeout bound one attempt at an order, to a rank
	// on the same VM and on another VM.
	localTryTimeout  = 28 * time.Millisecond
	remoteTryTimeout = 45 * time.Millisecond
	// localRepeatInterval is the time between two attempts of a scout at an order that is
	// not answered.
	localRepeatInterval = 10 * time.Millisecond
	// scoutOrderTimeout bounds all attempts of a scout at one order. Callers wait a
	// little longer than that.
	scoutOrderTimeout = 90 * time.Millisecond
)

// retryUnanswered calls order, with a timeout for each attempt, until an attempt does
// not time out or the context ends. It returns the first such result. While an attempt
// is not answered, another one is made every repeatInterval: a rank that answers does so
// at once, and all ranks of a group wait for the last one. Repeating is safe, because a
// rank confirms an order that it has already accepted.
//
// repeatInterval must not be shorter than tryTimeout in a process that sends orders to
// many ranks at once, since each attempt has a copy of the order.
func retryUnanswered(ctx context.Context, tryTimeout, repeatInterval time.Duration, order func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		err      error
		timedOut bool
	}
	results := make(chan result, 1)
	attempt := func() {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		defer cancel()
		err := chiveguard.Call("order", func() error { return order(tryCtx) })
		r := result{err: err, timedOut: tryCtx.Err() != nil && err != nil && !errors.Is(err, chiverank.ErrConflict) && !errors.Is(err, chiverank.ErrFenced)}
		select {
		case results <- r:
		case <-ctx.Done():
		}
	}
	go attempt()
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	for {
		select {
		case r := <-results:
			if !r.timedOut {
				return r.err
			}
		case <-repeat.C:
			go attempt()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
