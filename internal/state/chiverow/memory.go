package chiverow

import (
	"context"
	"fmt"
	"sync"
)

// MemoryTable is an in-memory Table for tests. Its zero value is empty and ready
// to use.
type MemoryTable struct {
	mu   sync.Mutex
	rows map[string]Row
}

// Get implements Table.Get.
func (m *MemoryTable) Get(_ context.Context, key string) (Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return Row{}, fmt.Errorf("row %q %w", key, ErrNotFound)
	}
	return row, nil
}

// Version implements Table.Version.
func (m *MemoryTable) Version(_ context.Context, key string) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rows[key].Version, nil
}

// Put implements Table.Put.
func (m *MemoryTable) Put(_ context.Context, row Row) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows == nil {
		m.rows = map[string]Row{}
	}
	if m.rows[row.Key].Version+1 != row.Version {
		return fmt.Errorf("row %q %w", row.Key, ErrConflict)
	}
	m.rows[row.Key] = row
	return nil
}
