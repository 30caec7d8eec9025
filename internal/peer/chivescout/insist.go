package chivescout

import (
	"context"
	"errors"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// localTryTimeout and farTry bound one try of an order to the rank on the same VM and
	// to one elsewhere. Ranks answer at once or not at all.
	localTryTimeout  = 28 * time.Millisecond
	remoteTryTimeout = 45 * time.Millisecond
	// scoutOrderTimeout is how long a scout tries; its caller waits a little longer.
	scoutOrderTimeout = 90 * time.Millisecond
)

// retryUnanswered repeats an order until the rank answers or the context ends. An order
// that holds already is confirmed again, so that it may be repeated.
func retryUnanswered(ctx context.Context, each time.Duration, order func(context.Context) error) error {
	for {
		try, cancel := context.WithTimeout(ctx, each)
		err := order(try)
		silent := try.Err() != nil
		cancel()
		if err == nil || errors.Is(err, chiverank.ErrConflict) || errors.Is(err, chiverank.ErrFenced) {
			return err
		}
		if ctx.Err() != nil || !silent {
			return err
		}
	}
}
