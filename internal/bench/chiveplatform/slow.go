package chiveplatform

import (
	"context"
	"net"
	"time"
)

const (
	// slowReadSize is what a slow caller reads at a time, in bytes, and slowReadPause the
	// pause before each read.
	slowReadSize  = 64
	slowReadPause = 40 * time.Millisecond
	// slowBufferSize is the size of the receive buffer of a slow caller in bytes.
	slowBufferSize = 2 << 10
)

// slowConn is a connection of a caller that reads slowly.
type slowConn struct {
	net.Conn
}

// dialSlowly connects a caller that reads slowly. It has the type of
// http.Transport.DialContext.
func dialSlowly(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		// A larger buffer would only make the caller less slow.
		_ = tcp.SetReadBuffer(slowBufferSize)
	}
	return slowConn{c}, nil
}

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(slowReadPause)
	return c.Conn.Read(b[:min(len(b), slowReadSize)])
}
