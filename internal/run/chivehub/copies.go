package chivehub

import (
	"compress/gzip"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

const (
	// fetchTimeout bounds one reading of a hub's copy: a megabyte within a zone.
	fetchTimeout = 500 * time.Millisecond
	// maxReplicaSize is the largest copy of a table, in bytes.
	maxReplicaSize = 8 << 20
	// replicasPath is that of a hub's copies.
	replicasPath = "/copies"
	// minCompressedSize is the size from which copies are compressed, in bytes: what does
	// not fit into one packet.
	minCompressedSize = 1400
)

// A ReplicaPage is what a hub answers.
type ReplicaPage struct {
	Rows    []chivefollow.Row `cbor:"rows"`
	Version int64             `cbor:"version"`
	Whole   bool              `cbor:"whole"`
	// Age is how long ago the copy was known to be the newest; negative where
	// that is not known.
	Age time.Duration `cbor:"age"`
	// SinceRecovery is how long ago the store answered again after a failure; negative
	// where it has not failed.
	SinceRecovery time.Duration `cbor:"outage"`
}

// Validate returns an error for an answer that no hub gives.
func (c *ReplicaPage) Validate() error {
	if c.Version <= 0 {
		return Error.New("copy has no version")
	}
	for _, r := range c.Rows {
		if r.Key == "" {
			return Error.New("copy has a row without a key")
		}
	}
	return nil
}

// Handler serves the copies of this entry VM.
func (s *Source) Handler() http.Handler {
	e := echo.New()
	// A configuration of hundreds of kilobytes goes to every member at once, over
	// the link on which callers get their answers.
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
		page := j.ChangesSince(after)
		data, err := cbor.Marshal(&ReplicaPage{
			Rows: page.Rows, Version: page.Version, Whole: page.Snapshot, Age: s.Clock.Age(page.Confirmed), SinceRecovery: s.Clock.Age(page.Recovered),
		})
		if err != nil {
			return Error.Wrap(err)
		}
		return c.Blob(http.StatusOK, "application/cbor", data)
	})
	return e
}

// Client implements Copies by HTTP.
type Client struct {
	http http.Client
}

// NewClient returns a new Client.
func NewClient() *Client {
	return &Client{http: http.Client{Timeout: fetchTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Changes implements Copies.Changes.
func (c *Client) Changes(ctx context.Context, hub *Hub, table string, after int64) (chivefollow.Page, error) {
	query := url.Values{"table": {table}, "after": {strconv.FormatInt(after, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hub.Addr+replicasPath+"?"+query.Encode(), nil)
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	sent := chiveclock.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplicaSize))
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return chivefollow.Page{}, Error.New("hub %s answered %d", hub.Name, resp.StatusCode)
	}
	var held ReplicaPage
	if err := cbor.Unmarshal(data, &held); err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	if err := held.Validate(); err != nil {
		return chivefollow.Page{}, err
	}
	page := chivefollow.Page{Rows: held.Rows, Version: held.Version, Snapshot: held.Whole}
	if held.Age >= 0 {
		page.Confirmed = sent.Add(-held.Age)
	}
	if held.SinceRecovery >= 0 {
		page.Recovered = chiveclock.Now().Add(-held.SinceRecovery)
	}
	return page, nil
}
