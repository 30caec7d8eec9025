// Package chivecaller implements the formats of the HTTP answers to callers.
package chivecaller

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// ErrorBody is the JSON body of an error answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what went wrong and whether the request may have run.
type ErrorDetail struct {
	Message string `json:"message"`
	// Type is "invalid_request_error" for statuses below 500 and "server_error"
	// for others.
	Type    string               `json:"type"`
	Code    chiveverdict.Code    `json:"code"`
	Verdict chiveverdict.Verdict `json:"verdict"`
	// RetryAfter is the number of seconds after which the caller may try again, or
	// 0 if there is no such time.
	RetryAfter float64 `json:"after,omitempty"`
}

// NewErrorBody returns the ErrorBody that describes a failure.
func NewErrorBody(f *chiveverdict.Failure) ErrorBody {
	kind := "server_error"
	if Status(f) < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return ErrorBody{Error: ErrorDetail{
		Message: f.Text, Type: kind, Code: f.Code, Verdict: f.Verdict, RetryAfter: f.RetryAfter.Seconds(),
	}}
}

// statuses holds the HTTP status for each code of a failure.
var statuses = map[chiveverdict.Code]int{
	chiveverdict.CodeInvalid:     http.StatusBadRequest,
	chiveverdict.CodeKey:         http.StatusUnauthorized,
	chiveverdict.CodeModel:       http.StatusNotFound,
	chiveverdict.CodeOverload:    http.StatusTooManyRequests,
	chiveverdict.CodeBusy:        http.StatusTooManyRequests,
	chiveverdict.CodeDrain:       http.StatusServiceUnavailable,
	chiveverdict.CodeStale:       http.StatusServiceUnavailable,
	chiveverdict.CodeMismatch:    http.StatusUnprocessableEntity,
	chiveverdict.CodeConflict:    http.StatusConflict,
	chiveverdict.CodeMoved:       http.StatusServiceUnavailable,
	chiveverdict.CodeTimeout:     http.StatusGatewayTimeout,
	chiveverdict.CodeUnreachable: http.StatusServiceUnavailable,
	chiveverdict.CodeCut:         http.StatusBadGateway,
	chiveverdict.CodeStore:       http.StatusServiceUnavailable,
	chiveverdict.CodeCanceled:    http.StatusServiceUnavailable,
}

// Status returns the HTTP status for a failure, which is 500 for unknown codes. It is 502 in place of
// a status that promises that the request has not run, unless that is the verdict.
func Status(f *chiveverdict.Failure) int {
	status, ok := statuses[f.Code]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case f.Verdict != chiveverdict.NotRun && PromisesNotRun(status):
		return http.StatusBadGateway
	}
	return status
}

// WriteError answers a request with a failure. Its headers state the verdict and,
// if there is one, the time after which to try again.
func WriteError(c echo.Context, f *chiveverdict.Failure) error {
	if f.RetryAfter > 0 {
		c.Response().Header().Set("Retry-After", retryAfter(f.RetryAfter))
	}
	c.Response().Header().Set("X-Verdict", f.Verdict.String())
	return c.JSON(Status(f), NewErrorBody(f))
}

// retryAfter formats a duration for the Retry-After header, in whole seconds
// rounded up.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
