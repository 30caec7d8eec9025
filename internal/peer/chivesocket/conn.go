package chivesocket

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection that tells a reset from an end also when a write has met the reset: the
// system reports it to one call only, and the end of the connection to the others. It may be read by
// one goroutine and written by another at the same time.
type Conn struct {
	*net.TCPConn

	// mu is held during a write.
	mu sync.Mutex
	// broken is the first error of a write other than a timeout, or than the broken pipe with which
	// the system reports a reset after the end of what the other side sends.
	broken error
}

// NewConn returns a Conn for a TCP connection, and any other connection as it is.
func NewConn(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return &Conn{TCPConn: tcp}
	}
	return c
}

// DialContext returns a function that dials as the dialer does and returns a Conn. It has the type of
// http.Transport.DialContext.
func DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// Write implements net.Conn.Write.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.TCPConn.Write(b)
	var timeout net.Error
	if err != nil && c.broken == nil && !errors.Is(err, syscall.EPIPE) && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.broken = err
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom through Write.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Read implements net.Conn.Read. At the end of the connection it ends a write that is under way, and
// returns the error with which a write has failed in place of io.EOF.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 || !errors.Is(err, io.EOF) {
		return n, err
	}
	// It fails only if the connection is closed already.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return 0, c.broken
	}
	return 0, err
}
