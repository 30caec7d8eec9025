// Package chivefleet implements what an entry VM knows of the fleet: the
// configuration, the runners and the entry VMs.
package chivefleet

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
)

// A Config is one accepted version of the operators' configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	// MaxBodyBytes is the largest body of a request, in bytes; 0 sets no limit.
	MaxBodyBytes int64

	hosts map[string][]*Route
	keys  map[string]*Workspace
}

// A RequestKind says what may be repeated of a request.
type RequestKind uint8

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent RequestKind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

var kindNames = [...]string{Idempotent: "idempotent", NonIdempotent: "once", Streaming: "stream"}

// String returns the name of the kind in logs and metrics.
func (k RequestKind) String() string {
	return kindNames[k]
}

// A Route sends the requests of a host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        RequestKind
	Targets     []Target
	MaxAttempts int
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// EventGapTarget is the longest pause between two events for full credit.
	EventGapTarget time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another runner.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// A Target is a service with its weight among the targets of a route.
type Target struct {
	Service string
	Weight  int
}

// A Service is a group of runners that serve the same requests.
type Service struct {
	Name string
	// ColdRate is the number of requests a second that a cold runner bears; 0
	// sets no bound.
	ColdRate float64
	// Engine is nil for plain services.
	Engine *Engine
}

// An Engine describes the model runners of a service.
type Engine struct {
	Layers  int
	Experts int
	// SlotsPerRank is the number of experts that a rank holds in each set.
	SlotsPerRank int
	// IdlePassTime is the time of a pass with next to nothing to do: all its forward steps.
	IdlePassTime time.Duration
	// ExpertCopyTime is how long a rank takes to copy one expert.
	ExpertCopyTime time.Duration
	// MaxNewExperts is the number of experts by which one map may differ from the last,
	// for each rank and set.
	MaxNewExperts int
}

// A Workspace is a team with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; it is nil where none is set.
	Priority *int
}

// Index checks a configuration and prepares it for look-ups. It must be called
// once before the configuration is used.
func (c *Config) Index() error {
	c.hosts = map[string][]*Route{}
	c.keys = map[string]*Workspace{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := c.checkRoute(r); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, list := range c.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			c.keys[k] = w
		}
	}
	return nil
}

func (c *Config) checkRoute(r *Route) error {
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") {
		return errors.New("has no host or no prefix")
	}
	if len(r.Targets) == 0 {
		return errors.New("has no service")
	}
	for _, t := range r.Targets {
		if c.Services[t.Service] == nil {
			return fmt.Errorf("service %q does not exist", t.Service)
		}
	}
	return nil
}

// Route returns the route of a request: the one of its host with the longest
// prefix of the path, or nil.
func (c *Config) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Workspace returns the workspace that holds a key, or nil.
func (c *Config) Workspace(key string) *Workspace {
	return c.keys[key]
}

// RequiresKey reports whether requests need a key at all.
func (c *Config) RequiresKey() bool {
	return len(c.Workspaces) > 0
}
