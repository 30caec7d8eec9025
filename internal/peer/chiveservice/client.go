// Package chiveservice implements the HTTP client of application services that are not
// model engines.
package chiveservice

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// MaxResponseSize is the largest response body that is accepted, in bytes.
const MaxResponseSize = 4 << 20

// Request is an HTTP request to a service.
type Request struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is sent to the service as the header Idempotency-Key, unless it
	// is empty.
	IdempotencyKey string
}

// Response is the HTTP response of a service.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client sends requests to one runner of a service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at addr, given as host:port. It uses a new
// connection for every request: net/http repeats a request with an Idempotency-Key if a
// reused connection breaks, although the service may already have run it. Redirects
// are not followed.
func NewClient(addr string) *Client {
	transport := chiveanswer.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true}, &net.Dialer{})
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return &Client{base: "http://" + addr, http: client}
}

// Do sends a request once. Its error is a *chiveverdict.Failure that reports whether
// the request may have run.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeInvalid, 0, "%v", err)
	}
	if r.ContentType != "" {
		req.Header.Set("Content-Type", r.ContentType)
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := c.http.Do(req)
	if err != nil && !connected.Load() {
		return nil, chiveverdict.NotRunf(chiveverdict.CodeUnreachable, time.Second, "service cannot be reached: %v", err)
	}
	if err != nil {
		return nil, chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "service gave no answer: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseSize+1))
	if err != nil || len(body) > MaxResponseSize {
		return nil, chiveverdict.MayHaveRunf(chiveverdict.CodeCut, "answer of the service is cut or larger than %d bytes", MaxResponseSize)
	}
	return &Response{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
