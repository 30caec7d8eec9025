package chivelink

import (
	"errors"

	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// A Query asks a process for its status.
type Query struct {
	// From names the process that asks. It also makes the packet long enough
	// that a restarted process answers it with a stateless reset.
	From string `cbor:"from"`
	// IncludeEvents asks for the time line too.
	IncludeEvents bool             `cbor:"events,omitempty"`
	Filter        chivetime.Filter `cbor:"filter"`
}

// A Status is what a process says of itself.
type Status struct {
	Node          Node   `cbor:"node" json:"node"`
	ConfigVersion uint64 `cbor:"version" json:"version"`
	// State is "starting", "serving" or "leaving".
	State  string            `cbor:"state" json:"state"`
	Load   *Load             `cbor:"load,omitempty" json:"load,omitempty"`
	Events []chivetime.Event `cbor:"events,omitempty" json:"events,omitempty"`
}

// Check returns an error where the status names no process.
func (s *Status) Check() error {
	if s.Node.Name == "" {
		return errors.New("status names no node")
	}
	return nil
}
