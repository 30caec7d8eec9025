// Package chivefleet implements an entry VM's view of the fleet: the
// configuration, the runners and the other entry VMs.
package chivefleet

import (
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivecost"
)

// Config is one accepted version of the operators' configuration. It is
// ready for look-ups after Index.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	// Workspaces is nil in a configuration without workspaces, in which requests need no key. If
	// it is empty, there is no workspace left, and no request is admitted by a key.
	Workspaces []Workspace
	// MaxBodyBytes is the largest allowed request body; 0 means the default of 1 GiB.
	MaxBodyBytes int64
	// MaxHeadBytes is the size of the largest head of a request, HeadTimeout how long a head may
	// take, and IdleTimeout how long a connection may be idle; each is 0 if it is not stated.
	MaxHeadBytes             int64
	HeadTimeout, IdleTimeout time.Duration

	routesByHost    map[string][]*Route
	workspacesByKey map[string]*Workspace
}

// RequestKind determines whether a request may be repeated and how it is
// answered.
type RequestKind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "once", Streaming: "stream"}

// String returns the name of the kind as used in logs and metrics.
func (k RequestKind) String() string {
	return kindNames[k]
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Targets holds the services among which requests are split by weight.
	Targets []Target
	// MaxAttempts is the largest number of attempts for one request.
	MaxAttempts int
	// Timeout is the longest time that a request may take; 0 means no limit.
	Timeout time.Duration
	// PauseTarget is the longest pause between two events of a stream that meets
	// the latency target; 0 means no target.
	PauseTarget time.Duration
	// FirstTarget is the time within which a response is to begin; 0 means no target.
	FirstTarget time.Duration
	// Priority is the default priority of requests, 0 for the most urgent.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another runner.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of runners that serve the same requests.
type Service struct {
	Name string
	// ColdRate is the largest rate of requests to a cold runner, per second; 0
	// means no limit.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
	// Ranked reports whether the requests to a model differ in priority, so that the more
	// urgent ones go first when there is too little room. It is set by Config.Index.
	Ranked bool

	urgencies map[urgency]int
	// Scale is that of the service's requests if they are balanced by their work, else nil.
	Scale *chivecost.Scale
}

// Engine describes the model runners of a service.
type Engine struct {
	// Layers is the number of expert layers of the model.
	Layers int
	// Experts is the number of experts of each layer.
	Experts int
	// SlotsPerRank is the number of experts that a rank holds in each layer.
	SlotsPerRank int
	// IdlePassTime is the duration of a forward pass at almost no load.
	IdlePassTime time.Duration
	// ExpertCopyTime is the time that a rank takes to copy one expert.
	ExpertCopyTime time.Duration
	// MaxNewExperts is the largest number of experts per rank and layer that
	// may differ between two successive expert maps.
	MaxNewExperts int
}

// Workspace is a team with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority overrides the route's priority; nil means that it is not set.
	Priority *int
}

// Index checks the configuration and builds its look-up tables. It must be
// called once before the configuration is used.
func (c *Config) Index() error {
	c.routesByHost = map[string][]*Route{}
	c.workspacesByKey = map[string]*Workspace{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			// A request without a key has the empty one.
			if k != "" {
				c.workspacesByKey[k] = w
			}
		}
	}
	c.rankServices()
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return errors.New("host is empty or prefix does not start with /")
	}
	if len(r.Targets) == 0 {
		return errors.New("no target service is set")
	}
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			return fmt.Errorf("target service %q does not exist", t.Service)
		}
	}
	return nil
}

// Route returns the route of the host with the longest prefix of the path, or
// nil if none matches. The case of the host does not matter. The path is compared as it is, without
// decoding.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PauseTarget returns the shortest pause target of the routes to a service, or 0 if none of
// them has one.
func (c *Config) PauseTarget(service string) time.Duration {
	var shortest time.Duration
	for _, r := range c.Routes {
		if r.PauseTarget <= 0 || shortest != 0 && r.PauseTarget >= shortest {
			continue
		}
		if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service }) {
			shortest = r.PauseTarget
		}
	}
	return shortest
}

// Workspace returns the workspace that a key belongs to, or nil.
func (c *Config) Workspace(key string) *Workspace {
	return c.workspacesByKey[key]
}

// RequiresKey reports whether requests to routes that are not public need a
// key. They need none in a configuration without workspaces; one whose last workspace was taken
// away has an empty list.
func (c *Config) RequiresKey() bool {
	return c.Workspaces != nil
}
