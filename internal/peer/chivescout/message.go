// Package chivescout implements calls to the process beside a rank: reading the
// rank and giving it orders costs less from its own VM.
package chivescout

import (
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// Error is the class of errors of this package.
var Error = errs.Class("scout")

// The paths of the calls.
const (
	pathOrder   = "/order"
	pathReport  = "/report"
	pathCounts  = "/counts"
	pathExperts = "/experts"
)

// Request is the body of every call.
type Request struct {
	// ID is the runner that is meant.
	ID    string           `cbor:"id"`
	Rank  int              `cbor:"rank"`
	Order *chiverank.Order `cbor:"order,omitempty"`
}

// Reply is the body of every answer.
type Reply struct {
	// Refused is "conflict" or "fenced" for an order that the rank refused.
	Refused string                  `cbor:"refused,omitempty"`
	Error   string                  `cbor:"error,omitempty"`
	Report  *chiverank.Report       `cbor:"report,omitempty"`
	Counts  *chiverank.ExpertCounts `cbor:"counts,omitempty"`
	Experts *chiverank.HeldExperts  `cbor:"held,omitempty"`
}

// The values of Reply.Refused.
const (
	refusedConflict = "conflict"
	refusedFenced   = "fenced"
)
