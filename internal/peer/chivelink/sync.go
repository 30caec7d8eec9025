package chivelink

import (
	"errors"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// A Sync is exchanged in both directions on a long-lived stream, every second
// and at once when the configuration changes.
type Sync struct {
	// Node is the sender; it is left out after the first sync of a stream.
	Node          Node                `cbor:"node,omitzero"`
	ConfigVersion uint64              `cbor:"version"`
	Stamp         chivetime.Timestamp `cbor:"stamp"`
	// SheetDigest is that of the sheet that the sender holds; it is left out where it
	// is the same as in the sync before.
	SheetDigest string `cbor:"digest,omitempty"`
	// Head is the sender's head row, where the receiver's version is older.
	Head []byte `cbor:"head,omitempty"`
	// Sheet is the sheet of Head, where the receiver does not hold it.
	Sheet []byte `cbor:"sheet,omitempty"`
	// Departures holds the gateways that are going to stop.
	Departures []Departure `cbor:"leaving,omitempty"`
	// Alerts holds the groups whose ranks wait to be set.
	Alerts []Alert `cbor:"alerts,omitempty"`
}

// Check returns an error where a departure names no gateway.
func (s *Sync) Check() error {
	for _, d := range s.Departures {
		if d.Name == "" {
			return errors.New("departure names no gateway")
		}
	}
	return nil
}

// An Alert says that a rank of a group waits held, so that the group takes no
// step, though no coordinator is at work.
type Alert struct {
	Group string `cbor:"group" json:"group"`
	// ID tells alerts of one group apart.
	ID string `cbor:"id" json:"id"`
	// TTL is the time until the alert is forgotten.
	TTL time.Duration `cbor:"left" json:"left"`
}

// A Departure says that a gateway is going to stop.
type Departure struct {
	Name string `cbor:"name" json:"name"`
	Boot uint64 `cbor:"boot" json:"boot"`
	// TTL is the time until the departure is forgotten.
	TTL time.Duration `cbor:"left" json:"left"`
}
