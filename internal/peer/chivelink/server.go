package chivelink

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

// Timing and limits of connections.
const (
	idleTimeout       = 6 * time.Second
	keepAlivePeriod   = 2 * time.Second
	openTimeout       = 5 * time.Second
	maxStreamsPerConn = 10_000
	// stopTimeout bounds the wait of a server that stops.
	stopTimeout = time.Second
)

// A Handler serves the streams that peers open. Only gateways may call, order
// and query.
type Handler interface {
	// Call answers a call with frames.
	Call(ctx context.Context, c *Call, s *Stream)
	// Sync exchanges syncs until the stream ends.
	Sync(ctx context.Context, first *Sync, s *Stream)
	// Order carries out an order.
	Order(ctx context.Context, o *chiveswitch.Order) *chiveswitch.Reply
	// Status answers a query.
	Status(ctx context.Context, q *Query) *Status
}

// A Server accepts connections of other processes of the system.
type Server struct {
	handler   Handler
	transport *quic.Transport
	listener  *quic.Listener
	streams   sync.WaitGroup

	mu          sync.Mutex
	conns       map[*quic.Conn]bool
	pastTraffic Traffic
	stopping    bool
}

// NewServer returns a new Server that listens on a UDP address.
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

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:       idleTimeout,
		HandshakeIdleTimeout: time.Second,
		KeepAlivePeriod:      keepAlivePeriod,
		MaxIncomingStreams:   maxStreamsPerConn,
	}
}

// Serve accepts connections until Close.
func (s *Server) Serve(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept(ctx)
		if err != nil {
			return Error.Wrap(err)
		}
		go s.serveConn(ctx, conn)
	}
}

// Stop takes no further stream, waits a moment for those that were taken, and
// ends all connections with a code that says so: a gateway which has no frame of
// a call then knows that the call did not run. The caller has seen to it that
// every call which ran has been answered and that no further one runs.
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

// beginStream counts a stream in, unless the server stops.
func (s *Server) beginStream() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return false
	}
	s.streams.Add(1)
	return true
}

// Close ends all connections and waits for their streams.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.transport.Close()
	_ = s.transport.Conn.Close()
	s.streams.Wait()
}

// Traffic returns what all accepted connections have carried.
func (s *Server) Traffic() Traffic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.pastTraffic
	for c := range s.conns {
		t.add(connTraffic(c))
	}
	return t
}

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
			s.serveStream(conn.Context(), newStream(qs), gateway)
		}()
	}
}

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
