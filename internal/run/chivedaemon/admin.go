package chivedaemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

const (
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the end of the admin server.
	shutdownTimeout = time.Second
)

// StateServing is the state in which a daemon is ready.
const StateServing = "serving"

// NewAdminRouter returns a new router with health, readiness and metrics. State returns
// the daemon's state.
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

// AddAdminServer adds the admin server to a group.
func AddAdminServer(g *run.Group, addr string, h http.Handler) {
	server := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: headerTimeout}
	g.Add(func() error { return ignoreServerClosed(server.ListenAndServe()) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
}

// ignoreServerClosed returns nil for the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return Error.Wrap(err)
}

// IgnoreAfterDone returns nil for an error that comes after the context has ended.
func IgnoreAfterDone(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
