package chiverelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// refusingRunner is a runner that refuses the first attempt of the request "refused". From then on
// it writes that refusal once more before each answer on a connection that was used before.
type refusingRunner struct {
	listener net.Listener
	mu       sync.Mutex
	// refused is the request that was refused, runs counts the runs by request.
	refused string
	runs    map[string]int
}

func newRefusingRunner(t *testing.T) *refusingRunner {
	t.Helper()
	r := &refusingRunner{runs: map[string]int{}}
	r.listener = serveConns(t, r.serve)
	return r
}

// refusal is a refusal of a request that bears its id.
func refusal(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Busy\r\nId: %s\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// serve answers the requests on a connection.
func (r *refusingRunner) serve(c net.Conn) {
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
		if _, err := io.WriteString(c, r.answer(q.Header.Get("Id"), kept)); err != nil {
			return
		}
	}
}

// answer returns what is written for a request, and counts its run.
func (r *refusingRunner) answer(id string, kept bool) string {
	time.Sleep(20 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refused == "" && id == "refused" {
		r.refused = id
		return refusal(id)
	}
	r.runs[id]++
	body := responseBody(id)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	if kept && r.refused != "" {
		text = refusal(r.refused) + text
	}
	return text
}

// TestRefusalOnceMore guards against a request that is reported as not run, or runs again, since
// a faulty runner has written an earlier refusal once more on a kept connection (REFUSED,
// TWICE): that of another request, or that of an earlier attempt of the same one.
func TestRefusalOnceMore(t *testing.T) {
	for _, kind := range []string{"any", "once"} {
		for _, id := range []string{"refused", "other"} {
			s := newTestCluster(t, 82, 0)
			r := newRefusingRunner(t)
			s.register(map[string]*chivefleet.Runner{"c": {ID: "c", Service: "s", Address: r.listener.Addr().String(), Slots: 4}})
			// Several connections are kept.
			var first sync.WaitGroup
			for k := range 3 {
				first.Go(func() { s.send(t.Context(), t, "/any/x", fmt.Sprint("first-", k), "") })
			}
			first.Wait()
			if id != "refused" {
				s.send(t.Context(), t, "/"+kind+"/x", "refused", "")
			}
			g := s.send(t.Context(), t, "/"+kind+"/x", id, "")
			if g.status != http.StatusOK || g.body != responseBody(id) {
				t.Errorf("%s, request %s: status %d, body %q", kind, id, g.status, g.body)
			}
			r.mu.Lock()
			if r.runs[id] != 1 {
				t.Errorf("%s, request %s: ran %d times, want once", kind, id, r.runs[id])
			}
			r.mu.Unlock()
		}
	}
}
