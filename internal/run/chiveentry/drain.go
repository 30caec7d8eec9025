package chiveentry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
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
	// closed is set once closeUnused has closed the connection.
	closed bool
}

// handler returns a handler that passes requests on to next, but aborts one whose connection
// was closed as idle while it arrived: next would have it run, and no answer could be returned.
func (c *callerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := chiverelay.ConnOf(r.Context()); conn != nil && c.isClosed(conn) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// isClosed reports whether closeUnused has closed the connection.
func (c *callerConns) isClosed(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.states[conn].closed
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
	c.states[conn] = connState{state: s, since: time.Now(), closed: c.states[conn].closed}
}

// closeUnused closes the connections that carry no request: idle ones, and new ones after
// unreadConnTime. It returns the number of the others.
func (c *callerConns) closeUnused() (used int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.states {
		if s.state == http.StateIdle || s.state == http.StateNew && time.Since(s.since) > unreadConnTime {
			_ = conn.Close()
			s.closed = true
			c.states[conn] = s
			continue
		}
		if !s.closed {
			used++
		}
	}
	return used
}

// stop closes the listener and waits until all requests of accepted connections have been
// answered, or returns the error of the context. served is closed once the server accepts no
// more: a connection that is accepted as the listener closes is known only then.
func (c *callerConns) stop(ctx context.Context, l net.Listener, served <-chan struct{}) error {
	_ = l.Close()
	select {
	case <-served:
	case <-ctx.Done():
		return ctx.Err()
	}
	return c.drain(ctx)
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
