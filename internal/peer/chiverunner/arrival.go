package chiverunner

import (
	"errors"
	"io"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// ErrStalled is returned for an event of which few bytes arrive now and then without completing
// it.
var ErrStalled = errors.New("event is not completed")

const (
	// eventTime is the time, without its longest silence, in which minEventBytes of an event
	// that is not whole must arrive: a runner writes an event at once, and a path that loses
	// packets delays all of it.
	eventTime = 5 * time.Second
	// minEventBytes is less than a packet, so that a path which lets any through in eventTime
	// does not end a stream.
	minEventBytes = 1 << 10
)

// arrivalReader measures how fast the bytes of an event arrive.
type arrivalReader struct {
	source io.Reader
	clock  chiveclock.Clock
	// first is when the first bytes of the event have arrived, or when minEventBytes more had
	// arrived in time; last is when the latest have, both 0 if none has. silence is the longest
	// time between two arrivals since first, size the number of bytes after it.
	first, last chiveclock.Moment
	silence     time.Duration
	size        int
}

// begin begins an event. buffered reports whether bytes of it have arrived already.
func (r *arrivalReader) begin(buffered bool) {
	r.first, r.silence, r.size = 0, 0, 0
	if buffered {
		// They came with the event before.
		r.first = r.last
	}
}

// Read implements io.Reader. It returns ErrStalled if too few bytes have arrived before.
func (r *arrivalReader) Read(b []byte) (int, error) {
	if r.first != 0 && r.last.Sub(r.first)-r.silence > eventTime {
		if r.size < minEventBytes {
			return 0, Error.Wrap(ErrStalled)
		}
		r.first, r.silence, r.size = r.last, 0, 0
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
		r.size += n
	}
	r.last = now
	return n, err
}
