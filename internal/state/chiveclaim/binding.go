package chiveclaim

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// Error is the class of errors of this package.
var Error = errs.Class("claim")

// Retention is how long the platform keeps a binding.
const Retention = 48 * time.Hour

// maxAnswer is the largest answer that is kept in a binding, in bytes.
const maxAnswer = 32 << 10

// A Binding ties an idempotency key to the one incarnation of the one endpoint
// that may run the request. Whoever reads it may send the request there: the
// agent runs it once.
type Binding struct {
	// Digest is that of the first request under the key.
	Digest   string `cbor:"digest"`
	Endpoint string `cbor:"endpoint"`
	Boot     uint64 `cbor:"boot"`
	// Answer is the answer, once known.
	Answer *Answer `cbor:"answer,omitempty"`

	// Created says that this call of Bind or Move made the binding, so that nobody
	// else has used it before.
	Created bool `cbor:"-"`

	version uint64
}

// An Answer is the answer of a service as a binding keeps it.
type Answer struct {
	Status int    `cbor:"status"`
	Type   string `cbor:"type,omitempty"`
	Body   []byte `cbor:"body,omitempty"`
}

// A Binder reads and writes bindings in the platform's table.
type Binder struct {
	Table chiverow.Table
}

// rowKey returns the key of a binding's row.
func rowKey(workspace, key string) string {
	return "claim/" + workspace + "/" + key
}

// Bind returns the binding of the workspace's key, which is the proposed one if
// the key is new. The claim may take effect while its answer is lost, so a
// failed write is followed by a read: whichever binding stands is the one.
func (b *Binder) Bind(ctx context.Context, workspace, key string, proposed Binding, now time.Time) (*Binding, error) {
	id := rowKey(workspace, key)
	value, err := cbor.Marshal(&proposed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	put := b.Table.Put(ctx, chiverow.Row{Key: id, Version: 1, Value: value, Expires: now.Add(Retention)})
	if put == nil {
		proposed.version, proposed.Created = 1, true
		return &proposed, nil
	}
	return b.readBack(ctx, id, put)
}

// Move replaces a binding whose endpoint has promised never to run the request.
// It returns the binding that stands afterwards, as Bind does.
func (b *Binder) Move(ctx context.Context, workspace, key string, old, proposed Binding, now time.Time) (*Binding, error) {
	id := rowKey(workspace, key)
	value, err := cbor.Marshal(&proposed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	proposed.version = old.version + 1
	put := b.Table.Put(ctx, chiverow.Row{Key: id, Version: proposed.version, Value: value, Expires: now.Add(Retention)})
	if put == nil {
		proposed.Created = true
		return &proposed, nil
	}
	return b.readBack(ctx, id, put)
}

// readBack returns the binding that stands after a write that gave an error.
func (b *Binder) readBack(ctx context.Context, id string, put error) (*Binding, error) {
	row, err := b.Table.Get(ctx, id)
	if err != nil {
		return nil, Error.Wrap(errors.Join(put, err))
	}
	bound := &Binding{version: row.Version}
	if err := cbor.Unmarshal(row.Value, bound); err != nil {
		return nil, Error.Wrap(err)
	}
	return bound, nil
}

// RecordAnswer writes the answer into a binding, so that it outlives the endpoint. An
// answer that is too large is not kept.
func (b *Binder) RecordAnswer(ctx context.Context, workspace, key string, bound Binding, answer Answer, now time.Time) error {
	if len(answer.Body) > maxAnswer || bound.Answer != nil || bound.version == 0 {
		return nil
	}
	bound.Answer = &answer
	value, err := cbor.Marshal(&bound)
	if err != nil {
		return Error.Wrap(err)
	}
	row := chiverow.Row{Key: rowKey(workspace, key), Version: bound.version + 1, Value: value, Expires: now.Add(Retention)}
	return Error.Wrap(b.Table.Put(ctx, row))
}

// A minted key holds its binding, so that it needs no table.
var minted = regexp.MustCompile(`^cy1_([a-z0-9][a-z0-9._-]{0,62})_([0-9a-f]{16})_[0-9a-f-]{36}$`)

// NewKey returns a new idempotency key that is bound to an incarnation of an
// endpoint.
func NewKey(endpoint string, boot uint64) string {
	return fmt.Sprintf("cy1_%s_%016x_%s", endpoint, boot, uuid.NewString())
}

// ParseKey returns the binding that a minted key holds, or false for a key of
// the caller's own.
func ParseKey(key string) (Binding, bool) {
	m := minted.FindStringSubmatch(key)
	if m == nil {
		return Binding{}, false
	}
	boot, err := strconv.ParseUint(m[2], 16, 64)
	if err != nil {
		return Binding{}, false
	}
	return Binding{Endpoint: m[1], Boot: boot}, true
}
