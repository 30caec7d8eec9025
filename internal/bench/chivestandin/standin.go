// Package chivestandin implements small stand-ins of the platform, of model
// engines and of plain services, for the demo and the tests.
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

// headerTimeout bounds the reading of a request's header.
const headerTimeout = 5 * time.Second

// A Settings holds where the stand-ins listen and how fast they are.
type Settings struct {
	// TableAddr, Object and Control are addresses, as IP:port.
	TableAddr   string
	ObjectAddr  string
	ControlAddr string
	// StepTime is the time of one step of a rank group.
	StepTime time.Duration
}

// A StandIn plays the platform, the engines and the services of one sheet.
type StandIn struct {
	settings Settings
	table    *table
	object   *object
	vms      *vmList
	weights  *weights
	groups   map[string]*group
	engines  map[string]*engine
	services map[string]*service
	servers  []*http.Server
	mux      *http.ServeMux
}

// New returns a new StandIn for the endpoints of a sheet.
func New(settings Settings, sheet *chivesheet.Sheet) *StandIn {
	s := &StandIn{
		settings: settings, table: newTable(), object: newObject(), vms: &vmList{}, weights: newWeights(),
		groups: map[string]*group{}, engines: map[string]*engine{}, services: map[string]*service{},
		mux: http.NewServeMux(),
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
	s.addControl()
	return s
}

// Run serves until the context ends.
func (s *StandIn) Run(ctx context.Context) error {
	var serving sync.WaitGroup
	defer serving.Wait()
	failed := make(chan error, 1)
	for addr, handler := range s.handlers() {
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			s.close()
			return Error.Wrap(err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		s.servers = append(s.servers, server)
		serving.Add(1)
		go func() {
			defer serving.Done()
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	for _, g := range s.groups {
		serving.Add(1)
		go func() {
			defer serving.Done()
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

// handlers returns what is served at each address.
func (s *StandIn) handlers() map[string]http.Handler {
	h := map[string]http.Handler{s.settings.TableAddr: s.table, s.settings.ObjectAddr: s.object, s.settings.ControlAddr: s.mux}
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

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
