package chivedaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
)

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

const (
	// shutdownTimeout is the maximum time that the admin server waits for its
	// requests at shutdown.
	shutdownTimeout = time.Second
)

// StateServing is the state in which a daemon is ready to serve requests.
const StateServing = "serving"

// NewAdminRouter returns a new router for /healthz, /readyz and /metrics. The
// function state returns the daemon's state; /readyz answers 503 with any state but
// StateServing.
func NewAdminRouter(state func() string, metrics http.Handler) *echo.Echo {
	e := echo.New()
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok") })
	e.GET("/readyz", func(c echo.Context) error {
		if s := state(); s != StateServing {
			return c.String(http.StatusServiceUnavailable, s)
		}
		return c.String(http.StatusOK, StateServing)
	})
	e.GET("/metrics", echo.WrapHandler(metrics))
	return e
}

// AddAdminServer adds to the group a server that listens at addr through a door and serves h.
func AddAdminServer(g *run.Group, door *chivedoor.Door, addr string, h http.Handler) {
	server := door.Prepare(&http.Server{Handler: h})
	g.Add(func() error {
		l, err := door.Listen("tcp", addr)
		if err != nil {
			return Error.Wrap(err)
		}
		return ignoreServerClosed(server.Serve(l))
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

// ignoreServerClosed returns nil for http.ErrServerClosed, which servers return
// after a shutdown, and wraps other errors.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// IgnoreAfterDone returns nil if the context is done, and otherwise err. It drops
// errors that a shutdown causes.
func IgnoreAfterDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
