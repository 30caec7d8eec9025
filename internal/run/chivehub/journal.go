package chivehub

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// maxRemoved bounds the removed rows that a journal remembers.
const maxRemoved = 256

// A Mark tells how new a copy of a table is.
type Mark struct {
	// Changed is the version of the last change of the table, Version that of the
	// store up to which the copy is complete.
	Changed int64 `cbor:"changed"`
	Version int64 `cbor:"version"`
}

// A Journal is a copy of a table that tells what has changed after a version. Its
// zero value knows nothing. It is safe for concurrent use.
type Journal struct {
	mu      sync.Mutex
	rows    map[string]chivefollow.Row
	removed map[string]chivefollow.Row
	// complete is the version after which every change is known.
	complete  int64
	mark      Mark
	confirmed chiveclock.Moment
	outage    chiveclock.Moment
}

// Take notes a page that was read from the store or from a hub.
func (j *Journal) Take(p chivefollow.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p.Snapshot {
		j.rows, j.removed = map[string]chivefollow.Row{}, map[string]chivefollow.Row{}
		j.complete = p.Version
		j.mark.Changed = max(j.mark.Changed, p.Version)
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
		j.mark.Changed = max(j.mark.Changed, min(r.Version, p.Version))
	}
	j.mark.Version = max(j.mark.Version, p.Version)
	j.confirmed, j.outage = max(j.confirmed, p.Confirmed), max(j.outage, p.Recovered)
	j.forget()
}

// forget drops the oldest removed rows. Whoever lacks them reads the whole table.
func (j *Journal) forget() {
	if len(j.removed) <= maxRemoved {
		return
	}
	j.removed = map[string]chivefollow.Row{}
	j.complete = j.mark.Version
}

// Mark returns how new the copy is.
func (j *Journal) Mark() Mark {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.mark
}

// After returns the changes after a version, or the whole table where they are
// not all known.
func (j *Journal) After(version int64) chivefollow.Page {
	j.mu.Lock()
	defer j.mu.Unlock()
	p := chivefollow.Page{Version: j.mark.Version, Confirmed: j.confirmed, Recovered: j.outage, Snapshot: version < j.complete}
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
