// Package chivescout implements the scout, a process on the VM of a rank that reads
// the rank and sends it orders on behalf of entry VMs, and the client that calls
// it. A call from the same VM takes less time and traffic.
package chivescout

import (
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// Error is the class of errors of this package.
var Error = errs.Class("scout")

// The paths at which a scout serves requests.
const (
	pathOrder   = "/order"
	pathReport  = "/report"
	pathCounts  = "/counts"
	pathExperts = "/experts"
)

// Request is the body of a request to a scout, on every path.
type Request struct {
	// ID identifies the runner of the rank.
	ID   string `cbor:"id"`
	Rank int    `cbor:"rank"`
	// Order is set on the path of orders only.
	Order *chiverank.Order `cbor:"order,omitempty"`
}

// Reply is the body of a reply of a scout. One of Report, Counts and Experts is set
// on the path of that name; none is needed for an order.
type Reply struct {
	// Refused is "conflict" or "fenced" for an order that the rank refused.
	Refused string `cbor:"refused,omitempty"`
	// Error is the text of the error; empty means success.
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
