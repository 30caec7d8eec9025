package chiveentry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// maxRewriteDelay bounds the random time after which an entry VM writes its row again,
// so that not all do at once.
const maxRewriteDelay = 500 * time.Millisecond

// register writes the row of this entry VM to the store, with retries until the store
// accepts it, and again whenever the store has lost it, until the context ends.
func (d *Daemon) register(ctx context.Context) error {
	value, err := cbor.Marshal(&d.settings.Entry)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		err := d.writeStore(ctx, func(ctx context.Context) error {
			version, err := d.deps.Store.Put(ctx, d.settings.Tables.System, entryPrefix+d.settings.Entry.Name, value)
			if err == nil {
				d.rowVersion.Store(version)
			}
			return err
		})
		if err != nil {
			d.log.Warn("Failed to register this entry VM.", "error", err)
			_ = chiveclock.Sleep(ctx, writeRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-d.registrationLost:
			d.log.Warn("Registration was lost by the store, writing it again.")
			_ = chiveclock.Sleep(ctx, rand.N(maxRewriteDelay))
		}
	}
	return nil
}

// checkRegistration looks for the row of this entry VM among those that the store has
// after it has returned from an older copy.
func (d *Daemon) checkRegistration(entries map[string]chivefleet.Entry) {
	if entries[d.settings.Entry.Name] == d.settings.Entry || d.leaving.Load() {
		return
	}
	select {
	case d.registrationLost <- struct{}{}:
	default:
	}
}

// writeStore calls write with a context that is bounded by writeTimeout.
func (d *Daemon) writeStore(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return write(ctx)
}
