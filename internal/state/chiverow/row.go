// Package chiverow implements the rows that the platform's table keeps.
package chiverow

import (
	"context"
	"errors"
	"time"
)

// ErrNotFound is returned for a row or object that does not exist.
var ErrNotFound = errors.New("does not exist")

// ErrConflict is returned for a write whose condition did not hold.
var ErrConflict = errors.New("was changed by another writer")

// A Row is one row of the table.
type Row struct {
	Key string
	// Version counts the writes of the row, from 1.
	Version uint64
	Value   []byte
	// Expires lets the platform delete the row; the zero time keeps it.
	Expires time.Time
}

// A Table is the platform's transactional table.
type Table interface {
	// Get returns the newest row, or an error that wraps ErrMissing.
	Get(ctx context.Context, key string) (Row, error)
	// Version returns the version of the newest row, 0 where none exists.
	Version(ctx context.Context, key string) (uint64, error)
	// Put writes the row if the stored row has the version before it, or none
	// exists and the version is 1. Otherwise its error wraps ErrConflict. After
	// any other error the write may have taken effect or may yet do so.
	Put(ctx context.Context, row Row) error
}
