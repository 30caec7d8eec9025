package chivetime

import (
	"fmt"
	"sync"
)

// DefaultRingSize is the number of events that a Ring keeps by default.
const DefaultRingSize = 4096

// An Event is one thing that happened in a process.
type Event struct {
	Timestamp Timestamp `cbor:"stamp" json:"stamp"`
	Process   string    `cbor:"process" json:"process"`
	// Kind is one word, as "zone" or "request".
	Kind string `cbor:"kind" json:"kind"`
	// Subject names what the event is about: a request, an availability zone,
	// an endpoint, a group or a version.
	Subject string `cbor:"subject" json:"subject"`
	Text    string `cbor:"text" json:"text"`
}

// A Ring keeps the newest events of a process.
type Ring struct {
	// Clock stamps the events.
	Clock Clock

	process string
	mu      sync.Mutex
	events  []Event
	next    int
	full    bool
}

// NewRing returns a new Ring of a process that keeps up to size events.
func NewRing(process string, size int) *Ring {
	return &Ring{process: process, events: make([]Event, size)}
}

// Add records an event.
func (r *Ring) Add(kind, subject, format string, args ...any) {
	if r == nil {
		return
	}
	text := format
	if len(args) > 0 {
		text = fmt.Sprintf(format, args...)
	}
	stamp := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events[r.next] = Event{Timestamp: stamp, Process: r.process, Kind: kind, Subject: subject, Text: text}
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Events returns the events that pass the filter, oldest first.
func (r *Ring) Events(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Event
	if r.full {
		list = f.appendTo(list, r.events[r.next:])
	}
	return f.appendTo(list, r.events[:r.next])
}
