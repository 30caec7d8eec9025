package chiveentry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

const (
	// callerWeight is the weight of the port for callers when the budget for connections is divided;
	// that of the other ports is 1.
	callerWeight = 4
	// answerTime is how long a request at another port may take.
	answerTime = 5 * time.Second
)

// limits returns what callers keep to by the configuration.
func (d *Daemon) limits() chivedoor.Limits {
	config := d.fleet().Config
	if config == nil {
		return chivedoor.Limits{}
	}
	return chivedoor.Limits{MaxHead: config.MaxHeadBytes, HeadTimeout: config.HeadTimeout, IdleTimeout: config.IdleTimeout}
}

// addServers opens the listeners and adds the HTTP servers to a group.
func (d *Daemon) addServers(base context.Context, group *run.Group, callers *http.Server) error {
	newServer := func(h http.Handler) *http.Server { return &http.Server{Handler: h} }
	servers := []struct {
		addr   string
		server *http.Server
		door   *chivedoor.Door
	}{
		{d.settings.Entry.CallerAddr, callers, &chivedoor.Door{Name: "callers", Weight: callerWeight}},
		{d.settings.DirectoryAddress, newServer(d.deps.Front.Directory(d.resolve)), &chivedoor.Door{Name: "directory"}},
		{d.settings.ReadinessAddress, newServer(d.deps.Front.Readiness(d.ready)), &chivedoor.Door{Name: "readiness"}},
		{d.settings.Entry.ReplicaAddr, newServer(d.source.Handler()), &chivedoor.Door{Name: "replicas"}},
		{d.settings.MetricsAddress, newServer(chivedaemon.NewAdminRouter(d.state, d.meter)), &chivedoor.Door{Name: "metrics"}},
	}
	for _, s := range servers {
		if s.server != callers {
			s.door.Weight, s.door.AnswerTime = 1, answerTime
		}
		d.doors.Add(s.door).Prepare(s.server)
	}
	for _, s := range servers {
		l, err := s.door.Listen("tcp4", s.addr)
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
