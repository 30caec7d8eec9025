package chivelink

import (
	"time"
)

// A Load is what an agent says of its endpoint with an answer.
type Load struct {
	Running int `cbor:"running" json:"running"`
	Waiting int `cbor:"waiting" json:"waiting"`
	// Limit is the number of requests that the endpoint bears now.
	Limit int `cbor:"limit" json:"limit"`
	// MeanStepTime is the mean time between tokens.
	MeanStepTime time.Duration `cbor:"step" json:"step"`
	// Boot is the incarnation of the agent.
	Boot uint64 `cbor:"boot" json:"boot"`
}
