package chivescout

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// dialTimeout bounds opening a connection to a scout.
	dialTimeout = 200 * time.Millisecond
	// idleConnTimeout is how long an idle connection to a scout is kept.
	idleConnTimeout = 20 * time.Second
	// scoutRetryDelay is the time for which ranks are called directly after their
	// scout did not answer.
	scoutRetryDelay = 2 * time.Second
	// maxReplyBytes bounds a reply, maxReplyHeadBytes its head.
	maxReplyBytes     = 4 << 20
	maxReplyHeadBytes = 64 << 10
	// contentType is the media type of requests.
	contentType = "application/cbor"
)

// Client implements chiverank.Engine. It calls ranks through the scouts beside
// them. If a call to a scout failed less than scoutRetryDelay ago, it calls the
// rank directly.
type Client struct {
	// Port is the port on which scouts listen, at the host of their runner.
	Port int
	// Direct calls ranks without a scout.
	Direct chiverank.Engine

	client *http.Client
	mu     sync.Mutex
	// unavailableUntil holds, for each host whose scout did not answer, the time
	// until which the scout is not called.
	unavailableUntil map[string]time.Time
}

// NewClient returns a Client for scouts on a port, with direct calls through an
// Engine.
func NewClient(port int, direct chiverank.Engine) *Client {
	return &Client{Port: port, Direct: direct, unavailableUntil: map[string]time.Time{}, client: &http.Client{Transport: chiveanswer.NewTransport(&http.Transport{
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxReplyHeadBytes,
	}, &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second})}}
}

// Order implements chiverank.Ranks. Hold and Go are sent directly: if they went
// through a scout, the loss of its VM could keep a group held.
func (c *Client) Order(ctx context.Context, m chiverank.Member, o chiverank.Order) error {
	if o.Op == chiverank.Hold || o.Op == chiverank.Go {
		return c.orderDirect(ctx, m, o)
	}
	r, ok, err := c.call(ctx, m, pathOrder, Request{Order: &o})
	if !ok {
		return c.orderDirect(ctx, m, o)
	}
	if err != nil {
		return err
	}
	switch r.Refused {
	case refusedConflict:
		return Error.Wrap(fmt.Errorf("%w: %s", chiverank.ErrConflict, r.Error))
	case refusedFenced:
		return Error.Wrap(fmt.Errorf("%w: %s", chiverank.ErrFenced, r.Error))
	}
	return r.err()
}

// orderDirect sends an order to a rank without a scout and repeats it until the
// rank answers or the context ends.
func (c *Client) orderDirect(ctx context.Context, m chiverank.Member, o chiverank.Order) error {
	return retryUnanswered(ctx, remoteTryTimeout, remoteTryTimeout, func(ctx context.Context) error { return c.Direct.Order(ctx, m, o) })
}

// Report implements chiverank.Ranks.
func (c *Client) Report(ctx context.Context, m chiverank.Member) (chiverank.Report, error) {
	r, ok, err := c.call(ctx, m, pathReport, Request{})
	if !ok {
		return c.Direct.Report(ctx, m)
	}
	if err != nil || r.Report == nil {
		return chiverank.Report{}, callError(err, r)
	}
	return *r.Report, r.Report.Check()
}

// Counts implements chiverank.Engine.
func (c *Client) Counts(ctx context.Context, m chiverank.Member) (chiverank.ExpertCounts, error) {
	r, ok, err := c.call(ctx, m, pathCounts, Request{})
	if !ok {
		return c.Direct.Counts(ctx, m)
	}
	if err != nil || r.Counts == nil {
		return chiverank.ExpertCounts{}, callError(err, r)
	}
	return *r.Counts, r.Counts.Check()
}

// Experts implements chiverank.Engine.
func (c *Client) Experts(ctx context.Context, m chiverank.Member) (chiverank.HeldExperts, error) {
	r, ok, err := c.call(ctx, m, pathExperts, Request{})
	if !ok {
		return c.Direct.Experts(ctx, m)
	}
	if err != nil || r.Experts == nil {
		return chiverank.HeldExperts{}, callError(err, r)
	}
	return *r.Experts, nil
}

// err returns the error that a reply carries, or nil.
func (r *Reply) err() error {
	if r.Error == "" {
		return nil
	}
	return Error.New("%s", r.Error)
}

// callError returns the error of a call that returned no result: the given error, the
// error in the reply, or an error that says that the reply has no result.
func callError(err error, r *Reply) error {
	if err != nil {
		return err
	}
	if err := r.err(); err != nil {
		return err
	}
	return Error.New("reply of the scout has no result")
}

// call sends one request to the scout of a rank. It returns false if the scout is
// marked as unavailable or the rank's address is malformed; then nothing was sent.
// An error with true means that the request may have been carried out.
func (c *Client) call(ctx context.Context, m chiverank.Member, path string, q Request) (*Reply, bool, error) {
	host, _, err := net.SplitHostPort(m.Address)
	if err != nil || !c.available(host) {
		return nil, false, nil
	}
	q.ID, q.Rank = m.ID, m.Rank
	body, err := cbor.Marshal(&q)
	if err != nil {
		return nil, true, Error.Wrap(err)
	}
	url := "http://" + net.JoinHostPort(host, strconv.Itoa(c.Port)) + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, true, Error.Wrap(err)
	}
	req.Header.Set("Content-Type", contentType)
	resp, err := c.client.Do(req)
	if err != nil {
		c.markUnavailable(host)
		return nil, true, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, true, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, true, Error.New("scout at %s answered with HTTP status %d: %.200s", host, resp.StatusCode, data)
	}
	var r Reply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, true, Error.New("cannot decode the reply of the scout at %s, HTTP status %d: %v", host, resp.StatusCode, err)
	}
	return &r, true, nil
}

// available reports whether the scout at a host may be called: no call to it has
// failed within the last scoutRetryDelay.
func (c *Client) available(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.unavailableUntil[host])
}

// markUnavailable stops calls to the scout at a host for scoutRetryDelay.
func (c *Client) markUnavailable(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableUntil[host] = time.Now().Add(scoutRetryDelay)
}
