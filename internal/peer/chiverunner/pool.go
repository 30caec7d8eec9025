// Package chiverunner implements HTTP/1.1 connections to runners, a pool of idle
// connections, and the parser of event streams.
package chiverunner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivesocket"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Error is the class of errors of this package.
var Error = errs.Class("runner")

const (
	// dialTimeout bounds connecting to a runner: several round trips between zones.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes the connection.
	unackedTimeout = 2500 * time.Millisecond
	// A connection without traffic is probed every keepAliveInterval and closed after
	// keepAliveProbes unanswered probes.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// defaultIdleTimeout is how long an idle connection is kept if the runner sends no
	// Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the runner's timeout an idle connection is closed.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerRunner is the maximum number of idle connections per address.
	maxIdlePerRunner = 16
)

// socketTimeouts makes the kernel close connections to a runner that stopped responding.
var socketTimeouts = chivesocket.Timeouts{Unacked: unackedTimeout, ProbeInterval: keepAliveInterval, Probes: keepAliveProbes}

// Pool keeps idle connections to runners for reuse. The zero value is an empty pool.
// It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
}

// Get returns an idle connection to addr or, if there is none or fresh is set, a new
// one. Idle connections that are no longer usable are closed.
func (p *Pool) Get(ctx context.Context, addr string, fresh bool) (*Conn, error) {
	if !fresh {
		for c := p.popIdle(addr); c != nil; c = p.popIdle(addr) {
			if c.usable() {
				c.reused = true
				return c, nil
			}
			c.Close()
		}
	}
	dialer := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: -1,
		Control:   socketTimeouts.Control,
	}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return newConn(addr, chivesocket.NewConn(nc)), nil
}

// Put returns a connection to the pool. It closes the connection if the pool already
// holds maxIdlePerRunner connections to its address.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	list := p.idle[c.addr]
	if len(list) >= maxIdlePerRunner {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// CloseExpired closes the connections that have been idle for too long.
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

// popIdle removes and returns the idle connection that was used last, or nil.
func (p *Pool) popIdle(addr string) *Conn {
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
