package chiveentry

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
)

// register writes this entry VM's row until the store has it.
func (e *Daemon) register(ctx context.Context) error {
	value, err := cbor.Marshal(&e.settings.Entry)
	if err != nil {
		return Error.Wrap(err)
	}
	for ctx.Err() == nil {
		if err = e.write(ctx, func(ctx context.Context) error {
			return e.parts.Store.Put(ctx, e.settings.Tables.System, entryPrefix+e.settings.Entry.Name, value)
		}); err == nil {
			break
		}
		e.log.Warn("Entry was not registered.", "error", err)
		_ = chiveboot.Sleep(ctx, retryPause)
	}
	<-ctx.Done()
	return nil
}

func (e *Daemon) write(ctx context.Context, do func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return do(ctx)
}
