package chivelink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// retiredConnLifetime is how long a retired connection is kept for its streams.
const retiredConnLifetime = 10 * time.Minute

// A Dialer opens streams to other processes and keeps one connection to each.
type Dialer struct {
	keys      *Keys
	transport *quic.Transport

	mu    sync.Mutex
	conns map[string]*peerConn
	// pastTraffic is the traffic of connections that are no longer counted in conns.
	pastTraffic Traffic
}

// peerConn is the connection to one address; ready is closed once it was
// dialed.
type peerConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// NewDialer returns a new Dialer that sends from any port of the IP.
func NewDialer(ip string, keys *Keys) (*Dialer, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Dialer{keys: keys, transport: &quic.Transport{Conn: conn}, conns: map[string]*peerConn{}}, nil
}

// Close ends all connections.
func (d *Dialer) Close() {
	_ = d.transport.Close()
	_ = d.transport.Conn.Close()
}

// Traffic returns what all connections have carried.
func (d *Dialer) Traffic() Traffic {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.pastTraffic
	for _, p := range d.conns {
		t.add(p.traffic())
	}
	return t
}

// CloseConn closes the connection to an address, so that the next stream dials
// anew.
func (d *Dialer) CloseConn(addr string) {
	p := d.removeConn(addr)
	if p == nil {
		return
	}
	go func() {
		<-p.ready
		if p.conn != nil {
			_ = p.conn.CloseWithError(0, "dropped")
		}
	}()
}

// Call sends a call and returns the stream of its frames.
func (d *Dialer) Call(ctx context.Context, addr string, c *Call) (*Stream, error) {
	return d.openStream(ctx, addr, RoleAgent, &OpenMessage{Call: c})
}

// Sync opens a stream of syncs.
func (d *Dialer) Sync(ctx context.Context, addr string, first *Sync) (*Stream, error) {
	return d.openStream(ctx, addr, RoleGateway, &OpenMessage{Sync: first})
}

// Order sends an order and returns the agent's reply.
func (d *Dialer) Order(ctx context.Context, addr string, o *chiveswitch.Order) (*chiveswitch.Reply, error) {
	reply := &chiveswitch.Reply{}
	return reply, d.roundTrip(ctx, addr, RoleAgent, &OpenMessage{Order: o}, reply)
}

// Status asks a process for its status.
func (d *Dialer) Status(ctx context.Context, addr string, role Role, q *Query) (*Status, error) {
	status := &Status{}
	return status, d.roundTrip(ctx, addr, role, &OpenMessage{Query: q}, status)
}

// roundTrip sends a message that may be repeated, once more where the first
// connection is found dead.
func (d *Dialer) roundTrip(ctx context.Context, addr string, role Role, open *OpenMessage, answer Message) error {
	if d.roundTripOnce(ctx, addr, role, open, answer) == nil {
		return nil
	}
	if ctx.Err() != nil {
		return Error.Wrap(ctx.Err())
	}
	return d.roundTripOnce(ctx, addr, role, open, answer)
}

func (d *Dialer) roundTripOnce(ctx context.Context, addr string, role Role, open *OpenMessage, answer Message) error {
	s, err := d.openStream(ctx, addr, role, open)
	if err != nil {
		return err
	}
	defer s.Close()
	stop := s.cancelOnDone(ctx)
	defer stop()
	err = s.Receive(answer)
	if err != nil {
		d.Retire(addr)
	}
	return err
}

// removeConn takes the connection to an address out, so that the next stream dials
// anew, and returns it or nil.
func (d *Dialer) removeConn(addr string) *peerConn {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.conns[addr]
	if p != nil {
		delete(d.conns, addr)
		d.pastTraffic.add(p.traffic())
	}
	return p
}

// Retire lets the connection to an address serve its streams to their end and
// dials anew for the next one.
func (d *Dialer) Retire(addr string) {
	p := d.removeConn(addr)
	if p == nil {
		return
	}
	time.AfterFunc(retiredConnLifetime, func() {
		<-p.ready
		if p.conn != nil {
			_ = p.conn.CloseWithError(0, "retired")
		}
	})
}

// openStream sends the first message of a new stream. Its error is a
// *chiveverdict.Failure of verdict NotRun where the message was never sent.
func (d *Dialer) openStream(ctx context.Context, addr string, role Role, open *OpenMessage) (*Stream, error) {
	conn, err := d.connect(ctx, addr, role)
	if err != nil {
		d.Retire(addr)
		return nil, chiveverdict.NotRunf(chiveverdict.CodeUnreachable, time.Second, "%s cannot be reached: %v", addr, err)
	}
	qs, err := conn.OpenStreamSync(ctx)
	if err != nil {
		d.Retire(addr)
		return nil, chiveverdict.NotRunf(chiveverdict.CodeUnreachable, time.Second, "%s takes no stream: %v", addr, err)
	}
	s := newStream(qs)
	if err := s.Send(open); err != nil {
		s.Cancel()
		if IsStopped(err) {
			return nil, chiveverdict.NotRunf(chiveverdict.CodeUnreachable, time.Second, "%s has stopped", addr)
		}
		return nil, err
	}
	return s, nil
}

func (d *Dialer) connect(ctx context.Context, addr string, role Role) (*quic.Conn, error) {
	d.mu.Lock()
	p := d.conns[addr]
	if p == nil || p.isDead() {
		if p != nil {
			d.pastTraffic.add(p.traffic())
		}
		p = &peerConn{ready: make(chan struct{})}
		d.conns[addr] = p
		go d.dial(p, addr, role)
	}
	d.mu.Unlock()
	select {
	case <-p.ready:
		return p.conn, p.err
	case <-ctx.Done():
		return nil, Error.Wrap(ctx.Err())
	}
}

func (d *Dialer) dial(p *peerConn, addr string, role Role) {
	defer close(p.ready)
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		p.err = Error.Wrap(err)
		return
	}
	config, err := d.keys.clientConfig(role)
	if err != nil {
		p.err = err
		return
	}
	conn, err := d.transport.Dial(context.Background(), udp, config, quicConfig())
	if err != nil {
		p.err = Error.Wrap(err)
		return
	}
	p.conn = conn
}

// isDead reports whether the connection could not be made or has ended.
func (p *peerConn) isDead() bool {
	select {
	case <-p.ready:
		return p.err != nil || p.conn.Context().Err() != nil
	default:
		return false
	}
}
