package chiveentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// addServers adds the servers to a group.
func (e *Daemon) addServers(base context.Context, group *run.Group, callers *http.Server) error {
	small := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	}
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{
		{e.settings.Entry.CallerAddr, callers},
		{e.settings.DirectoryAddress, small(e.deps.Front.Directory(e.resolve))},
		{e.settings.ReadinessAddress, small(e.deps.Front.Readiness(e.ready))},
		{e.settings.Entry.ReplicaAddr, small(e.source.Handler())},
		{e.settings.MetricsAddress, small(chivedaemon.NewAdminRouter(e.state, e.meter))},
	} {
		l, err := net.Listen("tcp4", s.addr)
		if err != nil {
			return Error.Wrap(err)
		}
		group.Add(func() error {
			if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				return Error.Wrap(err)
			}
			<-base.Done()
			return nil
		}, func(error) { _ = s.server.Close() })
	}
	return nil
}

// ready reports whether this entry VM serves.
func (e *Daemon) ready() bool {
	f := e.fleet()
	return !e.leaving.Load() && f.IsConfigFresh(chiveclock.Now(), e.configMaxAge()) && len(f.Runners) > 0
}

// state tells what the daemon does.
func (e *Daemon) state() string {
	switch {
	case e.leaving.Load():
		return "leaving"
	case e.ready():
		return chivedaemon.StateServing
	}
	return "starting"
}

// resolve answers a caller that asks where to connect.
func (e *Daemon) resolve(zone string) ([]string, time.Duration) {
	return addresses(e.settings.Entry, e.leaving.Load(), e.fleet(), e.mesh.Peers(), zone, e.configMaxAge()), directoryTTL
}
