package chiveverdict

import (
	"errors"
	"fmt"
	"time"
)

// A Code names the cause of a failure in wire formats.
type Code string

// The codes of failures.
const (
	CodeInvalid     Code = "invalid"
	CodeKey         Code = "key"
	CodeModel       Code = "model"
	CodeOverload    Code = "overload"
	CodeBusy        Code = "busy"
	CodeDrain       Code = "drain"
	CodeStale       Code = "stale"
	CodeMismatch    Code = "mismatch"
	CodeConflict    Code = "conflict"
	CodeMoved       Code = "moved"
	CodeTimeout     Code = "timeout"
	CodeUnreachable Code = "unreachable"
	CodeCut         Code = "cut"
	CodeStore       Code = "store"
	CodeCanceled    Code = "canceled"
)

// A Failure is an error that says whether the request may have run and when
// the caller may try again.
type Failure struct {
	Verdict    Verdict       `cbor:"verdict"`
	Code       Code          `cbor:"code"`
	Text       string        `cbor:"text"`
	RetryAfter time.Duration `cbor:"after,omitempty"`
	// NeverRuns says that the agent which was bound to the request's idempotency
	// key has not run it and never will.
	NeverRuns bool `cbor:"promised,omitempty"`
	// FromAgent says that the agent itself reported the failure. It is false where
	// the gateway could not reach the agent.
	FromAgent bool `cbor:"-"`
}

// NotRunf returns a new Failure of a request that did not and will not run.
func NotRunf(code Code, after time.Duration, format string, args ...any) *Failure {
	return &Failure{Verdict: NotRun, Code: code, Text: fmt.Sprintf(format, args...), RetryAfter: after}
}

// MayHaveRunf returns a new Failure of a request of which nothing is certain.
func MayHaveRunf(code Code, format string, args ...any) *Failure {
	return &Failure{Verdict: MayHaveRun, Code: code, Text: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Verdict, f.Text)
}

// FromError returns the failure that an error carries, or one of verdict MayHaveRun
// around any other error. It returns nil for a nil error.
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
