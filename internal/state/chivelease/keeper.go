// Package chivelease implements leases on control duties. Each duty has one row in
// the platform's table, and each new holder gets a new fencing token.
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

// DefaultTTL is the default of Keeper.TTL.
const DefaultTTL = 12 * time.Second

// fencesPerEra is the number of fencing tokens of an era. A table that has returned from
// an older copy may have lost the last tokens, so that those of the next era start
// above all that it can have issued.
const fencesPerEra = 1 << 20

// holdFraction is the fraction of the TTL for which a holder relies on its own
// lease. The rest allows for clocks that run at different rates.
const holdFraction = 0.75

// Record is the value of the row of a duty.
type Record struct {
	// Holder is empty after a release.
	Holder string `cbor:"holder"`
	// Fence is the fencing token. It grows with every change of the holder.
	Fence uint64 `cbor:"fence"`
	// Era is the era of the table in which the fencing token was issued.
	Era uint64 `cbor:"era,omitempty"`
	// State is what the last holder left for the next one.
	State []byte `cbor:"state,omitempty"`
}

// Keeper acquires and renews the lease on one duty. Clocks of different processes
// are never compared: a keeper takes over a row that has not changed for the TTL by
// the keeper's own clock, and a holder counts its lease from before its write.
type Keeper struct {
	Table chiverow.Table
	// Duty is the name of the duty.
	Duty string
	// Holder identifies this incarnation of this process.
	Holder string
	// TTL is the time without a renewal after which the lease expires; 0 means
	// DefaultTTL. It must be the same for all keepers of a duty.
	TTL time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	// HasEnded reports whether a holder is known to have ended, so that its lease
	// can be taken over before it expires; nil means that this is never known.
	HasEnded func(holder string) bool
	// State returns what the next holder is to inherit. It is stored with each
	// renewal; nil means that there is nothing.
	State func() []byte

	// seenVersion is the last version of the row that was read while another
	// keeper held the lease, seenAt the time of its first read.
	seenVersion uint64
	seenAt      time.Time
	// writtenVersion is the version of the row that this keeper wrote last.
	writtenVersion uint64

	// mu guards the fields below.
	mu sync.Mutex
	// fence is the fencing token, 0 if the lease is not held.
	fence uint64
	// heldUntil is when this keeper stops relying on its lease.
	heldUntil time.Time
	// fenceEra is the era in which the fencing token was issued.
	fenceEra uint64
	// highestFence is the highest fencing token that is known to be in use.
	highestFence uint64
	// inherited is the state that was stored when this keeper acquired the lease.
	inherited []byte
}

// Held returns the fencing token and reports whether the lease is held now. It is
// safe for concurrent use.
func (k *Keeper) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.fence != 0 && k.now().Before(k.heldUntil)
}

// Inherited returns the state that the previous holder stored last, or nil if there
// is none. It is safe for concurrent use.
func (k *Keeper) Inherited() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.inherited
}

// Supersede records that another holder has used a fencing token. A lease with a lower
// one is no longer held, and a token that is acquired later is higher. It is safe for
// concurrent use.
func (k *Keeper) Supersede(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.highestFence = max(k.highestFence, fence)
	if k.fence < fence {
		k.fence = 0
	}
}

// Step renews the lease, acquires it or checks whether its holder still renews it.
// One goroutine must call it several times within the TTL.
func (k *Keeper) Step(ctx context.Context) error {
	began := k.now()
	if _, held := k.Held(); held && k.renew(ctx, began) {
		return nil
	}
	row, err := k.Table.Get(ctx, k.key())
	if errors.Is(err, chiverow.ErrNotFound) {
		return k.acquire(ctx, chiverow.Row{Era: row.Era}, Record{}, began)
	}
	if err != nil {
		return Error.Wrap(err)
	}
	var record Record
	if err := cbor.Unmarshal(row.Value, &record); err != nil {
		return Error.Wrap(err)
	}
	if record.Holder == k.Holder && record.Era == row.Era && record.Fence >= k.highest() {
		return k.write(ctx, row, record, began)
	}
	k.clearFence()
	if record.Holder == k.Holder || record.Holder == "" || k.HasEnded != nil && k.HasEnded(record.Holder) {
		return k.acquire(ctx, row, record, began)
	}
	if row.Version != k.seenVersion {
		k.seenVersion, k.seenAt = row.Version, k.now()
		return nil
	}
	if k.now().Sub(k.seenAt) < k.ttl() {
		return nil
	}
	return k.acquire(ctx, row, record, began)
}

// highest returns the highest fencing token that is known to be in use.
func (k *Keeper) highest() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.highestFence
}

// acquire takes the lease over from the holder of the stored record.
func (k *Keeper) acquire(ctx context.Context, row chiverow.Row, stored Record, began time.Time) error {
	k.mu.Lock()
	k.inherited = stored.State
	fence := max(stored.Fence, k.highestFence, row.Era*fencesPerEra) + 1
	k.mu.Unlock()
	return k.write(ctx, row, Record{Holder: k.Holder, Fence: fence, Era: row.Era, State: stored.State}, began)
}

// currentState returns the state to store with a renewal.
func (k *Keeper) currentState() []byte {
	if k.State == nil {
		return nil
	}
	return k.State()
}

// Release gives the lease back, so that another process can acquire it without
// waiting for the TTL. The caller must not act under the lease afterwards.
func (k *Keeper) Release(ctx context.Context) error {
	fence, held := k.Held()
	k.clearFence()
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
	return k.put(ctx, row, Record{Fence: fence, Era: record.Era, State: k.currentState()})
}

// renew rewrites the row of a held lease without reading it first and reports
// whether that succeeded. After a failure the row must be read.
func (k *Keeper) renew(ctx context.Context, began time.Time) bool {
	k.mu.Lock()
	record := Record{Holder: k.Holder, Fence: k.fence, Era: k.fenceEra}
	k.mu.Unlock()
	if record.Fence == 0 {
		return false
	}
	record.State = k.currentState()
	return k.write(ctx, chiverow.Row{Version: k.writtenVersion}, record, began) == nil
}

// write writes a record with this keeper as the holder over the row old. The lease
// is then held from the time began.
func (k *Keeper) write(ctx context.Context, old chiverow.Row, record Record, began time.Time) error {
	if err := k.put(ctx, old, record); err != nil {
		return err
	}
	k.writtenVersion = old.Version + 1
	k.mu.Lock()
	defer k.mu.Unlock()
	if record.Fence < k.highestFence {
		// A higher token was seen during the write.
		k.fence = 0
		return nil
	}
	k.fence, k.fenceEra, k.highestFence = record.Fence, record.Era, record.Fence
	k.heldUntil = began.Add(time.Duration(float64(k.ttl()) * holdFraction))
	return nil
}

// put writes a record over the row old, without a change of the keeper's state.
func (k *Keeper) put(ctx context.Context, old chiverow.Row, record Record) error {
	value, err := cbor.Marshal(&record)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(k.Table.Put(ctx, chiverow.Row{Key: k.key(), Version: old.Version + 1, Value: value}))
}

// clearFence records that the lease is no longer held.
func (k *Keeper) clearFence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fence = 0
}

// key returns the key of the row of the duty.
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
