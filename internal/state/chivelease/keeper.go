// Package chivelease implements leases on control duties: one row a duty in the
// platform's table, with a fencing token for each holder.
package chivelease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("lease")

// DefaultTTL is the time without a renewal after which a lease lapses.
const DefaultTTL = 12 * time.Second

// safety is the part of the TTL for which a holder trusts its own lease; the
// rest covers clocks that run at different rates.
const safety = 0.75

// A Record is the row of a duty.
type Record struct {
	// Holder is empty after a release.
	Holder string `cbor:"holder"`
	// Fence grows with every change of the holder.
	Fence uint64 `cbor:"fence"`
}

// A Keeper tries to hold the lease on one duty. No clocks are compared between
// processes: a keeper takes over a row that it has seen unchanged for the TTL by
// its own clock, and a holder counts its lease from before it wrote.
type Keeper struct {
	Table chiverow.Table
	// Duty names what the lease is on.
	Duty string
	// Holder names this incarnation of this process.
	Holder string
	// TTL is the time without a renewal after which the lease lapses; 0 means
	// DefaultTTL.
	TTL time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	// HasEnded reports whether a holder is known to have ended, so that its lease
	// need not lapse first; nil means that this is never known.
	HasEnded func(holder string) bool

	// seen is the row's version and the time at which it was first seen.
	seen   uint64
	seenAt time.Time
	// wrote is the version that this keeper wrote last.
	wrote uint64

	mu    sync.Mutex
	fence uint64
	until time.Time
}

// Held returns the fencing token and whether the lease is held now.
func (k *Keeper) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.fence != 0 && k.now().Before(k.until)
}

// Step renews the lease, takes it over or watches its holder. It is to be called
// a few times within the TTL, by one goroutine.
func (k *Keeper) Step(ctx context.Context) error {
	began := k.now()
	if _, held := k.Held(); held && k.renew(ctx, began) {
		return nil
	}
	row, err := k.Table.Get(ctx, k.key())
	if errors.Is(err, chiverow.ErrNotFound) {
		return k.write(ctx, chiverow.Row{}, Record{Holder: k.Holder, Fence: 1}, began)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	var record Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return Error.Wrap(err)
	}
	if record.Holder == k.Holder {
		return k.write(ctx, row, record, began)
	}
	k.lose()
	if record.Holder == "" || k.HasEnded != nil && k.HasEnded(record.Holder) {
		return k.write(ctx, row, Record{Holder: k.Holder, Fence: record.Fence + 1}, began)
	}
	if row.Version != k.seen {
		k.seen, k.seenAt = row.Version, k.now()
		return nil
	}
	if k.now().Sub(k.seenAt) < k.ttl() {
		return nil
	}
	return k.write(ctx, row, Record{Holder: k.Holder, Fence: record.Fence + 1}, began)
}

// Release lets the lease lapse at once, so that another process takes over
// without waiting. Nothing may be done under the lease afterwards.
func (k *Keeper) Release(ctx context.Context) error {
	fence, held := k.Held()
	k.lose()
	if !held {
		return nil
	}
	row, err := k.Table.Get(ctx, k.key())
	if err != nil {
		return Error.Wrap(err)
	}
	var record Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return Error.Wrap(err)
	}
	if record.Holder != k.Holder || record.Fence != fence {
		return nil
	}
	return k.put(ctx, row, Record{Fence: fence})
}

// renew writes the row of a lease that is held, at the version that this keeper
// wrote last. It reports whether that went well; if not, the row is to be read.
func (k *Keeper) renew(ctx context.Context, began time.Time) bool {
	old := chiverow.Row{Version: k.wrote}
	return k.write(ctx, old, Record{Holder: k.Holder, Fence: k.fence}, began) == nil
}

// write makes this keeper the holder.
func (k *Keeper) write(ctx context.Context, old chiverow.Row, record Record, began time.Time) error {
	if err := k.put(ctx, old, record); err != nil {
		return err
	}
	k.wrote = old.Version + 1
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = record.Fence
	k.until = began.Add(time.Duration(float64(k.ttl()) * safety))
	return nil
}

func (k *Keeper) put(ctx context.Context, old chiverow.Row, record Record) error {
	value, err := cbor.Marshal(&record)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(k.Table.Put(ctx, chiverow.Row{Key: k.key(), Version: old.Version + 1, Value: value}))
}

func (k *Keeper) lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = 0
}

func (k *Keeper) key() string {
	return "lease/" + k.Duty
}

func (k *Keeper) ttl() time.Duration {
	if k.TTL == 0 {
		return DefaultTTL
	}
	return k.TTL
}

func (k *Keeper) now() time.Time {
	if k.Now == nil {
		return time.Now()
	}
	return k.Now()
}
