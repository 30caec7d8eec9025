package chiveplatform

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// A LinkFault is what is wrong with a link.
type LinkFault uint8

// The faults of links.
const (
	// LinkHealthy means that nothing is wrong.
	LinkHealthy LinkFault = iota
	// LinkDelayed delays all bytes.
	LinkDelayed
	// LinkReset resets open connections and new ones.
	LinkReset
	// LinkDropsToRunner loses what goes to the runner, LinkMute what comes from it.
	LinkDropsToRunner
	LinkDropsFromRunner

	numLinkFaults
)

// linkDelay is that of a delayed link.
const linkDelay = 150 * time.Millisecond

// A Proxy is the link to a runner.
type Proxy struct {
	target string

	mu    sync.Mutex
	fault LinkFault
	conns map[net.Conn]bool
}

// NewProxy returns a new Proxy between a listener and an address.
func NewProxy(l net.Listener, target string) *Proxy {
	p := &Proxy{target: target, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p
}

// SetFault sets what is wrong from now on. Bytes that were lost stay lost, so
// that connections which met a deaf or mute link end with it.
func (p *Proxy) SetFault(f LinkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := p.fault == LinkDropsToRunner || p.fault == LinkDropsFromRunner
	p.fault = f
	if f != LinkReset && !ended {
		return
	}
	for c := range p.conns {
		resetConn(c)
	}
}

func (p *Proxy) currentFault() LinkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

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

func (p *Proxy) serve(c net.Conn) {
	if p.currentFault() == LinkReset {
		resetConn(c)
		return
	}
	d, err := net.Dial("tcp4", p.target)
	if err != nil {
		resetConn(c)
		return
	}
	p.track(c, d, true)
	defer p.track(c, d, false)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.forward(d, c, LinkDropsToRunner)
	}()
	p.forward(c, d, LinkDropsFromRunner)
	<-done
}

func (p *Proxy) track(c, d net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range []net.Conn{c, d} {
		if open {
			p.conns[x] = true
			continue
		}
		delete(p.conns, x)
		_ = x.Close()
	}
}

// forward copies one direction, which a fault may lose.
func (p *Proxy) forward(to, from net.Conn, lost LinkFault) {
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		switch p.currentFault() {
		case LinkDelayed:
			time.Sleep(linkDelay)
		case lost:
			n = 0
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
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
