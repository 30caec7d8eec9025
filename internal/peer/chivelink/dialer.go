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

// retiredConnLifetime is how long a retired connection stays open for its streams.
const retiredConnLifetime = 10 * time.Minute

// Dialer opens streams to other processes over one connection per address. It is
// safe for concurrent use.
type Dialer struct {
	keys      *Keys
	transport *quic.Transport

	mu    sync.Mutex
	conns map[string]*peerConn
	// pastTraffic is the traffic of the connections that were removed from conns, up
	// to their removal.
	pastTraffic Traffic
}

// peerConn is the connection to one address. Ready is closed when dialing has ended;
// conn and err may be read only after that.
type peerConn struct {
	ready chan struct{}
	conn  *quic.Conn
	err   error
}

// NewDialer returns a Dialer that sends from an arbitrary UDP port of the local IP
// address.
func NewDialer(ip string, keys *Keys) (*Dialer, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &Dialer{keys: keys, transport: &quic.Transport{Conn: conn}, conns: map[string]*peerConn{}}, nil
}

// Close closes all connections and the socket.
func (d *Dialer) Close() {
	_ = d.transport.Close()
	_ = d.transport.Conn.Close()
}

// Traffic returns the traffic of all connections since the start, except what
// removed connections carried after their removal.
func (d *Dialer) Traffic() Traffic {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.pastTraffic
	for _, p := range d.conns {
		t.add(p.traffic())
	}
	return t
}

// CloseConn closes the connection to an address with all its streams. The next
// stream dials a new connection.
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

// Call sends a call to an agent and returns the stream of its answer's frames.
// Errors are those of openStream.
func (d *Dialer) Call(ctx context.Context, addr string, c *Call) (*Stream, error) {
	return d.openStream(ctx, addr, RoleAgent, &OpenMessage{Call: c})
}

// Sync opens a sync stream to a gateway with the first sync. Errors are those of
// openStream.
func (d *Dialer) Sync(ctx context.Context, addr string, first *Sync) (*Stream, error) {
	return d.openStream(ctx, addr, RoleGateway, &OpenMessage{Sync: first})
}

// Order sends an order to an agent and returns its reply. The order may reach the
// agent twice.
func (d *Dialer) Order(ctx context.Context, addr string, o *chiveswitch.Order) (*chiveswitch.Reply, error) {
	reply := &chiveswitch.Reply{}
	return reply, d.roundTrip(ctx, addr, RoleAgent, &OpenMessage{Order: o}, reply)
}

// Status requests the status of a process of the given role.
func (d *Dialer) Status(ctx context.Context, addr string, role Role, q *Query) (*Status, error) {
	status := &Status{}
	return status, d.roundTrip(ctx, addr, role, &OpenMessage{Query: q}, status)
}

// roundTrip sends a message that may be repeated and receives its answer. After a
// failure it tries once more, because the peer may have been restarted and the old
// connection be dead.
func (d *Dialer) roundTrip(ctx context.Context, addr string, role Role, open *OpenMessage, answer Message) error {
	if d.roundTripOnce(ctx, addr, role, open, answer) == nil {
		return nil
	}
	if ctx.Err() != nil {
		return Error.Wrap(ctx.Err())
	}
	return d.roundTripOnce(ctx, addr, role, open, answer)
}

// roundTripOnce makes one attempt of roundTrip and retires the connection if no valid
// answer arrives.
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

// removeConn removes the connection to an address, so that the next stream dials a
// new one. It returns the removed connection, or nil if there was none.
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

// Retire keeps the connection to an address open for its present streams, for at
// most retiredConnLifetime. The next stream dials a new connection.
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

// openStream opens a stream and sends its first message. The error is a
// *chiveverdict.Failure with the verdict NotRun if the message was not sent or the
// peer had stopped. Any other error means that the message may have been received.
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

// connect returns the connection to an address, dialing it if there is none or it is
// dead.
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

// dial dials the connection and closes ready. It uses no context of a caller, since
// later streams share the connection.
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

// isDead reports whether dialing has failed or the connection has ended.
func (p *peerConn) isDead() bool {
	select {
	case <-p.ready:
		return p.err != nil || p.conn.Context().Err() != nil
	default:
		return false
	}
}
