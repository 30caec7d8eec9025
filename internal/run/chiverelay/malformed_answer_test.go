package chiverelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// answeringRunner answers each request with a script, in which IDENT stands for its id, and closes the
// connection.
func answeringRunner(t *testing.T, script string) net.Listener {
	return listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		// The relay sees what was sent, or that the connection has ended.
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(c, strings.ReplaceAll(script, "IDENT", q.Header.Get("Id")))
	})
}

// The parts of answers in scripts.
const (
	scriptOK = "HTTP/1.1 200 OK\r\n"
	scriptID = "Id: IDENT\r\nSignature: s\r\n"
)

// wholeWith returns the rest of a whole answer with more fields.
func wholeWith(fields string) string {
	return scriptID + fields + "Content-Length: 5\r\n\r\nwhole"
}

// checkNoSuccess checks that callers of each kind get no success for an answer, and no promise for a
// request that may run once.
func checkNoSuccess(t *testing.T, s *testCluster, give, script string) {
	t.Helper()
	for _, kind := range []string{"once", "any", "stream"} {
		s.setAddresses([]string{answeringRunner(t, script).Addr().String()})
		status, complete := s.sendComplete(t, kind, "odd")
		if status < http.StatusMultipleChoices && complete {
			t.Errorf("%s, %s: status %d and a complete body", give, kind, status)
		}
		if kind == "once" && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			t.Errorf("%s, %s: the caller is told that its request has not run", give, kind)
		}
	}
}

// TestMalformedStatuses guards against answers whose status has no class or whose version is another one,
// and that callers get as a success, or whose body is taken for the next answer (MIXED): also before and
// after an informational answer.
func TestMalformedStatuses(t *testing.T) {
	inner := scriptOK + wholeWith("")
	s := newTestCluster(t, 86, 0)
	for _, status := range []string{"000", "001", "099", "20", "0200", "+20", "101", "600", "999", "2 0", "-20", "2e2"} {
		first := "HTTP/1.1 " + status + " X\r\n"
		checkNoSuccess(t, s, "status "+status, first+wholeWith(""))
		checkNoSuccess(t, s, "status "+status+" before an answer", first+scriptID+"\r\n"+inner)
		checkNoSuccess(t, s, "status "+status+" whose body is an answer", first+scriptID+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner))+inner)
		checkNoSuccess(t, s, "status "+status+" after an informational answer", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"+first+wholeWith(""))
	}
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/3.1", "HTTQ/1.1"} {
		checkNoSuccess(t, s, "version "+version, version+" 200 OK\r\n"+wholeWith(""))
	}
}

// TestMalformedFields guards against answers with a name that is no token or a value with a control byte,
// and that callers get as a success, with that line or with a body that is not the runner's (MIXED): in
// the head, in an informational head, in a trailer, and where the line would tell where the body ends.
func TestMalformedFields(t *testing.T) {
	s := newTestCluster(t, 87, 0)
	for _, name := range []string{"X Y", "X ", "X\t", "X\x00", "X\x01Y", "X\x7f", "X\xc3", "X(", "X\rY", ""} {
		line := name + ": v\r\n"
		checkNoSuccess(t, s, fmt.Sprintf("name %q", name), scriptOK+wholeWith("A: b\r\n"+line))
		checkNoSuccess(t, s, fmt.Sprintf("name %q in an informational head", name), "HTTP/1.1 103 Early Hints\r\nA: b\r\n"+line+"\r\n"+scriptOK+wholeWith(""))
		checkNoSuccess(t, s, fmt.Sprintf("name %q in a trailer", name), scriptOK+scriptID+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"+line+"\r\n")
	}
	for _, field := range []string{"Content-Length : 5", "Transfer-Encoding : chunked", "Content-Length\t: 5"} {
		checkNoSuccess(t, s, "framing by "+field, scriptOK+scriptID+field+"\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
	}
	for _, value := range []string{"a\x00b", "a\x01b", "a\x7fb", "a\rb"} {
		checkNoSuccess(t, s, fmt.Sprintf("value %q", value), scriptOK+wholeWith("A: "+value+"\r\n"))
	}
}
