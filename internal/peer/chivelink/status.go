package chivelink

import (
	"errors"

	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Query requests the status of a process.
type Query struct {
	// From is the name of the requesting process. It also makes the packet long
	// enough for a restarted process to answer it with a stateless reset.
	From string `cbor:"from"`
	// IncludeEvents requests the timeline events that match Filter as well.
	IncludeEvents bool             `cbor:"events,omitempty"`
	Filter        chivetime.Filter `cbor:"filter"`
}

// Status is the state of a process.
type Status struct {
	Node Node `cbor:"node" json:"node"`
	// ConfigVersion is the version of the configuration in force, or 0 before the first.
	ConfigVersion uint64 `cbor:"version" json:"version"`
	// State is "starting", "serving", "stale" or "leaving". A stale agent refuses
	// calls because it has had no sync for long.
	State string `cbor:"state" json:"state"`
	// Load is nil in the status of a gateway.
	Load   *Load             `cbor:"load,omitempty" json:"load,omitempty"`
	Events []chivetime.Event `cbor:"events,omitempty" json:"events,omitempty"`
}

// Check returns an error if the status has no node name.
func (s *Status) Check() error {
	if s.Node.Name == "" {
		return errors.New("status names no node")
	}
	return nil
}
