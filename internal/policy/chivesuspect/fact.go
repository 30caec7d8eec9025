// Package chivesuspect finds the parts of prompts and the requests that crash runners, from
// the crashes of all runners that all entry VMs have seen.
package chivesuspect

import (
	"errors"
	"time"
)

// Fact is what an entry VM knows of a suspect. It is sent to other entry VMs, with ages in
// place of moments.
type Fact struct {
	Suspect
	// Crashes holds the latest crashes of runners that held an unanswered request with the
	// suspect, newest first.
	Crashes []Crash `cbor:"crashes,omitempty"`
	// Answered is how long ago a runner last answered a request with the suspect without a
	// crash, 0 if none is known to have done so.
	Answered time.Duration `cbor:"answered,omitempty"`
	// Requests is the largest number of requests that an entry VM has seen which knows of the
	// crashes.
	Requests int `cbor:"requests,omitempty"`
}

// Crash is the crash of a runner.
type Crash struct {
	// Runner names the incarnation of the runner.
	Runner string `cbor:"runner"`
	// Age is how long ago it crashed.
	Age time.Duration `cbor:"age"`
}

// maxNameLength is the greatest length in bytes of the ID of a suspect and of the name of a
// runner that is accepted from another entry VM.
const maxNameLength = 256

// Validate returns an error for a fact that no entry VM sends.
func (f *Fact) Validate() error {
	if f.ID == "" || len(f.ID) > maxNameLength || f.Kind >= kindCount {
		return errors.New("fact of a suspect has no or a long ID or an unknown kind")
	}
	if f.Answered < 0 || f.Requests < 0 || len(f.Crashes) > maxSentCrashes {
		return errors.New("fact of a suspect has a negative age or number, or too many crashes")
	}
	for _, c := range f.Crashes {
		if c.Runner == "" || len(c.Runner) > maxNameLength || c.Age < 0 {
			return errors.New("crash has no or a long runner or a negative age")
		}
	}
	return nil
}
