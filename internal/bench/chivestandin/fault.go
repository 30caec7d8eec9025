package chivestandin

import (
	"net/http"
	"sync"
	"time"
)

// Fault is a fault to inject into the requests of one target.
type Fault struct {
	// Target is "table", "object", "vms" or the name of an endpoint.
	Target string `json:"target"`
	Kind   Kind   `json:"kind"`
	// Count is the number of requests that the fault affects; 0 stands for all until
	// KindNone is set.
	Count int `json:"count,omitempty"`
	// Millis is the delay of KindSlow in milliseconds.
	Millis int `json:"millis,omitempty"`
	// After is the number of tokens that KindCut lets through.
	After int `json:"after,omitempty"`
}

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	// KindNone removes the fault of the target.
	KindNone Kind = "none"
	// KindDown refuses requests with status 500.
	KindDown Kind = "down"
	// KindSlow delays requests.
	KindSlow Kind = "slow"
	// KindLost carries out requests and drops their responses. An engine sends all tokens
	// and drops only the end of the stream.
	KindLost Kind = "lost"
	// KindCut aborts a stream of an engine midway.
	KindCut Kind = "cut"
	// KindStall makes an engine produce no tokens and report no error.
	KindStall Kind = "stall"
	// KindRestart restarts an engine: all its streams are aborted, and it is cold.
	KindRestart Kind = "restart"
	// KindCold makes an engine cold without a new incarnation.
	KindCold Kind = "cold"
	// KindLax makes an engine ignore fencing tokens.
	KindLax Kind = "lax"
)

// faultInjector holds the active fault of one target.
type faultInjector struct {
	mu     sync.Mutex
	active Fault
}

// set replaces the active fault.
func (f *faultInjector) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = fault
}

// nextFault returns the fault that affects the next request, or the zero Fault, and
// counts the request.
func (f *faultInjector) nextFault() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault := f.active
	if fault.Count > 0 {
		f.active.Count--
		if f.active.Count == 0 {
			f.active = Fault{}
		}
	}
	return fault
}

// applyBefore applies a fault that takes effect before a request is carried out. It
// reports whether to carry out the request; if not, it has written the response.
func (f Fault) applyBefore(w http.ResponseWriter) bool {
	switch f.Kind {
	case KindSlow:
		time.Sleep(time.Duration(f.Millis) * time.Millisecond)
	case KindDown:
		http.Error(w, "the stand-in is down", http.StatusInternalServerError)
		return false
	}
	return true
}

// applyAfter applies a fault that takes effect after a request is carried out: for
// KindLost it aborts the connection with a panic.
func (f Fault) applyAfter() {
	if f.Kind == KindLost {
		panic(http.ErrAbortHandler)
	}
}
