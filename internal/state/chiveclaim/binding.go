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

// Retention is the time for which the platform keeps a binding after its last
// write.
const Retention = 48 * time.Hour

// maxAnswerBytes is the largest answer body that is kept in a binding.
const maxAnswerBytes = 32 << 10

// Binding assigns an idempotency key to the only incarnation of an endpoint that
// may run the request. Every gateway that reads it may send the request there,
// because the agent of the endpoint runs it at most once.
type Binding struct {
	// Digest is the digest of the first request with the key.
	Digest   string `cbor:"digest"`
	Endpoint string `cbor:"endpoint"`
	// Boot identifies the incarnation of the endpoint's agent.
	Boot uint64 `cbor:"boot"`
	// Answer is the recorded answer, or nil if there is none.
	Answer *Answer `cbor:"answer,omitempty"`

	// Created is true if this call of Bind or Move created the binding, so that no
	// other gateway can have used it before.
	Created bool `cbor:"-"`

	// version is the version of the row, 0 if the binding is not in the table.
	version uint64
}

// Answer is the recorded HTTP answer of a service.
type Answer struct {
	Status int `cbor:"status"`
	// Type is the content type of the body.
	Type string `cbor:"type,omitempty"`
	Body []byte `cbor:"body,omitempty"`
}

// Binder reads and writes bindings in the platform's table.
type Binder struct {
	Table chiverow.Table
}

// rowKey returns the key of a binding's row.
func rowKey(workspace, key string) string {
	return "claim/" + workspace + "/" + key
}

// Bind returns the binding of the workspace's key, which is the proposed one if
// the key is new. A write may take effect although its reply was lost, so Bind
// reads the row after a failed write and returns the stored binding.
func (b *Binder) Bind(ctx context.Context, workspace, key string, proposed Binding, now time.Time) (*Binding, error) {
	id := rowKey(workspace, key)
	value, err := cbor.Marshal(&proposed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	putErr := b.Table.Put(ctx, chiverow.Row{Key: id, Version: 1, Value: value, Expires: now.Add(Retention)})
	if putErr == nil {
		proposed.version, proposed.Created = 1, true
		return &proposed, nil
	}
	return b.readBack(ctx, id, putErr)
}

// Move replaces a binding whose endpoint has promised never to run the request.
// Like Bind, it returns the binding that is stored afterwards.
func (b *Binder) Move(ctx context.Context, workspace, key string, old, proposed Binding, now time.Time) (*Binding, error) {
	id := rowKey(workspace, key)
	value, err := cbor.Marshal(&proposed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	proposed.version = old.version + 1
	putErr := b.Table.Put(ctx, chiverow.Row{Key: id, Version: proposed.version, Value: value, Expires: now.Add(Retention)})
	if putErr == nil {
		proposed.Created = true
		return &proposed, nil
	}
	return b.readBack(ctx, id, putErr)
}

// readBack returns the binding that is stored after a write failed with putErr.
func (b *Binder) readBack(ctx context.Context, id string, putErr error) (*Binding, error) {
	row, err := b.Table.Get(ctx, id)
	if err != nil {
		return nil, Error.Wrap(errors.Join(putErr, err))
	}
	bound := &Binding{version: row.Version}
	if err := cbor.Unmarshal(row.Value, bound); err != nil {
		return nil, Error.Wrap(err)
	}
	return bound, nil
}

// RecordAnswer writes the answer into a binding, so that it can be replayed after
// the endpoint has stopped. It does nothing if the body exceeds maxAnswerBytes, if
// the binding has an answer or if the binding is not stored in the table.
func (b *Binder) RecordAnswer(ctx context.Context, workspace, key string, bound Binding, answer Answer, now time.Time) error {
	if len(answer.Body) > maxAnswerBytes || bound.Answer != nil || bound.version == 0 {
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

// generatedKey matches the keys that NewKey returns. They contain their binding, so
// that it needs no row in the table.
var generatedKey = regexp.MustCompile(`^cy1_([a-z0-9][a-z0-9._-]{0,62})_([0-9a-f]{16})_[0-9a-f-]{36}$`)

// NewKey returns a new idempotency key that contains its binding to an incarnation
// of an endpoint.
func NewKey(endpoint string, boot uint64) string {
	return fmt.Sprintf("cy1_%s_%016x_%s", endpoint, boot, uuid.NewString())
}

// ParseKey returns the binding that a key from NewKey contains, or false for a key
// that the caller chose itself.
func ParseKey(key string) (Binding, bool) {
	m := generatedKey.FindStringSubmatch(key)
	if m == nil {
		return Binding{}, false
	}
	boot, err := strconv.ParseUint(m[2], 16, 64)
	if err != nil {
		return Binding{}, false
	}
	return Binding{Endpoint: m[1], Boot: boot}, true
}
