package chiverelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resettingRunner answers before it reads a body: with a success without a length, a part of its body,
// and a reset while the body of the request is being written.
func resettingRunner(t *testing.T, part string) net.Listener {
	return listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n%s", q.Header.Get("Id"), part); err != nil {
			return
		}
		// What was sent is read before the reset, and the send buffer of the other side is full.
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
}

// sendLong sends a request with a long body and returns the status of the response, or 0, and whether
// its body was complete.
func (s *testCluster) sendLong(t *testing.T, kind, id string) (status int, complete bool) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL+"/"+kind+"/x", strings.NewReader(strings.Repeat("x", longUpload)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = http.Header{"Id": {id}, "Key": {"k"}, "Deadline": {"2s"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}

// longUpload is the size of a body that is still being written when its answer arrives, in bytes. It is
// larger than the buffers of both ends.
const longUpload = 8 << 20

// TestResetDuringUpload guards against a part of an answer that callers get as complete, since its
// connection was reset while the body of the request was being written (MIXED): the write meets the
// reset, and the read the end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const attempts = 20
	for kind, part := range map[string]string{"once": "a part", "any": "a part", "stream": "id: 0\ndata: one\n\n"} {
		t.Run(kind, func(t *testing.T) {
			s := newTestCluster(t, 84, 0)
			s.setAddresses([]string{resettingRunner(t, part).Addr().String()})
			for i := range attempts {
				if status, complete := s.sendLong(t, kind, fmt.Sprint("long-", i)); status < http.StatusMultipleChoices && complete {
					t.Errorf("attempt %d: status %d and a complete body", i, status)
				}
			}
		})
	}
}

// TestAnswerBeforeUploadEnds checks that an answer without a length that ends before the body of its
// request was read is complete if its connection was not reset.
func TestAnswerBeforeUploadEnds(t *testing.T) {
	s := newTestCluster(t, 85, 0)
	l := listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\nwhole answer", q.Header.Get("Id")); err != nil {
			return
		}
		// The other side closes it early.
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	})
	s.setAddresses([]string{l.Addr().String()})
	if status, complete := s.sendLong(t, "once", "early"); status != http.StatusOK || !complete {
		t.Errorf("status %d, complete %t", status, complete)
	}
}
