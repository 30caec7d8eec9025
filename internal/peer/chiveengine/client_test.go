package chiveengine

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// repeatingEngine serves connections of a faulty engine: it refuses the first request, and on a
// connection that was used before it writes that refusal once more before it runs a request.
func repeatingEngine(t *testing.T) (addr string, runs func() int) {
	t.Helper()
	const (
		refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"
		stream  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	ran := make(chan struct{}, 16)
	serve := func(c net.Conn, refuse bool) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		for kept := false; ; kept = true {
			q, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			answer := stream
			switch {
			case refuse && !kept:
				answer = refusal
			case kept:
				answer = refusal + stream
				fallthrough
			default:
				ran <- struct{}{}
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	}
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, first)
		}
	}()
	return l.Addr().String(), func() int { return len(ran) }
}

// TestRefusalOnceMore guards against a generation that is reported as not run although the engine
// runs it, since a faulty engine has written an earlier refusal once more on a kept connection
// (REFUSED). Answers of engines name no request.
func TestRefusalOnceMore(t *testing.T) {
	addr, runs := repeatingEngine(t)
	c := NewClient(addr)
	defer c.Close()
	g := Generation{Body: []byte(`{"messages":[]}`)}
	emit := func(Output) error { return nil }
	var f *chiveverdict.Failure
	if err := c.Generate(t.Context(), g, emit); !errors.As(err, &f) || f.Verdict != chiveverdict.NotRun {
		t.Fatalf("first generation: %v, want a refusal", err)
	}
	for k := range 4 {
		if err := c.Generate(t.Context(), g, emit); errors.As(err, &f) && f.Verdict == chiveverdict.NotRun {
			t.Errorf("generation %d is reported as not run: %v; the engine ran %d", k, err, runs())
		}
	}
}

// TestErrorInStream guards against a generation that ends as if it were complete although the
// engine has reported an error in its stream (ORDER).
func TestErrorInStream(t *testing.T) {
	const begin = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	tests := []struct {
		give, body string
		complete   bool
	}{
		{"none", begin + "data: [DONE]\n\n", true},
		{"error is null", begin + "data: {\"choices\":[],\"error\":null}\n\ndata: [DONE]\n\n", true},
		{"error", begin + "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n", false},
		{"error as text", begin + "data: {\"error\":\"out of memory\"}\n\ndata: [DONE]\n\n", false},
		{"other object", begin + "data: {\"object\":\"error\",\"message\":\"out of memory\"}\n\ndata: [DONE]\n\n", false},
		{"text", begin + "data: failed\n\ndata: [DONE]\n\n", false},
	}
	for _, tt := range tests {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, tt.body)
		}))
		c := NewClient(server.Listener.Addr().String())
		err := c.Generate(t.Context(), Generation{Body: []byte(`{"messages":[]}`)}, func(Output) error { return nil })
		if (err == nil) != tt.complete {
			t.Errorf("%s: error %v, want the generation to be complete: %t", tt.give, err, tt.complete)
		}
		c.Close()
		server.Close()
	}
}
