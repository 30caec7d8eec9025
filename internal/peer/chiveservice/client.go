// Package chiveservice implements the client of plain application services.
package chiveservice

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// MaxResponseSize is the largest answer that is passed on, in bytes.
const MaxResponseSize = 4 << 20

// A Request is a call to a service.
type Request struct {
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's idempotency key, which the service gets too.
	IdempotencyKey string
}

// An Response is what the service answered.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// A Client speaks to one runner of a service.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a new Client of the service at an address. Every call uses
// a connection of its own: net/http repeats a call that carries an
// Idempotency-Key when a kept connection breaks, and the service may have run
// it.
func NewClient(addr string) *Client {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}}
	return &Client{base: "http://" + addr, http: client}
}

// Do runs a call once. Its error is a *chiveverdict.Failure that says whether
// the call may have run.
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
