// Package chivevm implements the client of the platform's list of entry VMs.
package chivevm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
)

// Error is the class of errors of this package.
var Error = errs.Class("vm list")

// maxVMs bounds the size of a response: it may hold this many VMs of 512 bytes each.
const maxVMs = 10_000

const (
	// dialTimeout bounds opening a connection.
	dialTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 90 * time.Second
)

// State is the lifecycle state of a VM.
type State string

// The states of a VM.
const (
	StateLive State = "live"
	// StateLeaving means that the platform is about to remove the VM.
	StateLeaving State = "leaving"
)

// VM is an entry VM in the platform's list.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress is the address for requests of callers, as IP:port.
	CallerAddress string `json:"caller"`
	// LinkAddress is the address for other processes of this system, as IP:port.
	LinkAddress string `json:"link"`
	State       State  `json:"state"`
}

// Check returns an error if a field is missing or malformed.
func (v *VM) Check() error {
	if v.Name == "" || v.Zone == "" {
		return fmt.Errorf("vm %q needs a name and a zone", v.Name)
	}
	for _, a := range []string{v.CallerAddress, v.LinkAddress} {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("vm %q: address %q is not IP:port", v.Name, a)
		}
	}
	if v.State != StateLive && v.State != StateLeaving {
		return fmt.Errorf("vm %q: state %q is not live or leaving", v.Name, v.State)
	}
	return nil
}

// Client reads the VM list. It is not safe for concurrent use.
type Client struct {
	URL  string
	HTTP http.Client

	// etag and list are from the last response that carried the list.
	etag string
	list []VM
}

// NewClient returns a client of the list at url. Its requests time out after 2 s.
func NewClient(url string) *Client {
	return &Client{URL: url, HTTP: http.Client{Timeout: 2 * time.Second, Transport: chiveanswer.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, IdleConnTimeout: idleTimeout}, &net.Dialer{Timeout: dialTimeout})}}
}

// List returns the entry VMs according to the platform, whose list may be out of date.
// The list is transferred only if it has changed since the last call: with hundreds of
// VMs it is larger than all other control traffic of a second.
func (c *Client) List(ctx context.Context) ([]VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.URL, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return c.list, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, Error.New("status %s", resp.Status)
	}
	list, err := decodeList(resp.Body)
	if err != nil {
		return nil, err
	}
	c.etag, c.list = resp.Header.Get("ETag"), list
	return list, nil
}

// decodeList reads a JSON list and checks every VM.
func decodeList(body io.ReadCloser) ([]VM, error) {
	var list []VM
	if err := json.NewDecoder(http.MaxBytesReader(nil, body, maxVMs*512)).Decode(&list); err != nil {
		return nil, Error.Wrap(err)
	}
	for i := range list {
		if err := list[i].Check(); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	return list, nil
}
