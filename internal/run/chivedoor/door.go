package chivedoor

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size of the buffer of a connection for bytes that were not read, in bytes. They
// count as memory of the process on the users' platform.
const receiveBuffer = 32 << 10

// Door is a port of a process.
type Door struct {
	// Name is the name of the door in logs and metrics.
	Name string
	// Weight is its weight when the budget is divided.
	Weight int64
	// AnswerTime is how long a request may take from the end of its head, 0 if it has no limit. It
	// must be 0 where requests are passed to Conn.Begin.
	AnswerTime time.Duration

	ledger *Ledger
	// conns and held change under the ledger's mu. held is the number of bytes that the connections
	// hold that are not in stepRequest.
	conns map[*Conn]struct{}
	held  int64
}

// Add adds a door. All doors must be added before the first of them listens.
func (l *Ledger) Add(d *Door) *Door {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.ledger, d.conns = l, map[*Conn]struct{}{}
	l.doors = append(l.doors, d)
	return d
}

// Listen returns a listener at a TCP address whose connections the ledger counts. A server must have
// been prepared for them.
func (d *Door) Listen(network, addr string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Without it the buffers have the size that the system gives them.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := config.Listen(context.Background(), network, addr)
	if err != nil {
		return nil, err
	}
	return &listener{l, d}, nil
}

// Prepare makes a server tell the states of its connections, beside what it was set to do, and leaves
// the limits on heads and times to the door.
func (d *Door) Prepare(s *http.Server) *http.Server {
	state, connContext := s.ConnState, s.ConnContext
	s.ConnState = func(c net.Conn, cs http.ConnState) {
		if counted, ok := c.(*Conn); ok {
			counted.note(cs)
		}
		if state != nil {
			state(c, cs)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = 0, 0, unlimitedHead
	return s
}

// unlimitedHead is a size of heads above all limits of doors, in bytes.
const unlimitedHead = 1 << 30

// listener is the listener of a door.
type listener struct {
	net.Listener
	door *Door
}

// Accept implements net.Listener.Accept. A connection for which there is no room is reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		if c := l.door.ledger.open(l.door, tcp); c != nil {
			return c, nil
		}
	}
}
