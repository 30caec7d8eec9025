package chivehub

import (
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveanswer"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

const (
	// fetchTimeout bounds one read of a hub's replica: up to about a megabyte over the
	// network of a zone.
	fetchTimeout = 500 * time.Millisecond
	// idleTimeout is how long an idle connection to a hub is kept open. It is short
	// because a connection may go silent without a reset.
	idleTimeout = 2 * time.Second
	// maxHeadSize is the maximum size of the head of a response in bytes.
	maxHeadSize = 64 << 10
	// maxReplicaSize is the maximum size of an encoded replica in bytes.
	maxReplicaSize = 8 << 20
	// replicasPath is the HTTP path at which a hub serves its replicas.
	replicasPath = "/copies"
	// minCompressedSize is the size in bytes from which a response is compressed. A
	// smaller one fits into one network packet.
	minCompressedSize = 1400
	// compressorSize is the memory of a compressor in bytes.
	compressorSize = 700 << 10
)

// ReplicaPage is a hub's response: the rows of a table, or those changed after a
// version.
type ReplicaPage struct {
	Rows    []chivefollow.Row `cbor:"rows"`
	Version int64             `cbor:"version"`
	// Era is the era of the store to which the rows belong.
	Era int64 `cbor:"era,omitempty"`
	// Whole is set if Rows is the whole table.
	Whole bool `cbor:"whole"`
	// Age is the time since the replica was last known to be up to date, or negative
	// if it never was.
	Age time.Duration `cbor:"age"`
	// SinceRecovery is the time since the store answered again after a failure, or
	// negative if it has not failed.
	SinceRecovery time.Duration `cbor:"outage"`
}

// Validate returns an error for a response that no hub sends.
func (p *ReplicaPage) Validate() error {
	if p.Version <= 0 {
		return Error.New("replica has no version")
	}
	for _, r := range p.Rows {
		if r.Key == "" {
			return Error.New("replica has a row without a key")
		}
	}
	return nil
}

// Handler returns the HTTP handler that serves the replicas of this entry VM.
func (s *Source) Handler() http.Handler {
	e := echo.New()
	// A configuration of hundreds of kilobytes goes to all members at once, over the
	// network link that also carries the responses to callers.
	e.Use(middleware.GzipWithConfig(middleware.GzipConfig{Level: gzip.BestSpeed, MinLength: minCompressedSize}))
	e.GET(replicasPath, func(c echo.Context) error {
		after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after: not a version")
		}
		j := s.Journal(c.QueryParam("table"))
		if !j.loaded() {
			return echo.NewHTTPError(http.StatusNotFound, "table is not known")
		}
		// Processes that know no eras send none, and ask for changes of this one.
		era := j.Revision().Era
		if text := c.QueryParam("era"); text != "" {
			if era, err = strconv.ParseInt(text, 10, 64); err != nil {
				return echo.NewHTTPError(http.StatusBadRequest, "era: not a number")
			}
		}
		page := j.ChangesSince(chivefollow.Position{Era: era, Version: after})
		data, err := cbor.Marshal(&ReplicaPage{
			Rows: page.Rows, Version: page.Version, Era: page.Era, Whole: page.Snapshot, Age: s.Clock.Age(page.Confirmed), SinceRecovery: s.Clock.Age(page.Recovered),
		})
		if err != nil {
			return Error.Wrap(err)
		}
		if conn := chivedoor.ConnOf(c.Request().Context()); conn != nil && !conn.Hold(pageSize(len(data))) {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.Blob(http.StatusOK, "application/cbor", data)
	})
	return e
}

// pageSize returns the memory that a page of a number of bytes takes as it is sent.
func pageSize(encoded int) int64 {
	size := int64(2 * encoded)
	if encoded >= minCompressedSize {
		size += compressorSize
	}
	return size
}

// Client implements Replicas over HTTP.
type Client struct {
	http http.Client
}

// NewClient returns a Client that keeps at most one idle connection per hub.
func NewClient() *Client {
	return &Client{http: http.Client{Timeout: fetchTimeout, Transport: chiveanswer.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadSize,
	}, &net.Dialer{})}}
}

// Changes implements Replicas.Changes.
func (c *Client) Changes(ctx context.Context, hub *Hub, table string, after chivefollow.Position) (chivefollow.Page, error) {
	query := url.Values{"table": {table}, "after": {strconv.FormatInt(after.Version, 10)}, "era": {strconv.FormatInt(after.Era, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hub.Addr+replicasPath+"?"+query.Encode(), nil)
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	sent := chiveclock.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return chivefollow.Page{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplicaSize))
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return chivefollow.Page{}, Error.New("hub %s answered with HTTP status %d", hub.Name, resp.StatusCode)
	}
	var replica ReplicaPage
	if err := cbor.Unmarshal(data, &replica); err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	if err := replica.Validate(); err != nil {
		return chivefollow.Page{}, err
	}
	page := chivefollow.Page{Rows: replica.Rows, Era: replica.Era, Version: replica.Version, Snapshot: replica.Whole}
	if replica.Age >= 0 {
		page.Confirmed = sent.Add(-replica.Age)
	}
	if replica.SinceRecovery >= 0 {
		page.Recovered = chiveclock.Now().Add(-replica.SinceRecovery)
	}
	return page, nil
}
