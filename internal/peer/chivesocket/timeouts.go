// Package chivesocket implements time limits of TCP connections, by which the kernel
// closes a connection to a peer that has stopped responding, and connections whose resets
// are told from their ends.
package chivesocket

import (
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// Timeouts bounds how long a connection may go without an acknowledgement by its peer.
type Timeouts struct {
	// Unacked is how long sent bytes or probes may stay unacknowledged, in whole
	// milliseconds.
	Unacked time.Duration
	// ProbeInterval is the time without traffic after which the peer is probed, and the
	// time between two probes, in whole seconds.
	ProbeInterval time.Duration
	// Probes is the number of unanswered probes after which the connection is closed.
	Probes int
}

// Control sets the limits on a socket. It has the type of net.Dialer.Control; the
// dialer's own keep-alive must be disabled.
func (t Timeouts) Control(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errs.Combine(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(t.Unacked/time.Millisecond)),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(t.ProbeInterval/time.Second)),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(t.ProbeInterval/time.Second)),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, t.Probes),
		)
	})
	return errs.Combine(err, failed)
}
