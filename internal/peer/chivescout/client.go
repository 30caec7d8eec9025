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

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// dialTimeout bounds a new connection to a scout.
	dialTimeout = 200 * time.Millisecond
	// idleConnTimeout is how long an idle connection to a scout is kept.
	idleConnTimeout = 20 * time.Second
	// scoutRetryDelay is how long a scout that did not answer is passed over.
	scoutRetryDelay = 2 * time.Second
	// contentType is that of the bodies.
	contentType = "application/cbor"
)

// A Client calls ranks through the scouts beside them, or directly where there is
// no scout. It implements chiverank.Engine.
type Client struct {
	// Port is that on which scouts listen at the address of their runner.
	Port int
	// Direct reaches ranks without a scout.
	Direct chiverank.Engine

	client           *http.Client
	mu               sync.Mutex
	unavailableUntil map[string]time.Time
}

// NewClient returns a new Client.
func NewClient(port int, direct chiverank.Engine) *Client {
	return &Client{Port: port, Direct: direct, unavailableUntil: map[string]time.Time{}, client: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}).DialContext,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: 2,
		DisableCompression:  true,
	}}}
}

// Order implements chiverank.Ranks.Order. The orders that hold a group and let it
// go do not depend on a second VM: while a group is held, the loss of the VM
// beside its rank would keep it so.
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

func (c *Client) orderDirect(ctx context.Context, m chiverank.Member, o chiverank.Order) error {
	return retryUnanswered(ctx, remoteTryTimeout, func(ctx context.Context) error { return c.Direct.Order(ctx, m, o) })
}

// Report implements chiverank.Ranks.Report.
func (c *Client) Report(ctx context.Context, m chiverank.Member) (chiverank.Report, error) {
	r, ok, err := c.call(ctx, m, pathReport, Request{})
	if !ok {
		return c.Direct.Report(ctx, m)
	}
	if err != nil || r.Report == nil {
		return chiverank.Report{}, callError(err, r)
	}
	return *r.Report, nil
}

// Counts implements chiverank.Engine.Counts.
func (c *Client) Counts(ctx context.Context, m chiverank.Member) (chiverank.ExpertCounts, error) {
	r, ok, err := c.call(ctx, m, pathCounts, Request{})
	if !ok {
		return c.Direct.Counts(ctx, m)
	}
	if err != nil || r.Counts == nil {
		return chiverank.ExpertCounts{}, callError(err, r)
	}
	return *r.Counts, nil
}

// Experts implements chiverank.Engine.Experts.
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

// err returns the failure that a reply tells of.
func (r *Reply) err() error {
	if r.Error == "" {
		return nil
	}
	return Error.New("%s", r.Error)
}

func callError(err error, r *Reply) error {
	if err != nil {
		return err
	}
	if err := r.err(); err != nil {
		return err
	}
	return Error.New("answer is empty")
}

// call makes one call. It reports false where there is no scout: then nothing
// was sent.
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
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, true, Error.Wrap(err)
	}
	var r Reply
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, true, Error.New("scout at %s answered %d: %v", host, resp.StatusCode, err)
	}
	return &r, true, nil
}

// available reports whether the scout at a host answered lately or was not tried.
func (c *Client) available(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.unavailableUntil[host])
}

// markUnavailable passes a scout over for a while.
func (c *Client) markUnavailable(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unavailableUntil[host] = time.Now().Add(scoutRetryDelay)
}
