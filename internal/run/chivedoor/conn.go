package chivedoor

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// bufferSize is the size of the buffer through which a server reads, in bytes. A read of no
	// more may have brought a part of the next request.
	bufferSize = 4 << 10
	// refusal is the answer to a head that is too long.
	refusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTime is how long a client may take to read a refusal before its connection is reset.
	refusalTime = 500 * time.Millisecond
)

// errLongHead is returned to a server for a head that is too long.
var errLongHead = errors.New("head is too long")

// Conn is a connection of a client.
type Conn struct {
	*net.TCPConn
	door *Door

	// The following fields change under the ledger's mu. shut is set once the connection was closed
	// for others, since is when its step began.
	step  step
	shut  bool
	since time.Time
	// held is the number of bytes that are counted for it, head that of its head, and ahead what
	// the last read may have brought of the next one.
	held, ahead int64
	head        int64
}

// time returns how long the present step may take.
func (c *Conn) time(l Limits) time.Duration {
	switch {
	case c.step == stepHead:
		return l.HeadTimeout
	case c.step == stepIdle:
		return l.IdleTimeout
	case c.door.AnswerTime > 0:
		return c.door.AnswerTime
	}
	return bodyTime
}

// Read implements net.Conn.Read. What it returns of a head is counted before.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if problem := c.arrived(p[:n], len(p) <= bufferSize); problem != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: problem}
	}
	return n, err
}

// arrived counts bytes. Bytes that were buffered may belong to the next request.
func (c *Conn) arrived(b []byte, buffered bool) error {
	l := c.door.ledger
	l.mu.Lock()
	if c.shut {
		l.mu.Unlock()
		return errClosed
	}
	if c.step == stepIdle {
		c.step, c.since, c.head = stepHead, time.Now(), 0
	}
	inHead := c.step == stepHead
	if inHead {
		c.head += int64(len(b))
	}
	var size int64
	if inHead || buffered {
		size = cost(b)
	}
	c.ahead = 0
	if buffered {
		c.ahead = size
	}
	tooLong := inHead && c.head > l.limits().MaxHead
	if tooLong {
		l.count(c.door, LongHead)
	}
	l.mu.Unlock()
	if tooLong {
		c.refuse()
		return errLongHead
	}
	if inHead {
		return l.grow(c, size)
	}
	return nil
}

// refuse answers a head that is too long, and discards what else arrives for a moment: a connection
// that is closed with unread bytes is reset, and its client loses the answer.
func (c *Conn) refuse() {
	// Failures of these calls mean that the connection has ended.
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	if _, err := io.WriteString(c.TCPConn, refusal); err != nil {
		return
	}
	_ = c.CloseWrite()
	buffer := make([]byte, bufferSize)
	for {
		if _, err := c.TCPConn.Read(buffer); err != nil {
			return
		}
	}
}

// discard resets the connection, so that what the kernel holds for it is discarded, too. An idle one is
// closed: its client may see that before it sends a request.
func (c *Conn) discard() {
	if c.step != stepIdle {
		// It fails only if the connection is closed already.
		_ = c.SetLinger(0)
	}
	_ = c.Close()
}

// Hold counts n more bytes for the request that is arriving or being answered. It returns false if
// there is no room for them.
func (c *Conn) Hold(n int64) bool {
	return c.door.ledger.grow(c, n) == nil
}

// Begin ends the count of what the connection holds, once its request has arrived and another part of
// the budget counts it: from then on it is not closed for others. It returns the bytes of its request
// that were counted, or false if it was closed before.
func (c *Conn) Begin() (held int64, ok bool) {
	l := c.door.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.shut {
		return 0, false
	}
	held = max(0, c.held-connSize)
	c.door.held -= c.held
	c.held, c.step, c.since = 0, stepRequest, time.Now()
	return held, true
}

// note records the state of the connection at its server.
func (c *Conn) note(s http.ConnState) {
	l := c.door.ledger
	l.mu.Lock()
	if c.shut {
		l.mu.Unlock()
		return
	}
	switch s {
	case http.StateActive:
		c.step, c.since = stepBody, time.Now()
	case http.StateIdle:
		c.step, c.since = stepIdle, time.Now()
		c.door.held += connSize + c.ahead - c.held
		c.held = connSize + c.ahead
	case http.StateClosed, http.StateHijacked:
		c.shut = true
		l.remove(c)
	}
	l.mu.Unlock()
}

// connKey is the key of a connection in the context of a request.
type connKey struct{}

// ConnOf returns the connection of a request by its context, or nil if it came through no door.
func ConnOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
