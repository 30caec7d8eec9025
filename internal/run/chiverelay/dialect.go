// Package chiverelay implements the way of a request from its caller to a
// runner and of the answer back.
package chiverelay

import (
	"net/http"
	"time"
)

// A Request is what the headers of a caller's request say.
type Request struct {
	// ID names this attempt of the caller.
	ID string
	// Key is that of a workspace.
	Key string
	// Timeout is how long the caller waits; 0 means that it does not say.
	Timeout time.Duration
	// LastEvent is the id of the last event that the caller has, or -1.
	LastEvent int64
	// Cost is what the request is expected to cost, in the unit of its service; 0
	// where its caller does not say.
	Cost float64
}

// RunnerRequest is what a runner is told of a request besides the caller's own
// headers.
type RunnerRequest struct {
	// Runner is the endpoint that is meant; another refuses the request.
	Runner    string
	Workspace string
	// TimeLeft is the time until the caller's deadline or the route's timeout.
	TimeLeft time.Duration
	// LastEvent is the id of the last event that the caller has, or -1.
	LastEvent int64
	// Priority is 0 for the most urgent requests, -1 to set none.
	Priority int
}

// Response is what the header of a runner's answer says.
type Response struct {
	// Signed says that it carries the runner's signature and the request's id.
	Signed bool
	// NotRun says that the runner did not and will not run the request.
	NotRun bool
	// FaultAddress is the address of the runner at fault, where the answer names one.
	FaultAddress string
}

// A Dialect reads and writes the headers that callers and runners use.
type Dialect interface {
	// Request returns what a caller asks. Its error is for the caller.
	Request(r *http.Request) (Request, error)
	// Outgoing returns the headers for a runner, made from the caller's.
	Outgoing(in http.Header, o RunnerRequest) http.Header
	// Matches reports whether an answer belongs to the request with the id.
	Matches(id string, resp *http.Response) bool
	// Answer returns what the header of an answer says.
	Answer(resp *http.Response) Response
	// Returned copies the headers of a runner's answer that the caller gets.
	Returned(to, from http.Header)
	// Refuse tells the caller when to come back.
	Refuse(h http.Header, after time.Duration)
}
