package chiverelay

import "github.com/chiveyoke/chiveyoke/internal/peer/chivecaller"

// mayAnswer reports whether the request may be answered with a status: one that promises that the
// request has not run is kept from the caller once a runner may have started it. All responses are
// checked by it, those of runners before any of them is kept or returned.
func (x *exchange) mayAnswer(status int) bool {
	return !x.mayHaveRun || !chivecaller.PromisesNotRun(status)
}
