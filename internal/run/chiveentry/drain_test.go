package chiveentry

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
)

// lateListener accepts one connection as it is closed.
type lateListener struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.Accept.
func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	// The one who stops the server runs on before the connection is known.
	time.Sleep(50 * time.Millisecond)
	conn := l.conn
	l.conn = nil
	if conn == nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.Close.
func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.Addr.
func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestStopAsConnectionArrives checks that a request whose connection is accepted as the listener
// closes is answered before the stop is over.
func TestStopAsConnectionArrives(t *testing.T) {
	caller, accepted := net.Pipe()
	defer func() { _ = caller.Close() }()
	_ = caller.SetDeadline(time.Now().Add(5 * time.Second))
	var conns callerConns
	server := &http.Server{ConnState: conns.note, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	})}
	l := &lateListener{conn: accepted, closed: make(chan struct{})}
	served := make(chan struct{})
	go func() {
		_ = server.Serve(l)
		close(served)
	}()
	status := make(chan int, 1)
	go func() {
		defer close(status)
		if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			return
		}
		if resp, err := http.ReadResponse(bufio.NewReader(caller), nil); err == nil {
			status <- resp.StatusCode
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := conns.stop(ctx, l, served); err != nil {
		t.Fatal(err)
	}
	_ = server.Close()
	if got := <-status; got != http.StatusOK {
		t.Errorf("status %d (0 means no answer), want %d", got, http.StatusOK)
	}
}

// TestRequestOnClosedConnection checks that a request that crosses the close of its idle
// connection is not passed on.
func TestRequestOnClosedConnection(t *testing.T) {
	tests := []struct {
		give  string
		state http.ConnState
		want  bool
	}{
		{"idle when looked at", http.StateIdle, false},
		{"in use", http.StateActive, true},
	}
	for _, tt := range tests {
		conn, _ := net.Pipe()
		var conns callerConns
		conns.note(conn, tt.state)
		conns.closeUnused()
		conns.note(conn, http.StateActive)
		passed := false
		h := conns.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true }))
		func() {
			defer func() { _ = recover() }()
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(chiverelay.WithConn(t.Context(), conn), http.MethodGet, "/", nil))
		}()
		if passed != tt.want {
			t.Errorf("%s: passed on %t, want %t", tt.give, passed, tt.want)
		}
	}
}
