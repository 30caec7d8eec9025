// Package chivehub implements hubs: in each availability zone one entry VM, the hub,
// reads the platform's store, and the other entry VMs of the zone read its replicas of
// the tables.
package chivehub

import "time"

const (
	// LongPollWait is how long a hub's call for the operators' table waits for a
	// change. It bounds the age of the data in a zone.
	LongPollWait = 500 * time.Millisecond
	// maxStoreSilence is the maximum time since the store last answered a hub: a call
	// of LongPollWait, two report periods and a margin. A drained runner may get
	// requests for up to two seconds, and within that time the members must also
	// detect a hub that lost the store.
	maxStoreSilence = 1100 * time.Millisecond
)

// Member is the state of an entry VM of a zone, as known to another one.
type Member struct {
	Name string
	// Leaving is set when it accepts no new callers.
	Leaving bool
	// SinceStoreAnswer is the time since the store last answered it. It is negative if
	// the store never answered, or if the last call for some table failed.
	SinceStoreAnswer time.Duration
}

// Choose returns the name of a zone's hub: the first by name of the members that are
// not leaving and that the store answers. It returns "" if there is none.
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

// Position returns the number of members that are not leaving and precede self by name.
func Position(self string, members []Member) int {
	n := 0
	for _, m := range members {
		if !m.Leaving && m.Name < self {
			n++
		}
	}
	return n
}
