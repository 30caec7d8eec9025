package chiverunner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

const (
	// bufferSize is the size of the read buffer of a connection, in bytes.
	bufferSize = 4096
	// maxInlineBody is the largest request body, in bytes, that is written before the
	// response is read. It fits the send window of an idle connection, so that the
	// write does not block.
	maxInlineBody = 16 << 10
	// maxMismatches is the number of responses to other requests after which an
	// exchange fails.
	maxMismatches = 3
	// lateTime is how long a response is still read after its exchange was canceled:
	// several round trips between zones.
	lateTime = 100 * time.Millisecond
)

// Conn is an HTTP/1.1 connection to a runner that carries one request at a time. It
// is not safe for concurrent use.
type Conn struct {
	addr   string
	nc     net.Conn
	reader *bufio.Reader
	// head bounds what reader reads of a head.
	head *headReader
	// idleUntil is the moment after which an idle connection is not used again.
	idleUntil chiveclock.Moment
	// reused reports that the connection has carried another request before.
	reused bool
	// noReuse reports that the connection must not carry another request.
	noReuse bool
	// bodyErr receives the result of writing a long body; nil if the last request
	// had none.
	bodyErr chan error
}

func newConn(addr string, nc net.Conn) *Conn {
	h := &headReader{source: nc}
	return &Conn{addr: addr, nc: nc, head: h, reader: bufio.NewReaderSize(h, bufferSize)}
}

// Close closes the connection. The runner stops work on its request, if any.
func (c *Conn) Close() {
	_ = c.nc.Close()
}

// Abort resets the connection. Bytes of the request that the runner has not read yet
// are discarded, so that it does not begin an abandoned request later.
func (c *Conn) Abort() {
	if tcp, ok := c.nc.(interface{ SetLinger(sec int) error }); ok {
		// It fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// SendError is returned if a request could not be sent completely.
type SendError struct {
	// Sent reports whether any byte of the request may have been sent.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return "sending: " + e.Err.Error() }

// Unwrap returns the error of the connection.
func (e *SendError) Unwrap() error { return e.Err }

// Matcher reports whether a response belongs to the request that was sent.
type Matcher func(*http.Response) bool

// Outgoing is a request to a runner.
type Outgoing struct {
	// Request is the request of the caller, by which the response is read.
	Request *http.Request
	// Header is the encoded header, Body the body.
	Header, Body []byte
	// Match selects the response; others are skipped.
	Match Matcher
	// Unreturned is called with the header of each response that Exchange does not return: one
	// to another request, or one that arrives within lateTime after ctx has ended. It may be
	// called after Exchange has returned.
	Unreturned func(*http.Response)
}

// Exchange sends a request and reads the header of the response. The connection is aborted
// when ctx ends, also while the caller reads the response body, until stop is called; stop
// returns false if the abort has begun. If Exchange returns an error, the connection is aborted
// or, if ctx has ended before a response, will be once late responses were read. The error is a
// *SendError if the request could not be sent.
func (c *Conn) Exchange(ctx context.Context, o Outgoing) (resp *http.Response, stop func() bool, err error) {
	interrupted := make(chan struct{})
	uninterrupt := context.AfterFunc(ctx, func() {
		// It fails only if the connection is closed already.
		_ = c.nc.SetDeadline(time.Unix(1, 0))
		close(interrupted)
	})
	if err = c.send(o.Header, o.Body); err == nil {
		resp, err = c.receive(o)
	}
	if uninterrupt() {
		if err != nil {
			c.Abort()
			return nil, nil, err
		}
		return resp, context.AfterFunc(ctx, c.Abort), nil
	}
	<-interrupted
	var sendErr *SendError
	switch {
	case errors.As(err, &sendErr):
		c.Abort()
	case err != nil:
		go c.receiveLate(o)
	default:
		o.Unreturned(resp)
		c.Abort()
		err = Error.Wrap(ctx.Err())
	}
	return nil, nil, err
}

// receive reads the header of the response that matches.
func (c *Conn) receive(o Outgoing) (*http.Response, error) {
	for range maxMismatches {
		resp, err := c.readHeader(o.Request)
		if err != nil {
			return nil, err
		}
		if o.Match(resp) {
			c.setIdleDeadline(resp)
			return resp, nil
		}
		c.noReuse = true
		o.Unreturned(resp)
		if err := skip(resp.Body); err != nil {
			return nil, Error.Wrap(fmt.Errorf("skipping an answer to another request: %w", err))
		}
	}
	return nil, Error.New("answers belong to other requests")
}

// receiveLate reads what the runner answers within lateTime and aborts the connection. It does
// not close it for writing before: then a runner that is suspended could read and run the
// request later.
func (c *Conn) receiveLate(o Outgoing) {
	defer c.Abort()
	// It fails only if the connection is closed already.
	_ = c.nc.SetDeadline(time.Now().Add(lateTime))
	// A panic ends this connection alone.
	_ = chiveguard.Call("late answer", func() error {
		resp, err := c.receive(o)
		if err == nil {
			o.Unreturned(resp)
		}
		return err
	})
}

// readHeader reads the header of the next response, skipping those with a status 1xx. Its
// error wraps ErrUnbounded if these have no end, and chiveanswer.ErrMalformed if one of them is
// no response.
func (c *Conn) readHeader(req *http.Request) (*http.Response, error) {
	c.head.begin()
	defer c.head.end()
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if err := chiveanswer.Check(resp); err != nil {
			return nil, Error.Wrap(err)
		}
		if resp.StatusCode >= http.StatusOK {
			chiveanswer.CheckTrailer(resp)
			return resp, nil
		}
	}
}

// send writes the request. A body above maxInlineBody is written concurrently with
// reading the response, since the runner may respond before it has read the body.
func (c *Conn) send(header, body []byte) error {
	c.bodyErr = nil
	if len(body) <= maxInlineBody {
		n, err := c.nc.Write(append(header, body...))
		if err != nil {
			return &SendError{Sent: n > 0, Err: err}
		}
		return nil
	}
	if n, err := c.nc.Write(header); err != nil {
		return &SendError{Sent: n > 0, Err: err}
	}
	done := make(chan error, 1)
	c.bodyErr = done
	go func() {
		done <- chiveguard.Call("writing of a body", func() error {
			_, err := c.nc.Write(body)
			return err
		})
	}()
	return nil
}

// Reused reports whether the connection has carried another request before, of which a response
// may still arrive.
func (c *Conn) Reused() bool {
	return c.reused
}

// Reusable reports whether the connection may carry another request. The body of resp
// must have been read to its end.
func (c *Conn) Reusable(resp *http.Response) bool {
	if c.noReuse || resp.Close || c.reader.Buffered() > 0 || !c.bodyWritten() {
		return false
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// bodyWritten reports whether the request body has been written without an error.
func (c *Conn) bodyWritten() bool {
	if c.bodyErr == nil {
		return true
	}
	select {
	case err := <-c.bodyErr:
		return err == nil
	default:
		return false
	}
}

// setIdleDeadline computes idleUntil from the Keep-Alive header of a response, or from
// defaultIdleTimeout if the header is missing.
func (c *Conn) setIdleDeadline(resp *http.Response) {
	timeout := defaultIdleTimeout
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); name == "timeout" && err == nil {
			timeout = time.Duration(s) * time.Second
		}
	}
	c.idleUntil = chiveclock.Now().Add(timeout - idleMargin)
}

// usable reports whether an idle connection is still open and has received no bytes
// since its last response. It peeks at the socket without blocking.
func (c *Conn) usable() bool {
	if chiveclock.Now() >= c.idleUntil {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}
