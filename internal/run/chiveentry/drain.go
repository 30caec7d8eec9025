package chiveentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// drainInterval is the time between two looks at the connections of callers.
	drainInterval = 10 * time.Millisecond
	// unreadConnTime is how long a connection may carry no request until it is closed after
	// the listener: callers give up on one that is not read within a second.
	unreadConnTime = time.Second
)

// callerConns knows the states of the connections of callers. Its zero value knows none.
//
// http.Server.Shutdown is no substitute: once it has begun, the server reads the request of a
// connection that it had accepted before, and closes the connection without an answer.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]connState
}

// connState is the state of a connection and when it began.
type connState struct {
	state http.ConnState
	since time.Time
}

// note records the state of a connection. It has the type of http.Server.ConnState.
func (c *callerConns) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.states == nil {
		c.states = map[net.Conn]connState{}
	}
	if s == http.StateClosed || s == http.StateHijacked {
		delete(c.states, conn)
		return
	}
	c.states[conn] = connState{state: s, since: time.Now()}
}

// closeUnused closes the connections that carry no request: idle ones, and new ones after
// unreadConnTime. It returns the number of the others.
func (c *callerConns) closeUnused() (used int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if s.state == http.StateIdle || s.state == http.StateNew && time.Since(s.since) > unreadConnTime {
			_ = conn.Close()
			continue
		}
		used++
	}
	return used
}

// drain waits until all requests have been answered, or returns the error of the context. The
// listener must have been closed.
func (c *callerConns) drain(ctx context.Context) error {
	tick := time.NewTicker(drainInterval)
	defer tick.Stop()
	for c.closeUnused() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}
