package chivedoor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
)

// serve serves a handler at a door of a ledger until the end of the test, and returns its address.
func serve(t *testing.T, l *Ledger, d *Door, h http.Handler) string {
	t.Helper()
	server := l.Add(d).Prepare(&http.Server{Handler: h})
	listener, err := d.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := server.Serve(listener); err != http.ErrServerClosed {
			t.Errorf("server stopped: %v", err)
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	// It returns nil.
	go func() { _ = l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		<-done
	})
	return listener.Addr().String()
}

// begun is a handler that takes its request over from the door, as the relay does, and answers it.
func begun(runs *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, ok := ConnOf(r.Context()).Begin(); !ok {
			panic(http.ErrAbortHandler)
		}
		runs.Add(1)
		// The client sees a broken connection.
		_, _ = io.WriteString(w, "whole")
	})
}

// ask sends a request and returns the status of the answer, or 0 unless it is whole.
func ask(c net.Conn, head string) int {
	if _, err := io.WriteString(c, head); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// dial opens a connection that is closed at the end of the test.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// head returns a head of a size in bytes, made of lines of a length.
func head(size, line int) string {
	const start, end = "GET / HTTP/1.1\r\nHost: x\r\n", "\r\n"
	var b strings.Builder
	b.WriteString(start)
	for i := 0; b.Len()+line+len(end) <= size; i++ {
		name := fmt.Sprintf("F%x:", i)
		b.WriteString(name + strings.Repeat("v", line-len(name)-len(end)) + "\r\n")
	}
	if pad := size - b.Len() - len(end); pad > len("P:\r\n") {
		b.WriteString("P:" + strings.Repeat("v", pad-len("P:\r\n")) + "\r\n")
	}
	return b.String() + end
}

// TestHeadsWithinLimits guards against limits that a client meets which keeps to those that operators
// state: heads of every shape up to the stated size get an answer, also where that is above the default,
// and one that is much longer gets 431.
func TestHeadsWithinLimits(t *testing.T) {
	for _, limit := range []int64{16 << 10, 1 << 20} {
		for _, line := range []int{16, 64, 4000} {
			var runs atomic.Int64
			l := &Ledger{Budget: chivebudget.ForMemory(1 << 30), Limits: func() Limits { return Limits{MaxHead: limit} }}
			addr := serve(t, l, &Door{Name: "d", Weight: 1}, begun(&runs))
			if got := ask(dial(t, addr), head(int(limit), line)); got != http.StatusOK {
				t.Errorf("limit %d, lines of %d bytes: status %d for a head of that size", limit, line, got)
			}
			if got := ask(dial(t, addr), head(int(limit)+2*headSlack, line)); got != http.StatusRequestHeaderFieldsTooLarge {
				t.Errorf("limit %d, lines of %d bytes: status %d for a longer head", limit, line, got)
			}
		}
	}
}

// TestStatedTimes guards against a kept connection that is closed earlier than four fifths of the stated
// time, or a head that may not take the stated one, and checks that both end later.
func TestStatedTimes(t *testing.T) {
	const stated = 500 * time.Millisecond
	var runs atomic.Int64
	l := &Ledger{Limits: func() Limits { return Limits{HeadTimeout: stated, IdleTimeout: stated} }}
	addr := serve(t, l, &Door{Name: "d", Weight: 1}, begun(&runs))
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	idle, slow := dial(t, addr), dial(t, addr)
	if got := ask(idle, request); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if _, err := io.WriteString(slow, request[:10]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(stated * 4 / 5)
	if a, b := ask(idle, request), ask(slow, request[10:]); a != http.StatusOK || b != http.StatusOK {
		t.Errorf("status %d on a kept connection, %d for a slow head", a, b)
	}
	for _, c := range []net.Conn{idle, dial(t, addr)} {
		if err := c.SetReadDeadline(time.Now().Add(stated + timeSlack + 5*time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Errorf("a connection without a request is not closed: %v", err)
		}
	}
}

// TestRunsAreAnswered guards against a request on a kept connection that runs although the connection
// was closed for others, so that its answer is lost: clients that keep connections and new ones overlap
// where there is room for few.
func TestRunsAreAnswered(t *testing.T) {
	var runs, answers atomic.Int64
	l := &Ledger{MaxConns: 8}
	addr := serve(t, l, &Door{Name: "d", Weight: 1}, begun(&runs))
	var group sync.WaitGroup
	for range 24 {
		group.Go(func() {
			for range 60 {
				c, err := net.Dial("tcp4", addr)
				if err != nil {
					continue
				}
				for range 4 {
					if ask(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody") != http.StatusOK {
						break
					}
					answers.Add(1)
				}
				_ = c.Close()
			}
		})
	}
	group.Wait()
	_, closed := l.Counts()
	if runs.Load() != answers.Load() || runs.Load() == 0 || closed[Closed{"d", NoDescriptors}] == 0 {
		t.Errorf("%d requests ran, %d were answered, closed connections %v", runs.Load(), answers.Load(), closed)
	}
}

// TestDoorsShareRoom guards against a crowd at one port that leaves no room at another one.
func TestDoorsShareRoom(t *testing.T) {
	var runs atomic.Int64
	l := &Ledger{MaxConns: 20}
	crowded := serve(t, l, &Door{Name: "crowded", Weight: 4}, begun(&runs))
	quiet := serve(t, l, &Door{Name: "quiet", Weight: 1}, begun(&runs))
	var kept []net.Conn
	for range 4 {
		kept = append(kept, dial(t, quiet))
		if got := ask(kept[len(kept)-1], "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); got != http.StatusOK {
			t.Fatalf("status %d", got)
		}
	}
	for range 100 {
		dial(t, crowded)
	}
	for i, c := range kept {
		if got := ask(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); got != http.StatusOK {
			t.Errorf("status %d on kept connection %d of the other port", got, i)
		}
	}
	if doors, _ := l.Counts(); doors["crowded"].Conns > 16 || doors["quiet"].Conns != 4 {
		t.Errorf("connections %v", doors)
	}
}
