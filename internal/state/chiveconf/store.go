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

// objectPrefix stands before the digest in the names of sheet objects.
const objectPrefix = "sheet/"

// retryPause is the time between two tries of a change.
const retryPause = 50 * time.Millisecond

// An ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object, or an error that wraps chiverow.ErrMissing.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put writes the object whole.
	Put(ctx context.Context, name string, data []byte) error
}

// A Store reads and changes the configuration on the platform.
type Store struct {
	Table   chiverow.Table
	Objects ObjectStore
}

// SheetDigest returns the digest that names a sheet.
func SheetDigest(sheet []byte) string {
	sum := sha256.Sum256(sheet)
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Head returns the head row, or nil where none was accepted yet.
func (s *Store) Head(ctx context.Context) (*Head, error) {
	head, _, err := s.read(ctx)
	return head, err
}

// Version returns the version of the head, 0 where none was accepted yet. It
// costs less than Head.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	version, err := s.Table.Version(ctx, headKey)
	return version, Error.Wrap(err)
}

// Sheet returns the sheet of that digest.
func (s *Store) Sheet(ctx context.Context, digest string) ([]byte, error) {
	data, err := s.Objects.Get(ctx, objectPrefix+digest)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if got := SheetDigest(data); got != digest {
		return nil, Error.New("sheet object %s holds %s", digest, got)
	}
	return data, nil
}

// SaveSheet writes a sheet and returns its digest. It is idempotent.
func (s *Store) SaveSheet(ctx context.Context, sheet []byte) (string, error) {
	digest := SheetDigest(sheet)
	return digest, Error.Wrap(s.Objects.Put(ctx, objectPrefix+digest, sheet))
}

// Change makes the change and returns the head that holds it. Tries go on
// until the context ends, since a write may take effect while its answer is
// lost. The failure's verdict is NotRun where the change is known to have had
// no effect.
func (s *Store) Change(ctx context.Context, c *Change, now func() time.Time) (*Head, error) {
	wrote := false
	for {
		head, sent, err := s.try(ctx, c, now())
		if err == nil {
			return head, nil
		}
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			return nil, chiveverdict.NotRunf(chiveverdict.CodeConflict, 0, "%v", conflict)
		}
		wrote = wrote || sent
		if ctx.Err() != nil {
			return nil, unsettled(wrote, err)
		}
		pause(ctx)
	}
}

// unsettled returns the failure of a change that was given up.
func unsettled(wrote bool, err error) error {
	if !wrote {
		return chiveverdict.NotRunf(chiveverdict.CodeStore, time.Second, "table is unavailable: %v", err)
	}
	return chiveverdict.MayHaveRunf(chiveverdict.CodeStore, "table gave no answer to the change: %v", err)
}

// try makes one try of the change and reports whether a write was sent.
func (s *Store) try(ctx context.Context, c *Change, now time.Time) (*Head, bool, error) {
	old, version, err := s.read(ctx)
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

// read returns the head and the version of its row, 0 where none exists.
func (s *Store) read(ctx context.Context) (*Head, uint64, error) {
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

func pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}
