package chiveoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// Error is the class of errors of this package.
var Error = errs.Class("operator")

// maxResponseBytes is the number of bytes of a response that are read; the rest is
// cut off.
const maxResponseBytes = 64 << 20

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 15 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
)

// RejectedError is the error of a request that a gateway answered with a status
// other than 200, such as a change that it refused.
type RejectedError struct {
	// Status is the HTTP status.
	Status int
	Rejection
}

// Error implements error.
func (e *RejectedError) Error() string {
	return e.Rejection.Error + " (" + e.Verdict + ")"
}

// Client sends an operator's requests to the gateways. It tries them in order
// until one answers.
type Client struct {
	// Gateways holds the admin addresses, as IP:port.
	Gateways []string
	// Token is the operator's token.
	Token string
	HTTP  http.Client
}

// NewClient returns a new Client with a timeout of 15 seconds for each gateway that
// it tries.
func NewClient(gateways []string, token string) *Client {
	return &Client{Gateways: gateways, Token: token, HTTP: http.Client{Timeout: 15 * time.Second, Transport: chiveanswer.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: idleTimeout}, &net.Dialer{Timeout: dialTimeout})}}
}

// Head returns the head in force at a gateway.
func (c *Client) Head(ctx context.Context) (*chiveconf.Head, error) {
	head := &chiveconf.Head{}
	return head, c.getJSON(ctx, PathHead, head)
}

// Sheet returns the sheet in force at a gateway.
func (c *Client) Sheet(ctx context.Context) ([]byte, error) {
	return c.tryGateways(ctx, http.MethodGet, PathSheet, nil)
}

// Apply asks a gateway to put a sheet in force and returns the head that results.
// Of the change it sends the ID, the author and the base; the gateway fills in the
// rest.
func (c *Client) Apply(ctx context.Context, change chiveconf.Change, sheet []byte) (*chiveconf.Head, error) {
	q := url.Values{"id": {change.ID}, "author": {change.Author}, "base": {strconv.FormatUint(change.BaseVersion, 10)}}
	return c.postChange(ctx, PathSheet+"?"+q.Encode(), sheet)
}

// Change asks a gateway for a change and returns the head that results.
func (c *Client) Change(ctx context.Context, change chiveconf.Change) (*chiveconf.Head, error) {
	body, err := json.Marshal(&change)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return c.postChange(ctx, PathChange, body)
}

// Nodes returns the status of every process.
func (c *Client) Nodes(ctx context.Context) (*NodeList, error) {
	n := &NodeList{}
	return n, c.getJSON(ctx, PathNodes, n)
}

// Events returns the events of all processes that the filter selects.
func (c *Client) Events(ctx context.Context, f chivetime.Filter) (*Timeline, error) {
	t := &Timeline{}
	q := url.Values{"kind": {f.Kind}, "subject": {f.Subject}}
	return t, c.getJSON(ctx, PathEvents+"?"+q.Encode(), t)
}

// postChange posts a change and returns the head of the answer.
func (c *Client) postChange(ctx context.Context, path string, body []byte) (*chiveconf.Head, error) {
	data, err := c.tryGateways(ctx, http.MethodPost, path, body)
	if err != nil {
		return nil, err
	}
	accepted := &AcceptedChange{}
	return &accepted.Head, Error.Wrap(json.Unmarshal(data, accepted))
}

// getJSON decodes the answer to a GET request into a value.
func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	data, err := c.tryGateways(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return Error.Wrap(json.Unmarshal(data, into))
}

// tryGateways sends a request to the gateways in order until one answers with a
// status below 500. It returns the error of the last one otherwise. Sending a change
// to several gateways is safe because each change ID is accepted only once.
func (c *Client) tryGateways(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	err := error(Error.New("no gateway is named; use --gateway"))
	for _, addr := range c.Gateways {
		var data []byte
		data, err = c.send(ctx, method, "http://"+addr+path, body)
		if rejected, ok := err.(*RejectedError); err == nil || ok && rejected.Status < http.StatusInternalServerError {
			return data, err
		}
	}
	return nil, err
}

// send sends a request to one gateway and returns the body of its answer. For any
// status but 200 it returns a RejectedError; if the body is not a Rejection with an
// error, the verdict is "may-have-run".
func (c *Client) send(ctx context.Context, method, target string, body []byte) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return data, nil
	}
	rejected := &RejectedError{Status: resp.StatusCode}
	if json.Unmarshal(data, &rejected.Rejection) != nil || rejected.Rejection.Error == "" {
		rejected.Rejection = Rejection{Error: resp.Status, Verdict: "may-have-run"}
	}
	return nil, rejected
}

// Faults returns the faults of a rejected sheet. It is empty for other errors.
func (e *RejectedError) Faults() chivesheet.Faults {
	return e.Rejection.Faults
}
