package chivescout

import (
	"context"
	"errors"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// localTryTimeout and remoteTryTimeout bound one attempt at an order, to a rank
	// on the same VM and on another VM. Ranks answer at once or not at all, so an
	// unanswered attempt is abandoned early and repeated.
	localTryTimeout  = 28 * time.Millisecond
	remoteTryTimeout = 45 * time.Millisecond
	// scoutOrderTimeout bounds all attempts of a scout at one order. Callers wait a
	// little longer than that.
	scoutOrderTimeout = 90 * time.Millisecond
)

// retryUnanswered calls order, with a timeout for each attempt, until an attempt
// does not time out or the context ends. It returns the last result. Repeating is
// safe, because a rank confirms an order that it has already accepted.
func retryUnanswered(ctx context.Context, tryTimeout time.Duration, order func(context.Context) error) error {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		err := order(tryCtx)
		timedOut := tryCtx.Err() != nil
		cancel()
		if err == nil || errors.Is(err, chiverank.ErrConflict) || errors.Is(err, chiverank.ErrFenced) {
			return err
		}
		if ctx.Err() != nil || !timedOut {
			return err
		}
	}
}
