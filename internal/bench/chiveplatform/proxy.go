package chiveplatform

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// LinkFault is a fault of the network link to a runner.
type LinkFault uint8

// Faults of links.
const (
	// LinkHealthy is the absence of a fault.
	LinkHealthy LinkFault = iota
	// LinkDelayed delays all bytes by linkDelay.
	LinkDelayed
	// LinkReset resets open and new connections.
	LinkReset
	// LinkDropsToRunner discards bytes sent to the runner, LinkDropsFromRunner those
	// that it sends.
	LinkDropsToRunner
	LinkDropsFromRunner

	// numLinkFaults is the number of values of LinkFault.
	numLinkFaults
)

// linkDelay is the extra latency of each chunk of bytes on a delayed link.
const linkDelay = 150 * time.Millisecond

// Proxy is a TCP proxy that stands for the link to a runner or to the store and injects
// its faults.
type Proxy struct {
	target string

	mu sync.Mutex
	// listener is closed while the link is shut, and for good once closed is set.
	listener net.Listener
	closed   bool
	fault    LinkFault
	// conns holds both sides of every open connection.
	conns map[net.Conn]*link
}

// link is the state of one forwarded connection.
type link struct {
	// silent is set once the connection forwards nothing any more, without a reset.
	silent atomic.Bool
}

// NewProxy returns a Proxy that forwards connections from a listener to a target
// address until Close.
func NewProxy(l net.Listener, target string) *Proxy {
	p := &Proxy{target: target, listener: l, conns: map[net.Conn]*link{}}
	go p.accept(l)
	return p
}

// Close ends the acceptance of connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if err := p.listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// Shut closes all open connections and refuses new ones for a time, as the host of a
// process that has crashed does. It returns an error if it refuses them already.
func (p *Proxy) Shut(d time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	addr := p.listener.Addr().String()
	if err := p.listener.Close(); err != nil {
		return err
	}
	for c := range p.conns {
		_ = c.Close()
	}
	time.AfterFunc(d, func() { p.reopen(addr) })
	return nil
}

// reopen accepts connections again after Shut.
func (p *Proxy) reopen(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		panic("chiveplatform: link cannot listen again: " + err.Error())
	}
	p.listener = l
	go p.accept(l)
}

// SetFault replaces the fault of the link. LinkReset resets all open connections, and
// so does the end of a fault that discards bytes: their streams have gaps and cannot
// continue.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	discarded := p.fault == LinkDropsToRunner || p.fault == LinkDropsFromRunner
	p.fault = f
	if f != LinkReset && !discarded {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

// Silence makes all open connections silent for good: they forward nothing, not even
// their end. New connections work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		l.silent.Store(true)
	}
}

// currentFault returns the fault of the link.
func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// resetConn closes a connection so that the peer receives a TCP reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// SetLinger fails only on a closed connection, which needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// accept serves connections until the listener is closed.
func (p *Proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go p.serve(c)
		}
	}
}

// serve forwards both directions of a connection until they end.
func (p *Proxy) serve(client net.Conn) {
	if p.currentFault() == LinkReset {
		resetConn(client)
		return
	}
	runner, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	l := &link{}
	p.track(client, runner, l)
	defer p.untrack(client, runner)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forward(l, runner, client, LinkDropsToRunner)
		if l.silent.Load() {
			// The other side learns nothing of the end, but must not be kept open.
			_ = runner.Close()
		}
	}()
	p.forward(l, client, runner, LinkDropsFromRunner)
	<-done
}

// track adds both sides of a connection to conns.
func (p *Proxy) track(client, runner net.Conn, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[client], p.conns[runner] = l, l
}

// untrack removes both sides of a connection from conns and closes them.
func (p *Proxy) untrack(client, runner net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []net.Conn{client, runner} {
		delete(p.conns, c)
		_ = c.Close()
	}
}

// forward copies the bytes of one direction until the connection ends. droppedBy is
// the fault that discards this direction.
func (p *Proxy) forward(l *link, to, from net.Conn, droppedBy LinkFault) {
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		switch p.currentFault() {
		case LinkDelayed:
			time.Sleep(linkDelay)
		case droppedBy:
			n = 0
		}
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				resetConn(from)
				return
			}
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			_ = to.Close()
			return
		}
		resetConn(to)
		return
	}
}
