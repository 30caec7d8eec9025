// Package chiveoperator implements the client side and the messages of the HTTP API
// that gateways offer to operators.
package chiveoperator

import (
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Paths of the API.
const (
	PathHead   = "/operator/head"
	PathSheet  = "/operator/sheet"
	PathChange = "/operator/changes"
	PathNodes  = "/operator/nodes"
	PathEvents = "/operator/events"
)

// AcceptedChange is the answer to a change that was accepted.
type AcceptedChange struct {
	// Head is the head with the change.
	Head chiveconf.Head `json:"head"`
}

// NodeStatus is the status of one process.
type NodeStatus struct {
	chivelink.Status
	// Error says why the process did not return its status; it is empty if it did.
	Error string `json:"error,omitempty"`
}

// NodeList is the answer to a request for the status of every process.
type NodeList struct {
	// Version is the newest configuration version known to the gateway that
	// answered.
	Version uint64       `json:"version"`
	Nodes   []NodeStatus `json:"nodes"`
}

// Timeline is the answer to a request for the events of all processes.
type Timeline struct {
	// Events holds the events of every process that answered, oldest first.
	Events []chivetime.Event `json:"events"`
	// Missing holds the names of the processes that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// Rejection is the answer to a request that failed or was refused.
type Rejection struct {
	Error string `json:"error"`
	// Verdict says whether a change may have been accepted: "not-run" or
	// "may-have-run".
	Verdict string `json:"verdict"`
	// Faults holds the faults of a rejected sheet.
	Faults chivesheet.Faults `json:"faults,omitempty"`
}
