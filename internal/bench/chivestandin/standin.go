// Package chivestandin simulates the platform, model engines and plain services on
// real network addresses, for the demo and the tests.
package chivestandin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// Error is the class of errors of this package.
var Error = errs.Class("stand-in")

// headerTimeout is the timeout for reading a request's header.
const headerTimeout = 5 * time.Second

// Settings holds the addresses of the stand-ins and the step time of the simulated
// groups.
type Settings struct {
	// TableAddr, ObjectAddr and ControlAddr are the addresses, as IP:port, on which the
	// table, the object store and the control interface listen. The control interface
	// serves the VM list, the faults and the report.
	TableAddr   string
	ObjectAddr  string
	ControlAddr string
	// StepTime is the duration of one step of a rank group.
	StepTime time.Duration
}

// StandIn simulates the platform, the engines and the services of one sheet.
type StandIn struct {
	settings   Settings
	table      *table
	object     *objectStore
	vms        *vmList
	weights    *weightStore
	groups     map[string]*group
	engines    map[string]*engine
	services   map[string]*service
	servers    []*http.Server
	controlMux *http.ServeMux
}

// New returns a StandIn for the endpoints of a sheet.
func New(settings Settings, sheet *chivesheet.Sheet) *StandIn {
	s := &StandIn{
		settings: settings, table: newTable(), object: newObjectStore(), vms: &vmList{}, weights: newWeightStore(),
		groups: map[string]*group{}, engines: map[string]*engine{}, services: map[string]*service{},
		controlMux: http.NewServeMux(),
	}
	for _, e := range sheet.Endpoints {
		if _, ok := sheet.Service(e.Group); ok {
			s.services[e.Name] = newService(e)
			continue
		}
		g, ok := s.groups[e.Group]
		if !ok {
			g = newGroup(e.Group, settings.StepTime, s.weights)
			s.groups[e.Group] = g
		}
		s.engines[e.Name] = g.add(e)
	}
	s.addControlHandlers()
	return s
}

// Run serves until the context ends. It returns an error if an address cannot be
// listened on or a server fails.
func (s *StandIn) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	failed := make(chan error, 1)
	for addr, handler := range s.handlersByAddr() {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			s.close()
			return Error.Wrap(err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		s.servers = append(s.servers, server)
		running.Add(1)
		go func() {
			defer running.Done()
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	for _, g := range s.groups {
		running.Add(1)
		go func() {
			defer running.Done()
			g.run(ctx)
		}()
	}
	defer s.close()
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return Error.Wrap(err)
	}
}

// handlersByAddr returns the handler for each address.
func (s *StandIn) handlersByAddr() map[string]http.Handler {
	h := map[string]http.Handler{s.settings.TableAddr: s.table, s.settings.ObjectAddr: s.object, s.settings.ControlAddr: s.controlMux}
	for _, e := range s.engines {
		h[e.sheet.Engine] = e.handler()
	}
	for _, v := range s.services {
		h[v.sheet.Engine] = v
	}
	return h
}

func (s *StandIn) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
