package chiverunner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

const (
	// bufferSize is that of the buffers of a connection, in bytes.
	bufferSize = 4096
	// maxInlineBody is the largest body that is written before the answer is read,
	// in bytes. It fits the window of an idle connection.
	maxInlineBody = 16 << 10
	// maxMismatches bounds the answers to other requests that are skipped.
	maxMismatches = 3
)

// A Conn is a connection to a runner that carries one request at a time.
type Conn struct {
	addr      string
	nc        net.Conn
	reader    *bufio.Reader
	idleUntil chiveclock.Moment
	// noReuse connections carry no further request.
	noReuse bool
	// bodyErr is closed when the body of the request has been written.
	bodyErr chan error
}

func newConn(addr string, nc net.Conn) *Conn {
	return &Conn{addr: addr, nc: nc, reader: bufio.NewReaderSize(nc, bufferSize)}
}

// Close closes the connection; the runner stops work on its request.
func (c *Conn) Close() {
	_ = c.nc.Close()
}

// Abort closes the connection by a reset. Bytes of an abandoned request that are
// still on their way are lost with it, so that the runner does not begin it later.
func (c *Conn) Abort() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		// A connection that is closed already needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// A SendError is a failure to send a request.
type SendError struct {
	// Sent says that bytes of the request may have left.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return "sending: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// A Matcher tells whether an answer belongs to the request that was sent.
type Matcher func(*http.Response) bool

// Exchange sends a request, given as its header and its body, and reads the
// header of its answer. Answers that do not match are skipped. The connection
// is aborted when the context ends; stop undoes that.
func (c *Conn) Exchange(ctx context.Context, req *http.Request, header, body []byte, match Matcher) (resp *http.Response, stop func() bool, err error) {
	stop = context.AfterFunc(ctx, c.Abort)
	if err := c.send(header, body); err != nil {
		stop()
		return nil, nil, err
	}
	for range maxMismatches {
		resp, err := c.readHeader(req)
		if err != nil {
			stop()
			return nil, nil, err
		}
		if match(resp) {
			c.setIdleDeadline(resp)
			return resp, stop, nil
		}
		c.noReuse = true
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			stop()
			return nil, nil, Error.New("skipping a foreign answer: %v", err)
		}
	}
	stop()
	return nil, nil, Error.New("answers belong to other requests")
}

// readHeader reads the header of the next final answer.
func (c *Conn) readHeader(req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// send writes the request. A long body is written beside the reading, since a
// runner may answer before it has read it.
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
		_, err := c.nc.Write(body)
		done <- err
	}()
	return nil
}

// Reusable reports whether the connection may carry another request, after the
// body of the answer has been read.
func (c *Conn) Reusable(resp *http.Response) bool {
	if c.noReuse || resp.Close || c.reader.Buffered() > 0 || !c.bodyWritten() {
		return false
	}
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

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

// setIdleDeadline notes how long the runner keeps the connection when idle.
func (c *Conn) setIdleDeadline(resp *http.Response) {
	keep := defaultIdleTimeout
	for part := range strings.SplitSeq(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); name == "timeout" && err == nil {
			keep = time.Duration(s) * time.Second
		}
	}
	c.idleUntil = chiveclock.Now().Add(keep - idleMargin)
}

// usable reports whether an idle connection is open and has no stray bytes.
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
