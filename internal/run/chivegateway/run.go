package chivegateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
)

const (
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long a caller's idle connection is kept.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the largest header of a request, in bytes.
	maxHeaderBytes = 64 << 10
	// departureSpreadTime is how long the news of a departure may take to every gateway.
	departureSpreadTime = 3 * time.Second
)

// Run serves until the context ends. Then it leaves the answers of addresses,
// serves on until every answer that named it has run out, finishes its streams
// and returns.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := &http.Server{
		Addr: g.settings.Caller, Handler: g.callerHandler(),
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	listener, err := net.Listen("tcp", callers.Addr)
	if err != nil {
		return Error.Wrap(err)
	}
	var group run.Group
	group.Add(func() error { return g.waitAndDrain(ctx, callers) }, func(error) { stop() })
	interrupt := func(error) { cancel() }
	group.Add(func() error { return g.pollHead(base) }, interrupt)
	group.Add(func() error { return g.applyConfigs(base) }, interrupt)
	group.Add(func() error { return g.linker.Run(base) }, interrupt)
	group.Add(func() error { return g.duties.run(base) }, interrupt)
	group.Add(func() error { return chivedaemon.IgnoreAfterDone(base, g.server.Serve(base)) }, interrupt)
	group.Add(func() error { return waitAfterShutdown(base, callers.Serve(listener)) }, func(error) { _ = callers.Close() })
	traffic := chivemeter.NewTrafficGauges(g.meter.Scope)
	group.Add(func() error {
		return g.meter.UpdateGauges(base, func() { traffic.Set(g.dialer.Traffic(), g.server.Traffic()) })
	}, interrupt)
	chivedaemon.AddAdminServer(&group, g.settings.Admin, g.adminHandler())
	return group.Run()
}

// waitAfterShutdown returns the end of a server. One that was shut down in order stays
// until the context ends, so that the other parts run on.
func waitAfterShutdown(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	<-ctx.Done()
	return nil
}

// waitAndDrain waits for the stop and lets every request end.
func (g *Gateway) waitAndDrain(ctx context.Context, callers *http.Server) error {
	<-ctx.Done()
	g.leaving.Store(true)
	left := g.settings.Lifetime.Std() + departureSpreadTime
	g.log.Info("Leaving.", "serving on for", left)
	node := g.spreader.Node
	g.spreader.AddDeparture(chivelink.Departure{Name: node.Name, Boot: node.Boot, TTL: left + g.settings.Grace.Std()})
	time.Sleep(left)
	grace, cancel := context.WithTimeout(context.Background(), g.settings.Grace.Std())
	defer cancel()
	if err := callers.Shutdown(grace); err != nil {
		g.log.Warn("Gave up waiting for requests.", "error", err)
		return nil
	}
	g.log.Info("Drained.")
	return nil
}
