package chiveverdict

import (
	"errors"
	"fmt"
	"time"
)

// Code identifies the cause of a failure in wire formats.
type Code string

// The codes of failures.
const (
	// CodeInvalid means that the request is invalid, for example malformed or too
	// large.
	CodeInvalid Code = "invalid"
	// CodeKey means that the API key is missing or unknown, or that its workspace
	// does not exist.
	CodeKey Code = "key"
	// CodeModel means that the model or service does not exist.
	CodeModel Code = "model"
	// CodeOverload means that the endpoint, or every endpoint, lacks capacity for the
	// request or for its idempotency key.
	CodeOverload Code = "overload"
	// CodeBusy means that the endpoint has no free slot for a request that must
	// not wait.
	CodeBusy Code = "busy"
	// CodeDrain means that the endpoint is draining, is stopping, has stopped or is
	// not in the sheet.
	CodeDrain Code = "drain"
	// CodeStale means that the configuration is missing or too old.
	CodeStale Code = "stale"
	// CodeMismatch means that the request was sent to the wrong endpoint, or that
	// its idempotency key was used for another request or service.
	CodeMismatch Code = "mismatch"
	// CodeConflict means that a change conflicts with another one, or that an
	// idempotency key is bound to an endpoint or incarnation that no longer exists.
	CodeConflict Code = "conflict"
	// CodeMoved means that the endpoint promised never to run the request under
	// its idempotency key, so that the key could be bound to another endpoint.
	CodeMoved Code = "moved"
	// CodeTimeout means that the request did not complete in time.
	CodeTimeout Code = "timeout"
	// CodeUnreachable means that an agent, an engine or a service could not be
	// reached or did not answer.
	CodeUnreachable Code = "unreachable"
	// CodeCut means that the answer failed midway or was lost.
	CodeCut Code = "cut"
	// CodeStore means that the store could not be read or written.
	CodeStore Code = "store"
	// CodeCanceled means that the caller or the gateway canceled the request.
	CodeCanceled Code = "canceled"
)

// Failure is an error that says whether the request may have run and when the
// caller may try again.
type Failure struct {
	Verdict Verdict `cbor:"verdict"`
	Code    Code    `cbor:"code"`
	// Text describes the failure to callers and operators.
	Text string `cbor:"text"`
	// RetryAfter is the time to wait before another attempt; 0 means unspecified.
	RetryAfter time.Duration `cbor:"after,omitempty"`
	// NeverRuns reports whether the agent that the request's idempotency key was
	// bound to has promised that it did not run the request and never will.
	NeverRuns bool `cbor:"promised,omitempty"`
	// FromAgent reports whether the agent itself reported the failure. It is false
	// if the gateway could not reach the agent.
	FromAgent bool `cbor:"-"`
}

// NotRunf returns a Failure of a request that did not run and will not run.
func NotRunf(code Code, retryAfter time.Duration, format string, args ...any) *Failure {
	return &Failure{Verdict: NotRun, Code: code, Text: fmt.Sprintf(format, args...), RetryAfter: retryAfter}
}

// MayHaveRunf returns a Failure of a request that may have run.
func MayHaveRunf(code Code, format string, args ...any) *Failure {
	return &Failure{Verdict: MayHaveRun, Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error returns the code, the verdict and the text of the failure.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Verdict, f.Text)
}

// FromError returns the Failure that err wraps. It returns nil if err is nil, and
// a Failure with the verdict MayHaveRun and CodeCut for any other error.
func FromError(err error) *Failure {
	if err == nil {
		return nil
	}
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return MayHaveRunf(CodeCut, "%v", err)
}
