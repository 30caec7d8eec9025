package chivelink

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/quic-go/quic-go"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// Timing and limits of connections.
const (
	// idleTimeout is the time without packets after which a connection is lost.
	idleTimeout     = 6 * time.Second
	keepAlivePeriod = 2 * time.Second
	// openTimeout bounds the wait for the first message of an accepted stream.
	openTimeout = 5 * time.Second
	// maxStreamsPerConn is the number of streams that a peer may have open at once.
	maxStreamsPerConn = 10_000
	// stopTimeout bounds the time that Stop waits for accepted streams.
	stopTimeout = time.Second
)

// Handler serves the streams that peers open. Agents may only open sync streams;
// a server cancels their other streams.
type Handler interface {
	// Call runs a call and answers it with frames on the stream.
	Call(ctx context.Context, c *Call, s *Stream)
	// Sync exchanges syncs until the stream ends.
	Sync(ctx context.Context, first *Sync, s *Stream)
	// Order executes an order and returns the reply.
	Order(ctx context.Context, o *chiveswitch.Order) *chiveswitch.Reply
	// Status returns the status of the process.
	Status(ctx context.Context, q *Query) *Status
}

// Server accepts connections of gateways and agents and passes their streams to a
// Handler.
type Server struct {
	handler   Handler
	transport *quic.Transport
	listener  *quic.Listener
	streams   sync.WaitGroup

	mu    sync.Mutex
	conns map[*quic.Conn]bool
	// pastTraffic is the traffic of the connections that have ended.
	pastTraffic Traffic
	stopping    bool
}

// NewServer returns a Server that listens on a UDP address. It fails if the address
// cannot be bound or the key files cannot be read.
func NewServer(addr string, keys *Keys, h Handler) (*Server, error) {
	if err := keys.Load(); err != nil {
		return nil, err
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	transport := &quic.Transport{Conn: conn, StatelessResetKey: keys.resetKey()}
	listener, err := transport.Listen(keys.serverConfig(), quicConfig())
	if err != nil {
		_ = conn.Close()
		return nil, Error.Wrap(err)
	}
	return &Server{handler: h, transport: transport, listener: listener, conns: map[*quic.Conn]bool{}}, nil
}

// quicConfig returns the QUIC settings of dialed and accepted connections.
func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		HandshakeIdleTimeout: time.Second,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreamsPerConn,
	}
}

// Serve accepts connections until the context ends or the server is closed. Its error
// is never nil.
func (s *Server) Serve(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return Error.Wrap(err)
		}
		go s.serveConn(ctx, conn)
	}
}

// Stop accepts no further streams, waits up to stopTimeout for those that were
// accepted, and closes all connections with codeStopped. This code tells a gateway
// that a call of which it has received no frame did not run. The caller must
// therefore ensure beforehand that every call which ran has been answered and that
// no other call will run.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopping = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	served := make(chan struct{})
	go func() {
		defer close(served)
		s.streams.Wait()
	}()
	select {
	case <-served:
	case <-time.After(stopTimeout):
	}
	for _, c := range conns {
		_ = c.CloseWithError(codeStopped, "stopped")
	}
}

// beginStream registers an accepted stream, or returns false if the server is
// stopping.
func (s *Server) beginStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.streams.Add(1)
	return true
}

// Close closes the socket and all connections, and waits for the handlers of their
// streams.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
	s.streams.Wait()
}

// Traffic returns the traffic of all accepted connections since the start.
func (s *Server) Traffic() Traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pastTraffic
	for c := range s.conns {
		t.add(connTraffic(c))
	}
	return t
}

// serveConn serves the streams of a connection until it ends.
func (s *Server) serveConn(ctx context.Context, conn *quic.Conn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		s.pastTraffic.add(connTraffic(conn))
	}()
	gateway := hasRole(conn.ConnectionState().TLS, RoleGateway)
	for {
		qs, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		if !s.beginStream() {
			continue
		}
		go func() {
			defer s.streams.Done()
			st := newStream(qs)
			if !chiveguard.Do(log.Default(), "stream", func() { s.serveStream(conn.Context(), st, gateway) }) {
				st.Cancel()
			}
		}()
	}
}

// serveStream reads the first message of a stream and passes the stream to the
// handler. It cancels a stream whose message is invalid or not allowed.
func (s *Server) serveStream(ctx context.Context, st *Stream, gateway bool) {
	defer st.Close()
	var open OpenMessage
	st.SetReceiveTimeout(openTimeout)
	if err := st.Receive(&open); err != nil {
		st.Cancel()
		return
	}
	st.SetReceiveTimeout(0)
	if open.Sync != nil {
		s.handler.Sync(ctx, open.Sync, st)
		return
	}
	if !gateway {
		st.Cancel()
		return
	}
	switch {
	case open.Call != nil:
		s.handler.Call(ctx, open.Call, st)
	case open.Order != nil:
		_ = st.Send(s.handler.Order(ctx, open.Order))
	case open.Query != nil:
		_ = st.Send(s.handler.Status(ctx, open.Query))
	}
}
