package chiveentry

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// register writes the row of this entry VM to the store, with retries until the store
// accepts it, and then waits for the context to end.
func (d *Daemon) register(ctx context.Context) error {
	value, err := cbor.Marshal(&d.settings.Entry)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		if err = d.writeStore(ctx, func(ctx context.Context) error {
			return d.deps.Store.Put(ctx, d.settings.Tables.System, entryPrefix+d.settings.Entry.Name, value)
		}); err == nil {
			break
		}
		d.log.Warn("Failed to register this entry VM.", "error", err)
		_ = chiveclock.Sleep(ctx, writeRetryDelay)
	}
	<-ctx.Done()
	return nil
}

// writeStore calls write with a context that is bounded by writeTimeout.
func (d *Daemon) writeStore(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return write(ctx)
}
