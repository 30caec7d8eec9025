// Package chiverunner implements the connections to runners.
package chiverunner

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Error is the class of errors of this package.
var Error = errs.Class("runner")

const (
	// dialTimeout bounds a new connection: several round trips between zones.
	dialTimeout = 500 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged.
	silence = 2500 * time.Millisecond
	// probePeriod and probeCount are the keep-alive probes of quiet connections.
	probePeriod = time.Second
	probeCount  = 3
	// idleTime is how long an idle connection is kept where the runner does not
	// say how long it keeps it.
	idleTime = 4 * time.Second
	// idleMargin is how much sooner than the runner idle connections are closed.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one runner.
	maxIdle = 16
)

// A Pool keeps idle connections to runners. Its zero value is empty.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns a connection to an address. Fresh asks for a new one.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	if !fresh {
		for c := p.pop(addr); c != nil; c = p.pop(addr) {
			if c.sound() {
				return c, nil
			}
			c.Close()
		}
	}
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control:   setTimeouts,
	}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return newConn(addr, nc), nil
}

// Put keeps a connection for another request.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	list := p.idle[c.addr]
	if len(list) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// CloseExpired closes the idle connections that are too old.
func (p *Pool) CloseExpired() {
	now := chiveclock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now < c.idleUntil {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		p.idle[addr] = kept
		if len(kept) == 0 {
			delete(p.idle, addr)
		}
	}
}

// pop returns the idle connection that was used last, or nil.
func (p *Pool) pop(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// setTimeouts makes the kernel give up on a peer that is silent.
func setTimeouts(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errs.Combine(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence/time.Millisecond)),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(probePeriod/time.Second)),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(probePeriod/time.Second)),
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, probeCount),
		)
	})
	return errs.Combine(err, failed)
}
