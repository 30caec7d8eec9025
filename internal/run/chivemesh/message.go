// Package chivemesh implements the reports that entry VMs send each other: that
// they live, what load they put on runners, and how new their configuration is.
// Entry VMs of an availability zone report to each other; one of them, the
// speaker, sums its zone up for the other zones and passes on what these send.
package chivemesh

import (
	"errors"
	"maps"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// A Packet is one datagram; one of its fields is set.
type Packet struct {
	Report *Report `cbor:"report,omitempty"`
	Digest *Digest `cbor:"digest,omitempty"`
}

// A Header says when a message was sent, and bounds how old it is.
type Header struct {
	From string `cbor:"from"`
	Boot uint64 `cbor:"boot"`
	// SentAt is the sender's clock.
	SentAt chiveclock.Moment `cbor:"sent"`
	// EchoedSentAt is the receiver's clock in its last message to the sender, which was
	// kept for Kept before this one.
	EchoedSentAt chiveclock.Moment `cbor:"echo,omitempty"`
	EchoDelay    time.Duration     `cbor:"kept,omitempty"`
	// ConfigVersion is that of the sender's configuration, known to be the newest Age
	// before the message.
	ConfigVersion int64         `cbor:"version"`
	ConfigAge     time.Duration `cbor:"age"`
}

// validate returns an error for a stamp that no entry VM writes.
func (s *Header) validate() error {
	if s.From == "" || s.Boot == 0 || s.ConfigAge < 0 || s.EchoDelay < 0 {
		return errors.New("message has no sender or a negative age")
	}
	return nil
}

// A Report is what an entry VM tells the others of its zone.
type Report struct {
	Header
	Status
	// Revisions tell how new the sender's copies of the store's tables are.
	Revisions map[string]chivehub.Revision `cbor:"marks,omitempty"`
	// SlowRunners holds the paces of slow runners, as the holder of the duty knows them.
	SlowRunners map[string]float64 `cbor:"slow,omitempty"`
	Load
}

// Load is what entry VMs have at runners and have served.
type Load struct {
	// InFlight is the number of requests at each runner.
	InFlight map[string]int `cbor:"busy,omitempty"`
	// Served is the recent service of workspaces, by service and workspace.
	Served map[string]map[string]float64 `cbor:"served,omitempty"`
}

// clone returns a copy to which others can be added.
func (l *Load) clone() Load {
	c := Load{InFlight: maps.Clone(l.InFlight), Served: map[string]map[string]float64{}}
	for service, levels := range l.Served {
		c.Served[service] = maps.Clone(levels)
	}
	return c
}

// add adds the load of another entry VM.
func (l *Load) add(o *Load) {
	for id, n := range o.InFlight {
		l.InFlight[id] += n
	}
	for service, levels := range o.Served {
		if l.Served[service] == nil {
			l.Served[service] = map[string]float64{}
		}
		for workspace, level := range levels {
			l.Served[service][workspace] += level
		}
	}
}

// Status is the state of an entry VM.
type Status struct {
	// Leaving entry VMs take no new callers.
	Leaving bool `cbor:"leaving,omitempty"`
	// HoldsMapDuty says that it holds the duty to balance expert maps.
	HoldsMapDuty bool `cbor:"duty,omitempty"`
	// SinceStoreAnswer is how long ago the store last answered it; negative where it did
	// not.
	SinceStoreAnswer time.Duration `cbor:"answered"`
}

// A Digest sums up the entry VMs of a zone for other zones.
type Digest struct {
	Header
	Zone string `cbor:"zone"`
	// RelayDelay is how long ago the speaker of the zone made the digest, where another
	// entry VM passes it on; 0 where it comes from the speaker.
	RelayDelay  time.Duration      `cbor:"held,omitempty"`
	Members     map[string]Member  `cbor:"members"`
	SlowRunners map[string]float64 `cbor:"slow,omitempty"`
	Load
}

// A Member is an entry VM of a digest.
type Member struct {
	Boot uint64 `cbor:"boot"`
	Status
}

// decode reads a datagram.
func decode(data []byte) (*Packet, error) {
	var p Packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		return nil, err
	}
	switch {
	case p.Report != nil && p.Digest == nil:
		return &p, p.Report.validate()
	case p.Digest != nil && p.Report == nil:
		if p.Digest.Zone == "" || p.Digest.RelayDelay < 0 {
			return nil, errors.New("digest has no zone or a negative age")
		}
		return &p, p.Digest.validate()
	}
	return nil, errors.New("datagram holds no message")
}
