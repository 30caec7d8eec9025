package chivedoor

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
)

// ErrNoRoom is returned for a body that does not fit the memory for requests.
var ErrNoRoom = errors.New("no memory for the request")

// requestSize is the memory of a request without its head and its body in bytes.
const requestSize = 32 << 10

// CountBodies returns a handler that passes requests on to next and counts their bodies as they are
// read, each byte as factor bytes of memory. Where there is no room, reading returns ErrNoRoom.
func CountBodies(next http.Handler, factor int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := ConnOf(r.Context()); c != nil && r.Body != nil {
			counted := *r
			counted.Body = &countedBody{r.Body, c, factor}
			r = &counted
		}
		next.ServeHTTP(w, r)
	})
}

// countedBody counts what is read of a body.
type countedBody struct {
	io.ReadCloser
	conn   *Conn
	factor int64
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.conn.Hold(int64(n)*b.factor) {
		return 0, ErrNoRoom
	}
	return n, err
}

// Requests counts the requests that a process works on for its callers, from the end of their bodies.
// The zero value sets no limit.
type Requests struct {
	Budget chivebudget.Budget

	held atomic.Int64
}

// Handler returns a handler that passes the requests that fit on to next, and the others to refuse.
// A body is counted as CountBodies does. One that does not fit once it has been read ends with
// ErrNoRoom.
func (q *Requests) Handler(next, refuse http.Handler, factor int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := ConnOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		a := &admission{requests: q, conn: c}
		defer a.end()
		if r.ContentLength == 0 {
			if !a.begin() {
				refuse.ServeHTTP(w, r)
				return
			}
			next.ServeHTTP(w, r)
			return
		}
		counted := *r
		counted.Body = &admittedBody{countedBody{r.Body, c, factor}, a}
		next.ServeHTTP(w, &counted)
	})
}

// admission is the count of one request.
type admission struct {
	requests *Requests
	conn     *Conn
	begun    bool
	held     int64
}

// begin counts the request once it has arrived whole. It returns false if it does not fit, and panics
// with http.ErrAbortHandler if its connection was closed for others.
func (a *admission) begin() bool {
	if a.begun {
		return true
	}
	held, ok := a.conn.Begin()
	if !ok {
		panic(http.ErrAbortHandler)
	}
	a.begun = true
	q := a.requests
	if !q.Budget.Admits(q.held.Load(), requestSize+held) {
		return false
	}
	a.held = requestSize + held
	q.held.Add(a.held)
	return true
}

// end ends the count.
func (a *admission) end() {
	a.requests.held.Add(-a.held)
}

// admittedBody is a body whose request begins at its end.
type admittedBody struct {
	countedBody
	admission *admission
}

// Read implements io.Reader.
func (b *admittedBody) Read(p []byte) (int, error) {
	n, err := b.countedBody.Read(p)
	if errors.Is(err, io.EOF) && !b.admission.begin() {
		return 0, ErrNoRoom
	}
	return n, err
}
