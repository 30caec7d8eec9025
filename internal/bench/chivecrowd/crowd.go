// Package chivecrowd implements clients that keep to no limit, and reads what a process holds for
// them.
package chivecrowd

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 3 * time.Second
	// stallTimeout is how long a write may make no progress until the client stops sending.
	stallTimeout = 2 * time.Second
)

// Crowd is a set of clients that keep their connections.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	// Refused counts the clients that got no connection, Ended those whose connection ended as
	// they sent, Stalled those whose bytes were not taken, and Sent those that have sent all.
	Refused, Ended, Stalled, Sent int
}

// Gather has n clients send to a door at the same time, and returns once each has sent all, cannot
// go on, or was closed. Connections that are open stay open until Close.
func Gather(n int, d Door, k Kind) *Crowd {
	c := &Crowd{}
	c.Add(n, d, k)
	return c
}

// Add has n more clients join as Gather does.
func (c *Crowd) Add(n int, d Door, k Kind) {
	var group sync.WaitGroup
	for range n {
		group.Go(func() { c.join(d, k) })
	}
	group.Wait()
}

// join opens a connection and sends.
func (c *Crowd) join(d Door, k Kind) {
	conn, err := net.DialTimeout("tcp", d.Address, dialTimeout)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.Refused++
		return
	}
	err = k.Send(progressConn{conn}, d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	switch {
	case err == nil:
		c.Sent++
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.Stalled++
	default:
		c.Ended++
	}
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		// It fails only if the connection is closed already.
		_ = conn.Close()
	}
	c.conns = nil
}

// progressConn is a connection whose writes end after stallTimeout.
type progressConn struct {
	net.Conn
}

// Write implements net.Conn.Write.
func (c progressConn) Write(b []byte) (int, error) {
	// It fails only if the connection is closed already.
	_ = c.SetWriteDeadline(time.Now().Add(stallTimeout))
	return c.Conn.Write(b)
}
