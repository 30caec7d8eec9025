package chivetime

import (
	"fmt"
	"sync"
)

// DefaultRingSize is the usual size of a Ring, in events.
const DefaultRingSize = 4096

// Event is an entry of the timeline of a process.
type Event struct {
	Timestamp Timestamp `cbor:"stamp" json:"stamp"`
	Process   string    `cbor:"process" json:"process"`
	// Kind is one word, such as "config" or "request".
	Kind string `cbor:"kind" json:"kind"`
	// Subject is the name of the request, availability zone, endpoint, group or
	// version that the event is about.
	Subject string `cbor:"subject" json:"subject"`
	Text    string `cbor:"text" json:"text"`
}

// Ring is a ring buffer of the newest events of a process. It is safe for
// concurrent use.
type Ring struct {
	// Clock returns the timestamps of the events.
	Clock Clock

	process string
	// mu guards the fields below.
	mu     sync.Mutex
	events []Event
	// next is the index of the next event to write.
	next int
	// full is true once all elements of events have been written.
	full bool
}

// NewRing returns a new Ring for the events of a process. It keeps the newest size
// events.
func NewRing(process string, size int) *Ring {
	return &Ring{process: process, events: make([]Event, size)}
}

// Add adds an event with the current time. A nil Ring ignores it.
func (r *Ring) Add(kind, subject, format string, args ...any) {
	if r == nil {
		return
	}
	text := format
	if len(args) > 0 {
		text = fmt.Sprintf(format, args...)
	}
	timestamp := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = Event{Timestamp: timestamp, Process: r.process, Kind: kind, Subject: subject, Text: text}
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Events returns the events that the filter selects, oldest first.
func (r *Ring) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Event
	if r.full {
		list = f.appendMatching(list, r.events[r.next:])
	}
	return f.appendMatching(list, r.events[:r.next])
}
