// Package chivemesh implements the reports that entry VMs send each other: that
// they live, what load they put on runners, and how new their configuration is.
package chivemesh

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
)

// A Report is one datagram from one entry VM to another.
type Report struct {
	From string `cbor:"from"`
	Boot uint64 `cbor:"boot"`
	// Sent is the sender's clock.
	Sent chiveboot.Moment `cbor:"sent"`
	// Echo is the receiver's clock in its last report to the sender, which was
	// kept for Kept before this report.
	Echo chiveboot.Moment `cbor:"echo,omitempty"`
	Kept time.Duration    `cbor:"kept,omitempty"`
	// Leaving entry VMs take no new callers.
	Leaving bool `cbor:"leaving,omitempty"`
	// Duty says that the sender holds the duty to balance expert maps.
	Duty bool `cbor:"duty,omitempty"`
	// Version is that of the sender's configuration, known to be the newest Age
	// before the report.
	Version int64         `cbor:"version"`
	Age     time.Duration `cbor:"age"`
	// Slow holds the paces of slow runners, as the holder of the duty knows them.
	Slow map[string]float64 `cbor:"slow,omitempty"`
	// Busy is the number of the sender's requests at each runner.
	Busy map[string]int `cbor:"busy,omitempty"`
}

// decode reads a datagram.
func decode(data []byte) (*Report, error) {
	var r Report
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	if r.From == "" || r.Boot == 0 || r.Age < 0 || r.Kept < 0 {
		return nil, errors.New("report has no sender or a negative age")
	}
	return &r, nil
}
