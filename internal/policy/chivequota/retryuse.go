package chivequota

import (
	"errors"
	"time"
)

// RetryHistory holds the requests and the retries of a service in the window.
type RetryHistory struct {
	Requests History `cbor:"requests,omitempty"`
	Retries  History `cbor:"retries,omitempty"`
}

// RetryUse is what an entry VM has used of the retry budgets, as it tells others.
type RetryUse struct {
	// Services holds the histories by service.
	Services map[string]RetryHistory `cbor:"services,omitempty"`
	// Sharers is the number of entry VMs that share the budgets.
	Sharers int `cbor:"sharers"`
}

// Validate returns an error for a use that no entry VM tells.
func (u *RetryUse) Validate() error {
	if u.Sharers < 0 {
		return errors.New("retry use has a negative number of sharers")
	}
	for _, h := range u.Services {
		if err := errors.Join(h.Requests.Validate(), h.Retries.Validate()); err != nil {
			return err
		}
	}
	return nil
}

// FormerUse is what another entry VM remembers of the process that ran before this one on the
// same VM.
type FormerUse struct {
	RetryUse
	// Age is the time since that process last told its use. It is the span of the window if
	// the other one has listened for so long and heard of no such process.
	Age time.Duration `cbor:"age"`
}

// Validate returns an error for a use that no entry VM remembers.
func (f *FormerUse) Validate() error {
	if f.Age < 0 {
		return errors.New("former retry use has a negative age")
	}
	return f.RetryUse.Validate()
}
