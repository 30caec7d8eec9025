package chiveconf

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// Config is one version of the configuration with indexes for look-ups. It is
// immutable.
type Config struct {
	Head Head
	// RawSheet is the CSV text that Sheet was parsed from.
	RawSheet []byte
	Sheet    *chivesheet.Sheet

	workspaces map[string]*chivesheet.Workspace
	// workspacesByKey is indexed by the digest of the key.
	workspacesByKey map[string]*chivesheet.Workspace
	// The other indexes hold positions in Sheet.Endpoints.
	modelEndpoints map[string][]int
	groupEndpoints map[string][]int
	endpoints      map[string]int
}

// NewConfig returns a new Config of a head and the raw sheet that it refers to. It
// returns an error if the head or the sheet is invalid or if the digest of the
// sheet is not the one in the head.
func NewConfig(head *Head, raw []byte) (*Config, error) {
	if err := head.Check(); err != nil {
		return nil, Error.Wrap(err)
	}
	if got := SheetDigest(raw); got != head.Digest {
		return nil, Error.New("head names the sheet %s, but the given sheet is %s", head.Digest, got)
	}
	sheet, err := chivesheet.Parse(raw)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Config{
		Head: *head.clone(), RawSheet: raw, Sheet: sheet,
		workspaces:      map[string]*chivesheet.Workspace{},
		workspacesByKey: map[string]*chivesheet.Workspace{},
		modelEndpoints:  map[string][]int{},
		groupEndpoints:  map[string][]int{},
		endpoints:       map[string]int{},
	}
	c.index()
	return c, nil
}

func (c *Config) index() {
	for i := range c.Sheet.Workspaces {
		w := &c.Sheet.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, digest := range w.Keys {
			c.workspacesByKey[digest] = w
		}
	}
	modelOfGroup := map[string]string{}
	for _, g := range c.Sheet.Groups {
		modelOfGroup[g.Name] = g.Model
	}
	for i, e := range c.Sheet.Endpoints {
		c.endpoints[e.Name] = i
		c.groupEndpoints[e.Group] = append(c.groupEndpoints[e.Group], i)
		if model, ok := modelOfGroup[e.Group]; ok {
			c.modelEndpoints[model] = append(c.modelEndpoints[model], i)
		}
	}
}

// WithHead returns a copy of the configuration with a newer head that refers to
// the same sheet.
func (c *Config) WithHead(head *Head) *Config {
	n := *c
	n.Head = *head.clone()
	return &n
}

// WorkspaceByKey returns the workspace that a caller's key belongs to, or false if
// the key is unknown.
func (c *Config) WorkspaceByKey(key string) (*chivesheet.Workspace, bool) {
	sum := sha256.Sum256([]byte(key))
	w, ok := c.workspacesByKey["sha256:"+hex.EncodeToString(sum[:])]
	return w, ok
}

// Workspace returns the workspace with the name.
func (c *Config) Workspace(name string) (*chivesheet.Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// ModelEndpoints returns the positions in Sheet.Endpoints of the endpoints that
// serve the model.
func (c *Config) ModelEndpoints(model string) []int {
	return c.modelEndpoints[model]
}

// GroupEndpoints returns the positions in Sheet.Endpoints of the endpoints of a
// group or plain service.
func (c *Config) GroupEndpoints(name string) []int {
	return c.groupEndpoints[name]
}

// Endpoint returns the endpoint with the name and its position in
// Sheet.Endpoints.
func (c *Config) Endpoint(name string) (*chivesheet.Endpoint, int, bool) {
	i, ok := c.endpoints[name]
	if !ok {
		return nil, 0, false
	}
	return &c.Sheet.Endpoints[i], i, true
}

// AcceptsWork reports whether the endpoint may take new work: its availability
// zone is not taken out of service and the endpoint is not draining.
func (c *Config) AcceptsWork(e *chivesheet.Endpoint) bool {
	return !c.Head.IsZoneOut(e.Zone) && !c.Head.IsEndpointDraining(e.Name)
}
