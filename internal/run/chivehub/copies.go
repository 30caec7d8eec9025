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
	// pullTimeout bounds one reading of a hub's copy: a megabyte within a zone.
	pullTimeout = 500 * time.Millisecond
	// maxCopy is the largest copy of a table, in bytes.
	maxCopy = 8 << 20
	// copyPath is that of a hub's copies.
	copyPath = "/copies"
	// leastPacked is the size from which copies are compressed, in bytes: what does
	// not fit into one packet.
	leastPacked = 1400
)

// A Copy is what a hub answers.
type Copy struct {
	Rows    []chivefollow.Row `cbor:"rows"`
	Version int64             `cbor:"version"`
	Whole   bool              `cbor:"whole"`
	// Age is how long ago the copy was known to be the newest; negative where
	// that is not known.
	Age time.Duration `cbor:"age"`
	// Outage is how long ago the store answered again after a failure; negative
	// where it has not failed.
	Outage time.Duration `cbor:"outage"`
}

// Check returns an error for an answer that no hub gives.
func (c *Copy) Check() error {
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
	e.Use(middleware.GzipWithConfig(middleware.GzipConfig{Level: gzip.BestSpeed, MinLength: leastPacked}))
	e.GET(copyPath, func(c echo.Context) error {
		after, err := strconv.ParseInt(c.QueryParam("after"), 10, 64)
		if err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after: not a version")
		}
		j := s.Journal(c.QueryParam("table"))
		if !j.loaded() {
			return echo.NewHTTPError(http.StatusNotFound, "table is not known")
		}
		page := j.After(after)
		data, err := cbor.Marshal(&Copy{
			Rows: page.Rows, Version: page.Version, Whole: page.Snapshot, Age: s.Clock.Age(page.Confirmed), Outage: s.Clock.Age(page.Recovered),
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
	return &Client{http: http.Client{Timeout: pullTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Changes implements Copies.Changes.
func (c *Client) Changes(ctx context.Context, hub *Hub, table string, after int64) (chivefollow.Page, error) {
	query := url.Values{"table": {table}, "after": {strconv.FormatInt(after, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+hub.Addr+copyPath+"?"+query.Encode(), nil)
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	sent := chiveclock.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxCopy))
	if err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return chivefollow.Page{}, Error.New("hub %s answered %d", hub.Name, resp.StatusCode)
	}
	var held Copy
	if err := cbor.Unmarshal(data, &held); err != nil {
		return chivefollow.Page{}, Error.Wrap(err)
	}
	if err := held.Check(); err != nil {
		return chivefollow.Page{}, err
	}
	page := chivefollow.Page{Rows: held.Rows, Version: held.Version, Snapshot: held.Whole}
	if held.Age >= 0 {
		page.Confirmed = sent.Add(-held.Age)
	}
	if held.Outage >= 0 {
		page.Recovered = chiveclock.Now().Add(-held.Outage)
	}
	return page, nil
}
