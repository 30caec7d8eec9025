package chiverunner

import (
	"errors"
	"io"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// ErrStalled is returned for an event of which bytes arrive now and then without completing it.
var ErrStalled = errors.New("event is not completed")

// eventTime is how long an event may take from its first byte to its last, without its longest
// silence: a runner writes an event at once, and a path that loses packets delays all of it.
const eventTime = 5 * time.Second

// arrivalReader measures how long the bytes of an event take to arrive.
type arrivalReader struct {
	source io.Reader
	clock  chiveclock.Clock
	// first and last are when the first and the latest bytes of the event have arrived, 0
	// if none has. silence is the longest time between two of them.
	first, last chiveclock.Moment
	silence     time.Duration
}

// begin begins an event. buffered reports whether bytes of it have arrived already.
func (r *arrivalReader) begin(buffered bool) {
	r.first, r.silence = 0, 0
	if buffered {
		// They came with the event before.
		r.first = r.last
	}
}

// Read implements io.Reader. It returns ErrStalled if the event should have been completed by
// the bytes before.
func (r *arrivalReader) Read(b []byte) (int, error) {
	if r.first != 0 && r.last.Sub(r.first)-r.silence > eventTime {
		return 0, Error.Wrap(ErrStalled)
	}
	n, err := r.source.Read(b)
	if n == 0 {
		return n, err
	}
	now := r.clock.Now()
	if r.first == 0 {
		r.first = now
	} else {
		r.silence = max(r.silence, now.Sub(r.last))
	}
	r.last = now
	return n, err
}
