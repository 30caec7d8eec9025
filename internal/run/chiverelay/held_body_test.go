package chiverelay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestRefusalBeforeTheBody guards against requests that are turned away but get their answer only once
// their body has arrived or their deadline has passed: the caller waits in vain, and what it holds stays.
func TestRefusalBeforeTheBody(t *testing.T) {
	const bound = 5 * time.Second
	for _, tt := range []struct {
		give, head string
		status     int
	}{
		{"no route", "POST /none/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: a\r\nKey: k\r\nDeadline: 60s\r\n", http.StatusNotFound},
		{"unknown key", "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: b\r\nKey: z\r\nDeadline: 60s\r\n", http.StatusUnauthorized},
		{"malformed", "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: c\r\nKey: k\r\nDeadline: soon\r\n", http.StatusBadRequest},
	} {
		s := newTestCluster(t, 83, 0)
		c, err := net.Dial("tcp4", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, tt.head+"Content-Length: 1000\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(bound)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != tt.status {
			t.Errorf("%s: response %v, %v, want status %d", tt.give, resp, err, tt.status)
		}
	}
}
