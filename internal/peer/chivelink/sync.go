package chivelink

import (
	"errors"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Sync is the message that two processes exchange on a long-lived stream,
// periodically and at once after a change.
type Sync struct {
	// Node is the sender. It is omitted after the sender's first sync on a stream.
	Node Node `cbor:"node,omitzero"`
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion uint64              `cbor:"version"`
	Stamp         chivetime.Timestamp `cbor:"stamp"`
	// SheetDigest is the digest of the sheet in force at the sender. It is omitted if
	// it is the same as in the sender's previous sync.
	SheetDigest string `cbor:"digest,omitempty"`
	// Head is the sender's head row, set if the receiver's version is older.
	Head []byte `cbor:"head,omitempty"`
	// Sheet is the sheet of Head, set if the receiver has another one.
	Sheet []byte `cbor:"sheet,omitempty"`
	// Departures lists the gateways that are about to stop.
	Departures []Departure `cbor:"leaving,omitempty"`
	// Alerts lists the alerts that have not expired.
	Alerts []Alert `cbor:"alerts,omitempty"`
}

// Check returns an error if a departure has no gateway name.
func (s *Sync) Check() error {
	for _, d := range s.Departures {
		if d.Name == "" {
			return errors.New("departure has no gateway name")
		}
	}
	return nil
}

// Alert reports that a rank of a group is held, so that the group runs no forward
// pass, though no coordinator is at work.
type Alert struct {
	Group string `cbor:"group" json:"group"`
	// ID identifies the alert.
	ID string `cbor:"id" json:"id"`
	// TTL is the remaining time until the alert expires.
	TTL time.Duration `cbor:"left" json:"left"`
}

// Departure reports that an incarnation of a gateway is about to stop.
type Departure struct {
	Name string `cbor:"name" json:"name"`
	Boot uint64 `cbor:"boot" json:"boot"`
	// TTL is the remaining time until the departure expires.
	TTL time.Duration `cbor:"left" json:"left"`
}
