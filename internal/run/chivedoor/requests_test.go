package chivedoor

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
)

// TestRequestsAreRefusedBeforeTheyRun guards against a refusal of a request that runs, and against counts
// that stay after requests: requests without and with a body are worked on until the part for requests
// is spent, the others are refused, and all fit again once the first have ended.
func TestRequestsAreRefusedBeforeTheyRun(t *testing.T) {
	const room = 4
	var runs atomic.Int64
	release := make(chan struct{})
	q := &Requests{Budget: chivebudget.Budget{Total: (room*requestSize + requestSize/2) / 3 * 4}}
	next := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			if !errors.Is(err, ErrNoRoom) {
				t.Errorf("body: %v", err)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		runs.Add(1)
		<-release
	})
	refuse := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	addr := serve(t, &Ledger{}, &Door{Name: "d", Weight: 1}, q.Handler(next, refuse, 1))
	const request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
	var first []net.Conn
	for i := range room {
		c := dial(t, addr)
		first = append(first, c)
		if _, err := io.WriteString(c, request+[]string{"0\r\n\r\n", "4\r\n\r\nbody"}[i%2]); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); runs.Load() < room && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	for _, rest := range []string{"0\r\n\r\n", "4\r\n\r\nbody"} {
		if got := ask(dial(t, addr), request+rest); got != http.StatusServiceUnavailable {
			t.Errorf("status %d for %q beside %d requests", got, strings.TrimSpace(rest), room)
		}
	}
	if runs.Load() != room {
		t.Errorf("%d requests run, want %d", runs.Load(), room)
	}
	close(release)
	for _, c := range first {
		if got := ask(c, ""); got != http.StatusOK {
			t.Errorf("status %d of a request that ran", got)
		}
	}
	if got := ask(dial(t, addr), request+"4\r\n\r\nbody"); got != http.StatusOK {
		t.Errorf("status %d once there is room again", got)
	}
	if held := q.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted after all requests", held)
	}
}
