package chivehub

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// maxRemovedRows bounds the removed rows that a journal remembers.
const maxRemovedRows = 256

// A Revision tells how new a copy of a table is.
type Revision struct {
	// LastChange is the version of the last change of the table, Version that of the
	// store up to which the copy is complete.
	LastChange int64 `cbor:"changed"`
	Version    int64 `cbor:"version"`
}

// A Journal is a copy of a table that tells what has changed after a version. Its
// zero value knows nothing. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	rows    map[string]chivefollow.Row
	removed map[string]chivefollow.Row
	// completeSince is the version after which every change is known.
	completeSince int64
	revision      Revision
	confirmedAt   chiveclock.Moment
	recoveredAt   chiveclock.Moment
}

// Apply notes a page that was read from the store or from a hub.
func (j *Journal) Apply(p chivefollow.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p.Snapshot {
		j.rows, j.removed = map[string]chivefollow.Row{}, map[string]chivefollow.Row{}
		j.completeSince = p.Version
		j.revision.LastChange = max(j.revision.LastChange, p.Version)
	}
	for _, r := range p.Rows {
		if r.Removed {
			// The row may bear the version that it had before.
			r.Version = p.Version
			delete(j.rows, r.Key)
			j.removed[r.Key] = r
		} else {
			j.rows[r.Key] = r
			delete(j.removed, r.Key)
		}
		// Rows that are newer than their page come again with the next one.
		j.revision.LastChange = max(j.revision.LastChange, min(r.Version, p.Version))
	}
	j.revision.Version = max(j.revision.Version, p.Version)
	j.confirmedAt, j.recoveredAt = max(j.confirmedAt, p.Confirmed), max(j.recoveredAt, p.Recovered)
	j.pruneRemoved()
}

// pruneRemoved drops the oldest removed rows. Whoever lacks them reads the whole table.
func (j *Journal) pruneRemoved() {
	if len(j.removed) <= maxRemovedRows {
		return
	}
	j.removed = map[string]chivefollow.Row{}
	j.completeSince = j.revision.Version
}

// Revision returns how new the copy is.
func (j *Journal) Revision() Revision {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision
}

// ChangesSince returns the changes after a version, or the whole table where they are
// not all known.
func (j *Journal) ChangesSince(version int64) chivefollow.Page {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := chivefollow.Page{Version: j.revision.Version, Confirmed: j.confirmedAt, Recovered: j.recoveredAt, Snapshot: version < j.completeSince}
	for _, r := range j.rows {
		if p.Snapshot || r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	for _, r := range j.removed {
		if !p.Snapshot && r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	return p
}

// loaded reports whether the table has been read at all.
func (j *Journal) loaded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rows != nil
}
