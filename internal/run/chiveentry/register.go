package chiveentry

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// register writes this entry VM's row until the store has it.
func (e *Daemon) register(ctx context.Context) error {
	value, err := cbor.Marshal(&e.settings.Entry)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		if err = e.writeStore(ctx, func(ctx context.Context) error {
			return e.deps.Store.Put(ctx, e.settings.Tables.System, entryPrefix+e.settings.Entry.Name, value)
		}); err == nil {
			break
		}
		e.log.Warn("Entry was not registered.", "error", err)
		_ = chiveclock.Sleep(ctx, writeRetryDelay)
	}
	<-ctx.Done()
	return nil
}

func (e *Daemon) writeStore(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
}
