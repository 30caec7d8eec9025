// Package chiveoperator implements the HTTP interface between the operators'
// command line and the gateways.
package chiveoperator

import (
	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// The paths of the interface.
const (
	PathHead   = "/operator/head"
	PathSheet  = "/operator/sheet"
	PathChange = "/operator/changes"
	PathNodes  = "/operator/nodes"
	PathEvents = "/operator/events"
)

// AcceptedChange answers a change that was accepted.
type AcceptedChange struct {
	Head chiveconf.Head `json:"head"`
}

// A NodeStatus is the status of one process, or why it gave none.
type NodeStatus struct {
	chivelink.Status
	Error string `json:"error,omitempty"`
}

// NodeList is the status of every process.
type NodeList struct {
	// Version is the newest version known to the gateway that was asked.
	Version uint64       `json:"version"`
	Nodes   []NodeStatus `json:"nodes"`
}

// Timeline is the merged events of every process that answered.
type Timeline struct {
	Events []chivetime.Event `json:"events"`
	// Missing names the processes that gave no answer.
	Missing []string `json:"missing,omitempty"`
}

// Rejection answers a change that was not accepted.
type Rejection struct {
	Error   string            `json:"error"`
	Verdict string            `json:"verdict"`
	Faults  chivesheet.Faults `json:"faults,omitempty"`
}
