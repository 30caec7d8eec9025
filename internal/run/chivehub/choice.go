// Package chivehub implements hubs: in each availability zone one entry VM follows
// the platform's store, and the others of the zone take its copies of the tables.
package chivehub

import "time"

const (
	// LongPollWait is how long a hub's call for the operators' table waits for a change.
	// It bounds the age of what a zone knows.
	LongPollWait = 500 * time.Millisecond
	// maxStoreSilence is how long after its last answer from the store a hub is relied
	// on: a call of Wait and two periods of reports. A drained runner may get
	// requests for two seconds, in which a hub must be found cut off, too.
	maxStoreSilence = 1100 * time.Millisecond
)

// A Member is an entry VM of a zone, as another one sees it.
type Member struct {
	Name    string
	Leaving bool
	// SinceStoreAnswer is how long ago the store last answered it; negative where it
	// did not, or does not answer for every table.
	SinceStoreAnswer time.Duration
}

// Choose returns the name of a zone's hub: the first of the members by name that
// stay and that the store answers. It returns "" where none is.
func Choose(members []Member) string {
	hub := ""
	for _, m := range members {
		if m.Leaving || m.SinceStoreAnswer < 0 || m.SinceStoreAnswer > maxStoreSilence {
			continue
		}
		if hub == "" || m.Name < hub {
			hub = m.Name
		}
	}
	return hub
}

// Position returns how many members that stay come before one by name.
func Position(self string, members []Member) int {
	n := 0
	for _, m := range members {
		if !m.Leaving && m.Name < self {
			n++
		}
	}
	return n
}
