package chivecaller

import "net/http"

// PromisesNotRun reports whether callers take a status for the promise that their request has not
// run and never will, so that they send it again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
