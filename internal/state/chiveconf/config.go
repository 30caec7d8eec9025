package chiveconf

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// A Config is one configuration, ready for look-ups. It is immutable.
type Config struct {
	Head     Head
	RawSheet []byte
	Sheet    *chivesheet.Sheet

	workspaces map[string]*chivesheet.Workspace
	keys       map[string]*chivesheet.Workspace
	models     map[string][]int
	groups     map[string][]int
	endpoints  map[string]int
}

// NewConfig returns a new Config of a head and the sheet that it names.
func NewConfig(head *Head, raw []byte) (*Config, error) {
	if err := head.Check(); err != nil {
		return nil, Error.Wrap(err)
	}
	if got := SheetDigest(raw); got != head.Digest {
		return nil, Error.New("head names sheet %s, not %s", head.Digest, got)
	}
	sheet, err := chivesheet.Parse(raw)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	c := &Config{
		Head: *head.clone(), RawSheet: raw, Sheet: sheet,
		workspaces: map[string]*chivesheet.Workspace{},
		keys:       map[string]*chivesheet.Workspace{},
		models:     map[string][]int{},
		groups:     map[string][]int{},
		endpoints:  map[string]int{},
	}
	c.index()
	return c, nil
}

func (c *Config) index() {
	for i := range c.Sheet.Workspaces {
		w := &c.Sheet.Workspaces[i]
		c.workspaces[w.Name] = w
		for _, digest := range w.Keys {
			c.keys[digest] = w
		}
	}
	models := map[string]string{}
	for _, g := range c.Sheet.Groups {
		models[g.Name] = g.Model
	}
	for i, e := range c.Sheet.Endpoints {
		c.endpoints[e.Name] = i
		c.groups[e.Group] = append(c.groups[e.Group], i)
		if model, ok := models[e.Group]; ok {
			c.models[model] = append(c.models[model], i)
		}
	}
}

// WithHead returns the configuration of a newer head over the same sheet.
func (c *Config) WithHead(head *Head) *Config {
	n := *c
	n.Head = *head.clone()
	return &n
}

// WorkspaceByKey returns the workspace that a caller's key belongs to.
func (c *Config) WorkspaceByKey(key string) (*chivesheet.Workspace, bool) {
	sum := sha256.Sum256([]byte(key))
	w, ok := c.keys["sha256:"+hex.EncodeToString(sum[:])]
	return w, ok
}

// Workspace returns the workspace of that name.
func (c *Config) Workspace(name string) (*chivesheet.Workspace, bool) {
	w, ok := c.workspaces[name]
	return w, ok
}

// ModelEndpoints returns the positions in the sheet of the endpoints that serve the
// model.
func (c *Config) ModelEndpoints(model string) []int {
	return c.models[model]
}

// GroupEndpoints returns the positions in the sheet of the endpoints of a group or
// plain service.
func (c *Config) GroupEndpoints(name string) []int {
	return c.groups[name]
}

// Endpoint returns the endpoint of that name and its position in the sheet.
func (c *Config) Endpoint(name string) (*chivesheet.Endpoint, int, bool) {
	i, ok := c.endpoints[name]
	if !ok {
		return nil, 0, false
	}
	return &c.Sheet.Endpoints[i], i, true
}

// AcceptsWork reports whether the endpoint may take new work: its availability zone
// is in and it is not draining.
func (c *Config) AcceptsWork(e *chivesheet.Endpoint) bool {
	return !c.Head.IsZoneOut(e.Zone) && !c.Head.IsEndpointDraining(e.Name)
}
