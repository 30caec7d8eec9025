package chivemesh

import (
	"errors"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Reading is a reading of the clock of a process that others echo. Readings of two processes
// cannot be compared, also if they run on the same VM: its clock may have begun anew between them.
type Reading struct {
	// Boot identifies the incarnation of the process, 0 if there was no reading.
	Boot uint64 `cbor:"boot"`
	// At is the moment by the clock of that process.
	At chiveclock.Moment `cbor:"at"`
}

// The reasons for which a reading is ignored.
var (
	errNoReading      = errors.New("there is no reading")
	errForeignReading = errors.New("the reading is of another process")
	errFutureReading  = errors.New("the reading is of the future")
)

// moment returns the moment of a reading that the process with the given incarnation gave out
// before now, or an error if it did not.
func (r Reading) moment(boot uint64, now chiveclock.Moment) (chiveclock.Moment, error) {
	switch {
	case r.Boot == 0:
		return 0, errNoReading
	case r.Boot != boot:
		return 0, errForeignReading
	case r.At > now:
		return 0, errFutureReading
	}
	return r.At, nil
}
