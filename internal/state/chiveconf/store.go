package chiveconf

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("configuration")

// headKey is the key of the head row.
const headKey = "head"

// objectPrefix is the prefix of the names of sheet objects; the digest follows.
const objectPrefix = "sheet/"

// changeRetryInterval is the time between two attempts at a change.
const changeRetryInterval = 50 * time.Millisecond

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object, or an error that wraps chiverow.ErrNotFound.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put replaces the whole object.
	Put(ctx context.Context, name string, data []byte) error
}

// Store reads and changes the configuration in the platform's table and object
// store.
type Store struct {
	Table   chiverow.Table
	Objects ObjectStore
}

// SheetDigest returns the digest of a sheet, as "sha256:" and 64 hex digits.
func SheetDigest(sheet []byte) string {
	sum := sha256.Sum256(sheet)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Head returns the newest head, or nil if no change was accepted yet.
func (s *Store) Head(ctx context.Context) (*Head, error) {
	head, _, err := s.readHead(ctx)
	return head, err
}

// Version returns the version of the newest head, 0 if no change was accepted yet.
// It transfers less data than Head.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	version, err := s.Table.Version(ctx, headKey)
	return version, Error.Wrap(err)
}

// Sheet returns the sheet with the digest. It returns an error if the stored
// object has another digest.
func (s *Store) Sheet(ctx context.Context, digest string) ([]byte, error) {
	data, err := s.Objects.Get(ctx, objectPrefix+digest)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if got := SheetDigest(data); got != digest {
		return nil, Error.New("sheet object %s has digest %s", digest, got)
	}
	return data, nil
}

// SaveSheet stores a sheet and returns its digest. It is idempotent.
func (s *Store) SaveSheet(ctx context.Context, sheet []byte) (string, error) {
	digest := SheetDigest(sheet)
	return digest, Error.Wrap(s.Objects.Put(ctx, objectPrefix+digest, sheet))
}

// Change applies the change and returns the head that contains it. It retries
// until the context ends, because a write may take effect although its reply was
// lost. The verdict of a failure is NotRun if the change is known to have had no
// effect, and MayHaveRun otherwise.
func (s *Store) Change(ctx context.Context, c *Change, now func() time.Time) (*Head, error) {
	mayHaveWritten := false
	for {
		head, sent, err := s.tryChange(ctx, c, now())
		if err == nil {
			return head, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return nil, chiveverdict.NotRunf(chiveverdict.CodeConflict, 0, "%v", conflict)
		}
		mayHaveWritten = mayHaveWritten || sent
		if ctx.Err() != nil {
			return nil, changeFailure(mayHaveWritten, err)
		}
		waitToRetry(ctx)
	}
}

// changeFailure returns the failure of a change whose retries ended with err.
func changeFailure(mayHaveWritten bool, err error) error {
	if !mayHaveWritten {
		return chiveverdict.NotRunf(chiveverdict.CodeStore, time.Second, "table is unavailable: %v", err)
	}
	return chiveverdict.MayHaveRunf(chiveverdict.CodeStore, "table gave no answer to the change: %v", err)
}

// tryChange makes one attempt at the change and reports whether a write was sent
// that may have taken effect.
func (s *Store) tryChange(ctx context.Context, c *Change, now time.Time) (*Head, bool, error) {
	old, version, err := s.readHead(ctx)
	if err != nil {
		return nil, false, err
	}
	next, err := Next(old, c, now)
	if err != nil {
		return nil, false, err
	}
	if next == old {
		return old, false, nil
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		return nil, false, Error.Wrap(err)
	}
	err = s.Table.Put(ctx, chiverow.Row{Key: headKey, Version: version + 1, Value: value})
	if errors.Is(err, chiverow.ErrConflict) {
		return nil, false, err
	}
	return next, true, err
}

// readHead returns the head and the version of its row. If the row does not exist
// it returns nil and 0.
func (s *Store) readHead(ctx context.Context) (*Head, uint64, error) {
	row, err := s.Table.Get(ctx, headKey)
	if errors.Is(err, chiverow.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, Error.Wrap(err)
	}
	head := &Head{}
	if err := cbor.Unmarshal(row.Value, head); err != nil {
		return nil, 0, Error.Wrap(err)
	}
	return head, row.Version, Error.Wrap(head.Check())
}

// waitToRetry waits for changeRetryInterval or until the context ends.
func waitToRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(changeRetryInterval):
	}
}
