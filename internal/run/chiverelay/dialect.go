// Package chiverelay forwards the requests of callers to runners, with retries and
// migration of streams between runners, and returns the responses.
package chiverelay

import (
	"net/http"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivecost"
)

// Request holds the values of a caller's request header.
type Request struct {
	// ID identifies this attempt of the caller.
	ID string
	// Key is the caller's API key, which belongs to a workspace.
	Key string
	// Timeout is how long the caller waits for the response; 0 if not specified.
	Timeout time.Duration
	// LastEvent is the ID of the last event that the caller received, or -1.
	LastEvent int64
	// Cost is the expected cost of the request, in the unit of its service; 0 if
	// the caller does not state it.
	Cost float64
	// Stated holds what the caller says of the lengths of its prompt and its answer.
	Stated chivecost.Statement
	// Parts holds the IDs of those parts of the prompt that other prompts may share. They refer to
	// the memory of the head.
	Parts []string
}

// RunnerRequest holds the values that the header of a request to a runner carries
// in addition to the caller's own header fields.
type RunnerRequest struct {
	// Runner is the ID of the runner that must serve the request; others refuse it.
	Runner    string
	Workspace string
	// TimeLeft is the time until the caller's deadline or the route's timeout,
	// whichever comes first.
	TimeLeft time.Duration
	// LastEvent is the ID of the last event that the caller received, or -1.
	LastEvent int64
	// Priority is 0 for the most urgent requests; -1 sets none.
	Priority int
}

// Response holds the values of a runner's response header.
type Response struct {
	// Signed reports whether the response carries the runner's signature and the
	// ID of the request.
	Signed bool
	// NotRun reports whether the runner did not and will not run the request.
	NotRun bool
	// Misdirected reports that the response comes from another runner than the expected
	// one, of which it says nothing.
	Misdirected bool
	// Rate is the number of requests per second that the runner accepts from all entry VMs
	// together, nil if it names none. MalformedRate is the text of a rate that could not be
	// decoded.
	Rate          *float64
	MalformedRate string
	// Leaving reports that the runner takes no new requests.
	Leaving bool
	// Pause is how long the runner wants no requests from this entry VM, 0 if it has not
	// asked for a pause.
	Pause time.Duration
	// MalformedPause is the text of a length that could not be decoded; Pause is then the
	// length that is assumed.
	MalformedPause string
	// FaultAddress is the address of the runner at fault, or empty if the response
	// does not name one.
	FaultAddress string
}

// Dialect decodes and encodes the headers that callers and runners use.
type Dialect interface {
	// Request decodes the header of a caller's request. The text of its error is
	// sent to the caller.
	Request(r *http.Request) (Request, error)
	// Outgoing returns the header of the request to a runner, derived from the
	// caller's header in.
	Outgoing(in http.Header, o RunnerRequest) http.Header
	// Matches reports whether a response belongs to the request with an ID.
	Matches(id string, resp *http.Response) bool
	// Anonymous reports whether a response that matches does not name its request.
	Anonymous(resp *http.Response) bool
	// Response decodes the header of a runner's response.
	Response(resp *http.Response) Response
	// Returned copies those fields of a runner's response header that are returned
	// to the caller.
	Returned(to, from http.Header)
	// Refuse sets the header field that tells the caller after which time to retry.
	Refuse(h http.Header, after time.Duration)
}
