package chivegateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemeter"
)

const (
	// readHeaderTimeout bounds the time to read the header of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept open.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the maximum size of the header of a request.
	maxHeaderBytes = 64 << 10
	// callerWeight is the weight of the port for callers when the budget for connections is
	// divided; that of the admin port is 1.
	callerWeight = 4
	// bodyFactor is the memory that a byte of a body takes in bytes: it is decoded and sent on.
	bodyFactor = 3
	// departureSpreadTime is the time allowed for a departure to reach every
	// gateway.
	departureSpreadTime = 3 * time.Second
)

// Run serves until the context ends. The gateway then removes itself from
// address responses, keeps serving until every address response that lists it
// has expired, completes its open requests within the grace period and returns.
// Run returns an error if the caller address cannot be listened on or a server
// fails.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.Close()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	limit := chivedaemon.MemoryLimit(g.settings.Memory)
	chivedaemon.LimitHeap(limit)
	doors := &chivedoor.Ledger{
		Budget: chivebudget.ForMemory(limit), MaxConns: chivedoor.MaxConnsOf(chivedoor.FileLimit(0)), Log: g.log,
		Limits: func() chivedoor.Limits {
			return chivedoor.Limits{MaxHead: maxHeaderBytes, HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
		},
	}
	callers := doors.Add(&chivedoor.Door{Name: "callers", Weight: callerWeight})
	admin := doors.Add(&chivedoor.Door{Name: "admin", Weight: 1})
	requests := &chivedoor.Requests{Budget: doors.Budget}
	callerServer := callers.Prepare(&http.Server{Handler: requests.Handler(g.callerHandler(), g.refusalHandler(), bodyFactor)})
	listener, err := callers.Listen("tcp", g.settings.Caller)
	if err != nil {
		return Error.Wrap(err)
	}
	var group run.Group
	group.Add(func() error { return g.waitAndDrain(ctx, callerServer) }, func(error) { stop() })
	interrupt := func(error) { cancel() }
	group.Add(func() error { return g.pollHead(serveCtx) }, interrupt)
	group.Add(func() error { return g.applyConfigs(serveCtx) }, interrupt)
	group.Add(func() error { return g.linker.Run(serveCtx) }, interrupt)
	group.Add(func() error { return g.duties.run(serveCtx) }, interrupt)
	group.Add(func() error { return chivedaemon.IgnoreAfterDone(serveCtx, g.server.Serve(serveCtx)) }, interrupt)
	group.Add(func() error { return waitAfterShutdown(serveCtx, callerServer.Serve(listener)) }, func(error) { _ = callerServer.Close() })
	group.Add(func() error { return doors.Run(serveCtx) }, interrupt)
	traffic := chivemeter.NewTrafficGauges(g.meter.Scope)
	group.Add(func() error {
		return g.meter.UpdateGauges(serveCtx, func() { traffic.Set(g.dialer.Traffic(), g.server.Traffic()) })
	}, interrupt)
	chivedaemon.AddAdminServer(&group, admin, g.settings.Admin, chivedoor.CountBodies(g.adminHandler(), bodyFactor))
	return group.Run()
}

// waitAfterShutdown returns the error with which a server failed. After an
// orderly shutdown it blocks until the context ends and returns nil, because
// the run group would otherwise stop the other parts.
func waitAfterShutdown(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	<-ctx.Done()
	return nil
}

// waitAndDrain waits for the context to end, announces the departure, keeps
// serving while callers may still hold the address of this gateway, and then
// waits up to the grace period for open requests.
func (g *Gateway) waitAndDrain(ctx context.Context, callerServer *http.Server) error {
	<-ctx.Done()
	g.leaving.Store(true)
	linger := g.settings.Lifetime.Std() + departureSpreadTime
	g.log.Info("Shutdown started, still serving callers that hold this address.", "serving on for", linger)
	node := g.syncer.Node
	g.syncer.AddDeparture(chivelink.Departure{Name: node.Name, Boot: node.Boot, TTL: linger + g.settings.Grace.Std()})
	time.Sleep(linger)
	graceCtx, cancel := context.WithTimeout(context.Background(), g.settings.Grace.Std())
	defer cancel()
	if err := callerServer.Shutdown(graceCtx); err != nil {
		g.log.Warn("Grace period ended with requests still open.", "error", err)
		return nil
	}
	g.log.Info("All requests completed.")
	return nil
}
