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

// addServers opens the listeners and adds the HTTP servers to a group.
func (d *Daemon) addServers(base context.Context, group *run.Group, callers *http.Server) error {
	newServer := func(h http.Handler) *http.Server {
		return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	}
	for _, s := range []struct {
		addr   string
		server *http.Server
	}{
		{d.settings.Entry.CallerAddr, callers},
		{d.settings.DirectoryAddress, newServer(d.deps.Front.Directory(d.resolve))},
		{d.settings.ReadinessAddress, newServer(d.deps.Front.Readiness(d.ready))},
		{d.settings.Entry.ReplicaAddr, newServer(d.source.Handler())},
		{d.settings.MetricsAddress, newServer(chivedaemon.NewAdminRouter(d.state, d.meter))},
	} {
		l, err := net.Listen("tcp4", s.addr)
		if err != nil {
			return Error.Wrap(err)
		}
		if s.server == callers {
			d.callerListener = l
		}
		group.Add(func() error {
			err := s.server.Serve(l)
			if s.server == callers {
				close(d.callersServed)
			}
			// waitAndDrain closes the listener for callers before the server.
			if stopped := d.leaving.Load() && errors.Is(err, net.ErrClosed); !stopped && !errors.Is(err, http.ErrServerClosed) {
				return Error.Wrap(err)
			}
			<-base.Done()
			return nil
		}, func(error) { _ = s.server.Close() })
	}
	return nil
}

// ready reports whether this entry VM can serve: it is not shutting down, its
// configuration is fresh and runners are known.
func (d *Daemon) ready() bool {
	f := d.fleet()
	return !d.leaving.Load() && f.IsConfigFresh(chiveclock.Now(), d.configMaxAge()) && len(f.Runners) > 0
}

// state returns the state that the admin server reports.
func (d *Daemon) state() string {
	switch {
	case d.leaving.Load():
		return "leaving"
	case d.ready():
		return chivedaemon.StateServing
	}
	return "starting"
}

// resolve returns the addresses to which callers in a zone should connect, and how
// long they may be cached.
func (d *Daemon) resolve(zone string) ([]string, time.Duration) {
	return addresses(d.settings.Entry, d.leaving.Load(), d.fleet(), d.mesh.Peers(), zone, d.configMaxAge()), directoryTTL
}
