// Package chivelink implements the protocol between gateways and agents: CBOR
// messages on QUIC streams with mutual TLS.
package chivelink

import (
	"crypto/rand"
	"encoding/binary"
)

// Role is the role of a process. The certificate of the process names it.
type Role string

// The roles.
const (
	RoleGateway Role = "gateway"
	RoleAgent   Role = "agent"
)

// Node identifies a gateway or an agent and its incarnation.
type Node struct {
	Name string `cbor:"name" json:"name"`
	Role Role   `cbor:"role" json:"role"`
	Zone string `cbor:"zone" json:"zone"`
	// Boot is the incarnation: a random number drawn at every start of the process.
	Boot uint64 `cbor:"boot" json:"boot"`
}

// NewBoot returns a random incarnation, which is never 0.
func NewBoot() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}
