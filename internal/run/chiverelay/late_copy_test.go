package chiverelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// copyRunner is a runner that sends an extra response on the first connection that carries a
// second request, once it has read that request, and then answers the request.
type copyRunner struct {
	listener net.Listener
	// extra is the extra response, in which ID stands for the id of the first request.
	extra string
	// delay is the time between the extra response and the answer.
	delay  time.Duration
	copied atomic.Bool
}

func newCopyRunner(t *testing.T, extra string, delay time.Duration) *copyRunner {
	t.Helper()
	r := &copyRunner{extra: extra, delay: delay}
	r.listener = serveConns(t, r.serve)
	return r
}

// serveConns serves each connection to the listener that it returns.
func serveConns(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l
}

// serve answers the requests on a connection.
func (r *copyRunner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for first := ""; ; {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		id := q.Header.Get("Id")
		if first != "" && r.copied.CompareAndSwap(false, true) {
			if _, err := io.WriteString(c, strings.ReplaceAll(r.extra, "ID", first)); err != nil {
				return
			}
			time.Sleep(r.delay)
		}
		first = id
		body := responseBody(id)
		if strings.HasPrefix(q.URL.Path, "/stream/") {
			body = fmt.Sprintf("id: 0\ndata: piece 0 of %s\n\n", id)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
			return
		}
	}
}

// TestLateCopy checks that a response which a runner sends a second time, after it has read the
// next request on the connection, reaches no caller and refuses no request. It guards against
// taking an error without an id for the answer to the next request.
func TestLateCopy(t *testing.T) {
	copies := []struct {
		give, extra string
	}{
		{"success", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold"},
		{"stream", "HTTP/1.1 200 OK\r\nId: ID\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n13\r\nid: 0\ndata: old....\r\n0\r\n\r\n"},
		{"error", "HTTP/1.1 500 Failed\r\nId: ID\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold"},
		{"error without an id", "HTTP/1.1 500 Failed\r\nContent-Length: 3\r\n\r\nold"},
		{"rejection without an id", "HTTP/1.1 400 Bad\r\nContent-Length: 3\r\n\r\nold"},
		{"refusal without an id", "HTTP/1.1 503 Busy\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n"},
		{"success without an id", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 3\r\n\r\nold"},
	}
	for _, tt := range copies {
		for _, kind := range []string{"any", "stream", "once"} {
			for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
				name := fmt.Sprintf("%s before a request of %s, %v", tt.give, kind, delay)
				s := newTestCluster(t, 80, 0)
				r := newCopyRunner(t, tt.extra, delay)
				s.register(map[string]*chivefleet.Runner{"c": {ID: "c", Service: "s", Address: r.listener.Addr().String(), Slots: 4}})
				outcomes := make(chan Outcome, 2)
				s.relay.Observe = func(o Outcome) { outcomes <- o }
				if g := s.send(t.Context(), t, "/any/x", "first", ""); g.status != http.StatusOK {
					t.Fatalf("%s: status %d of the first request", name, g.status)
				}
				g := s.send(t.Context(), t, "/"+kind+"/x", "second", "")
				want := responseBody("second")
				if kind == "stream" {
					want = "id: 0\ndata: piece 0 of second\n\n"
				}
				if g.status != http.StatusOK || g.body != want || g.header.Get("Id") != "second" {
					t.Errorf("%s: status %d, id %q, body %q", name, g.status, g.header.Get("Id"), g.body)
				}
				for range cap(outcomes) {
					if o := <-outcomes; o.Verdict != chiveverdict.Ran || o.Status != http.StatusOK {
						t.Errorf("%s: outcome %+v", name, o)
					}
				}
				// Requests that may run once are sent on connections of their own.
				if r.copied.Load() != (kind != "once") {
					t.Errorf("%s: copied %t", name, r.copied.Load())
				}
			}
		}
	}
}

// TestLateCopyIsNoPromise checks that a request is not reported as not run because a refusal
// without an id has arrived on a connection that was used before, if it cannot be sent again.
func TestLateCopyIsNoPromise(t *testing.T) {
	s := newTestCluster(t, 81, 0)
	r := newCopyRunner(t, "HTTP/1.1 503 Busy\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", 0)
	s.register(map[string]*chivefleet.Runner{"c": {ID: "c", Service: "s", Address: r.listener.Addr().String(), Slots: 4}})
	for i := range s.fleet.Config.Routes {
		s.fleet.Config.Routes[i].MaxAttempts = 1
	}
	s.send(t.Context(), t, "/any/x", "first", "")
	if g := s.send(t.Context(), t, "/any/x", "second", ""); g.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", g.status)
	}
}
