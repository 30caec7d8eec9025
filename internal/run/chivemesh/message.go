// Package chivemesh implements the reports that entry VMs send each other over UDP.
// They show which entry VMs are alive, the load that each puts on runners, and how
// new its configuration is. The entry VMs of an availability zone report to each
// other. One of them, the aggregator, sends a digest of its zone to the other zones
// and relays their digests to its own zone.
package chivemesh

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivecap"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"
	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Packet is the content of one datagram. Exactly one of its fields is set.
type Packet struct {
	Report *Report `cbor:"report,omitempty"`
	Digest *Digest `cbor:"digest,omitempty"`
	Pulse  *Pulse  `cbor:"pulse,omitempty"`
}

// Header identifies the sender of a message and says how new its configuration is.
// The echoed time lets the receiver bound the age of the message without
// synchronized clocks.
type Header struct {
	// From is the name of the sender, and Boot the incarnation of its process.
	From string `cbor:"from"`
	Boot uint64 `cbor:"boot"`
	// SentAt is when the message was sent, by the sender's clock.
	SentAt chiveclock.Moment `cbor:"sent"`
	// Echo is SentAt of the last message that the sender got from the receiver, as a reading
	// of the receiver's clock. EchoDelay is the time from the arrival of that message until
	// this one was sent.
	Echo      Reading       `cbor:"heard,omitzero"`
	EchoDelay time.Duration `cbor:"kept,omitempty"`
	// ConfigVersion is the version of the sender's configuration, or 0 if it has
	// none. It was known to be the newest ConfigAge before the message was sent.
	ConfigVersion int64         `cbor:"version"`
	ConfigAge     time.Duration `cbor:"age"`
	// configConfirmedAt is the moment from which ConfigAge is computed when SentAt is read, so
	// that no suspension lies between both.
	configConfirmedAt chiveclock.Moment
}

// validate returns an error for a header that no entry VM sends.
func (h *Header) validate() error {
	if h.From == "" || h.Boot == 0 || h.ConfigAge < 0 || h.EchoDelay < 0 {
		return errors.New("message header has no sender, no boot ID or a negative duration")
	}
	return nil
}

// Report is sent by an entry VM to the others of its zone.
type Report struct {
	Header
	Status
	// Revisions holds the revisions of the sender's replicas of the store's tables,
	// by table.
	Revisions map[string]chivehub.Revision `cbor:"marks,omitempty"`
	// SlowRunners holds the slowdown of each slow runner by ID, as detected by the
	// holder of the map duty.
	SlowRunners map[string]float64 `cbor:"slow,omitempty"`
	// Retries is the sender's use of the retry budgets, nil if it does not know yet what the
	// process before it has used.
	Retries *chivequota.RetryUse `cbor:"retries,omitempty"`
	// Former is what the sender remembers of the process before the receiver's, for a receiver
	// that has started not long ago.
	Former *chivequota.FormerUse `cbor:"former,omitempty"`
	Load
	Facts
}

// validate returns an error for a report that no entry VM sends.
func (r *Report) validate() error {
	err := errors.Join(r.Header.validate(), r.Facts.validate(), r.Load.validate(), checkRates(r.SlowRunners), r.unpack())
	if r.Retries != nil {
		err = errors.Join(err, r.Retries.Validate())
	}
	if r.Former != nil {
		err = errors.Join(err, r.Former.Validate())
	}
	return err
}

// Facts is what an entry VM has learned of prompts and runners, itself or from others. Facts
// tell their age, so that a digest may carry those of its sender alone: it has those of its
// zone.
type Facts struct {
	// Suspects holds the parts of prompts under which runners have crashed.
	Suspects []chivesuspect.Fact `cbor:"suspects,omitempty"`
	// Rates holds the request rates that runners have named.
	Rates []chivecap.Fact `cbor:"rates,omitempty"`
}

// validate returns an error for facts that no entry VM sends.
func (f *Facts) validate() error {
	for i := range f.Suspects {
		if err := f.Suspects[i].Validate(); err != nil {
			return err
		}
	}
	for i := range f.Rates {
		if err := f.Rates[i].Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Load is the load that one or more entry VMs put on runners.
type Load struct {
	// InFlight is the number of requests in flight at each runner, by its ID.
	InFlight map[string]int `cbor:"busy,omitempty"`
	// Work is the work left of these requests, in usual requests by runner ID; nil if it is
	// not estimated. PackedWork is its form in messages.
	Work       map[string]float64 `cbor:"-"`
	PackedWork []byte             `cbor:"work,omitempty"`
	// Served is the recent usage of workspaces, as cost per second by service and
	// workspace.
	Served map[string]map[string]float64 `cbor:"served,omitempty"`
}

// maxInFlight bounds the requests in flight at a runner, so that sums of them don't overflow.
const maxInFlight = 1 << 24

// validate returns an error for a load that no entry VM puts on runners.
func (l *Load) validate() error {
	for _, n := range l.InFlight {
		if n < 0 || n > maxInFlight {
			return fmt.Errorf("load has %d requests at a runner, want 0 to %d", n, maxInFlight)
		}
	}
	for _, rates := range l.Served {
		if err := checkRates(rates); err != nil {
			return err
		}
	}
	return nil
}

// checkRates returns an error for a value that is negative or not finite.
func checkRates(rates map[string]float64) error {
	for name, rate := range rates {
		if !(rate >= 0) || math.IsInf(rate, 1) {
			return fmt.Errorf("value of %q is %v, want 0 or more", name, rate)
		}
	}
	return nil
}

// clone returns a deep copy.
func (l *Load) clone() Load {
	c := Load{InFlight: maps.Clone(l.InFlight), Work: maps.Clone(l.Work), Served: map[string]map[string]float64{}}
	for service, rates := range l.Served {
		c.Served[service] = maps.Clone(rates)
	}
	return c
}

// add adds the load of another entry VM.
func (l *Load) add(o *Load) {
	l.addWork(o)
	for id, n := range o.InFlight {
		l.InFlight[id] += n
	}
	for service, rates := range o.Served {
		if l.Served[service] == nil {
			l.Served[service] = map[string]float64{}
		}
		for workspace, rate := range rates {
			l.Served[service][workspace] += rate
		}
	}
}

// Status is the state of an entry VM.
type Status struct {
	// Leaving is set when it accepts no new callers.
	Leaving bool `cbor:"leaving,omitempty"`
	// HoldsMapDuty is set while it holds the duty to balance expert maps.
	HoldsMapDuty bool `cbor:"duty,omitempty"`
	// SinceStoreAnswer is the time since the store last answered it, or negative if
	// the store does not answer.
	SinceStoreAnswer time.Duration `cbor:"answered"`
}

// Digest is the summary of the entry VMs of a zone that is sent to other zones.
type Digest struct {
	Header
	Zone string `cbor:"zone"`
	// RelayDelay is the time since the digest arrived at the entry VM that relays it
	// within its zone; 0 in a digest that comes directly from the aggregator.
	RelayDelay time.Duration `cbor:"held,omitempty"`
	// Members holds the entry VMs of the zone that are alive, by name.
	Members map[string]Member `cbor:"members"`
	// SlowRunners holds the slowdown of each slow runner, by its ID.
	SlowRunners map[string]float64 `cbor:"slow,omitempty"`
	Load
	Facts
}

// validate returns an error for a digest that no entry VM sends.
func (d *Digest) validate() error {
	if d.Zone == "" || d.RelayDelay < 0 {
		return errors.New("digest has no zone or a negative relay delay")
	}
	return errors.Join(d.Header.validate(), d.Facts.validate(), d.Load.validate(), checkRates(d.SlowRunners), d.unpack())
}

// Member is an entry VM in a digest.
type Member struct {
	// Boot identifies the incarnation of its process.
	Boot uint64 `cbor:"boot"`
	Status
}

// decode decodes and validates a datagram.
func decode(data []byte) (*Packet, error) {
	var p Packet
	if err := cbor.Unmarshal(data, &p); err != nil {
		return nil, err
	}
	switch {
	case p.Pulse != nil && p.Report == nil && p.Digest == nil:
		return &p, p.Pulse.validate()
	case p.Pulse != nil:
	case p.Report != nil && p.Digest == nil:
		return &p, p.Report.validate()
	case p.Digest != nil && p.Report == nil:
		return &p, p.Digest.validate()
	}
	return nil, errors.New("datagram does not hold exactly one report, digest or pulse")
}
