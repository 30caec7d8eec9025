package chivelink

import (
	"time"
)

// Load is the load of an endpoint, which its agent reports in statuses and with the
// last frame of every call.
type Load struct {
	// Running and Waiting are the numbers of running and queued calls.
	Running int `cbor:"running" json:"running"`
	Waiting int `cbor:"waiting" json:"waiting"`
	// Limit is the number of calls that may run at once at present.
	Limit int `cbor:"limit" json:"limit"`
	// MeanStepTime is the mean time between tokens.
	MeanStepTime time.Duration `cbor:"step" json:"step"`
	// Boot is the incarnation of the agent that new idempotency keys are bound to.
	Boot uint64 `cbor:"boot" json:"boot"`
}
