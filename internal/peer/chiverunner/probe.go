package chiverunner

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// ProbeResult is what a probe shows of the process at an address.
type ProbeResult uint8

const (
	// Unknown means that there was no answer in time, or an error of the network.
	Unknown ProbeResult = iota
	// Listening means that a process accepts connections.
	Listening
	// Refused means that no process listens.
	Refused
)

// Probe connects to addr and closes the connection at once.
func (p *Pool) Probe(ctx context.Context, addr string) ProbeResult {
	var dialer net.Dialer
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = nc.Close()
		return Listening
	case IsRefused(err):
		return Refused
	}
	return Unknown
}

// IsRefused reports whether an error of Get means that no process listens at the address.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
