// Package chivevm implements the client of the platform's VM list.
package chivevm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("vm list")

// maxVMs is the largest list that is read.
const maxVMs = 10_000

// A State says whether the platform keeps a VM.
type State string

// The states of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// A VM is one entry VM in the platform's list.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// CallerAddress is the address for callers, as IP:port.
	CallerAddress string `json:"caller"`
	// LinkAddress is the address for other processes of the system, as IP:port.
	LinkAddress string `json:"link"`
	State       State  `json:"state"`
}

// Check returns an error where a field is missing or malformed.
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

// A Client reads the VM list. It is not safe for concurrent use.
type Client struct {
	URL  string
	HTTP http.Client

	// etag and list are those of the last answer.
	etag string
	list []VM
}

// NewClient returns a new Client.
func NewClient(url string) *Client {
	return &Client{URL: url, HTTP: http.Client{Timeout: 2 * time.Second}}
}

// List returns the entry VMs as the platform shows them, which may be late. The
// list is sent only where it has changed since the last call: at hundreds of VMs
// it is larger than all other control traffic of a second.
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
