package chivehub

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// maxRemovedRows is the maximum number of removed rows that a journal remembers.
const maxRemovedRows = 256

// Revision says how new a replica of a table is.
type Revision struct {
	// LastChange is the store's version at the last change of the table. Version is
	// the store's version up to which the replica is complete.
	LastChange int64 `cbor:"changed"`
	Version    int64 `cbor:"version"`
	// Era is the era of the store to which both belong.
	Era int64 `cbor:"era,omitempty"`
}

// Journal is a replica of a table that can list the changes after a version. The zero
// value is an empty journal of a table that has not been read yet. It is safe for
// concurrent use.
type Journal struct {
	mu      sync.Mutex
	rows    map[string]chivefollow.Row
	removed map[string]chivefollow.Row
	// completeSince is the version after which the journal knows every change.
	completeSince int64
	revision      Revision
	confirmedAt   chiveclock.Moment
	recoveredAt   chiveclock.Moment
}

// Apply applies a page that was read from the store or from a hub. Pages of an earlier
// era, and changes of a later one, are ignored: the latter do not continue the replica.
func (j *Journal) Apply(p chivefollow.Page) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if p.Era < j.revision.Era || p.Era > j.revision.Era && !p.Snapshot {
		return
	}
	if p.Era > j.revision.Era {
		j.revision = Revision{Era: p.Era}
	}
	if p.Snapshot {
		j.rows, j.removed = map[string]chivefollow.Row{}, map[string]chivefollow.Row{}
		j.completeSince = p.Version
		j.revision.LastChange = max(j.revision.LastChange, p.Version)
	}
	for _, r := range p.Rows {
		if r.Removed {
			// The row may still have its version from before the removal.
			r.Version = p.Version
			delete(j.rows, r.Key)
			j.removed[r.Key] = r
		} else {
			j.rows[r.Key] = r
			delete(j.removed, r.Key)
		}
		// Rows that are newer than their page are repeated in the next page.
		j.revision.LastChange = max(j.revision.LastChange, min(r.Version, p.Version))
	}
	j.revision.Version = max(j.revision.Version, p.Version)
	j.confirmedAt, j.recoveredAt = max(j.confirmedAt, p.Confirmed), max(j.recoveredAt, p.Recovered)
	j.pruneRemoved()
}

// pruneRemoved drops all removed rows once there are more than maxRemovedRows. Members
// that have not seen these removals then read the whole table.
func (j *Journal) pruneRemoved() {
	if len(j.removed) <= maxRemovedRows {
		return
	}
	j.removed = map[string]chivefollow.Row{}
	j.completeSince = j.revision.Version
}

// Revision returns the revision of the replica.
func (j *Journal) Revision() Revision {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.revision
}

// ChangesSince returns the changes after a position, or the whole table if the journal
// does not know all of them or is of another era.
func (j *Journal) ChangesSince(after chivefollow.Position) chivefollow.Page {
	j.mu.Lock()
	defer j.mu.Unlock()
	version := after.Version
	p := chivefollow.Page{Era: j.revision.Era, Version: j.revision.Version, Confirmed: j.confirmedAt, Recovered: j.recoveredAt}
	p.Snapshot = version < j.completeSince || after.Era != j.revision.Era
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

// loaded reports whether the whole table has been read.
func (j *Journal) loaded() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.rows != nil
}
