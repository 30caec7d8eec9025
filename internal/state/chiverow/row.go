// Package chiverow defines the rows of the platform's table and the interface to
// that table. Its implementations of the interface are for tests.
package chiverow

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound is wrapped by errors for a row or object that does not exist.
var ErrNotFound = errors.New("does not exist")

// ErrConflict is wrapped by errors for a write that was refused because the stored
// row has another version than expected.
var ErrConflict = errors.New("was changed by another writer")

// Row is one row of the table.
type Row struct {
	Key string
	// Version is the number of writes to the row, starting at 1.
	Version uint64
	Value   []byte
	// Era counts how often the table has returned from an older copy, which loses rows
	// and gives their versions out again; 0 if it never does. It is set by Get,
	// also if the row does not exist.
	Era uint64
	// Expires is when the platform may delete the row; the zero time means never.
	Expires time.Time
}

// Table is the platform's transactional table.
type Table interface {
	// Get returns the newest row, or an error that wraps ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Version returns the version of the newest row, 0 if none exists.
	Version(ctx context.Context, key string) (uint64, error)
	// Put writes the row if its version is one more than that of the stored row,
	// or 1 if none exists. Otherwise it returns an error that wraps ErrConflict.
	// After any other error the write may have taken effect or may still do so.
	Put(ctx context.Context, row Row) error
}
