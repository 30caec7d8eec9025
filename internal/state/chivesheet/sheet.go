// Package chivesheet parses and compares sheets. A sheet lists the workspaces,
// availability zones, groups, services and endpoints of the fleet. Planners keep it
// in a spreadsheet and export it as CSV.
package chivesheet

// Sheet is the validated content of a sheet. Elements are in the order of the
// file.
type Sheet struct {
	Workspaces []Workspace
	Zones      []Zone
	Groups     []Group
	Services   []Service
	Endpoints  []Endpoint
}

// Workspace is a team with its share of the capacity.
type Workspace struct {
	Name string
	// Share is the weight of the workspace in fair queueing, above 0.
	Share float64
	// Keys holds the digests of the keys of callers, as "sha256:" and 64 hex
	// digits.
	Keys []string
}

// Zone is an availability zone.
type Zone struct {
	Name string
}

// Group is a set of model runners, the ranks of the group, that run each forward
// pass in lockstep.
type Group struct {
	Name  string
	Zone  string
	Model string
}

// Service is a plain application service.
type Service struct {
	Name string
}

// Endpoint is a model runner or a runner of a plain service.
type Endpoint struct {
	Name string
	Zone string
	// Group is the name of a Group or Service.
	Group string
	// Engine is the address of the engine or service, as IP:port.
	Engine string
	// Agent is the address of the agent on the endpoint's VM, as IP:port.
	Agent string
	// Cold is the number of concurrent requests at the beginning of slow start.
	Cold int
	// Full is the number of concurrent requests after slow start.
	Full int
	// Fencing is true if the engine refuses orders with an old fencing token.
	Fencing bool
	// Resume is true if the engine can continue a partial answer.
	Resume bool
}

// Group returns the group with the name.
func (s *Sheet) Group(name string) (Group, bool) {
	for _, g := range s.Groups {
		if g.Name == name {
			return g, true
		}
	}
	return Group{}, false
}

// Service returns the service with the name.
func (s *Sheet) Service(name string) (Service, bool) {
	for _, v := range s.Services {
		if v.Name == name {
			return v, true
		}
	}
	return Service{}, false
}

// Endpoint returns the endpoint with the name.
func (s *Sheet) Endpoint(name string) (Endpoint, bool) {
	for _, e := range s.Endpoints {
		if e.Name == name {
			return e, true
		}
	}
	return Endpoint{}, false
}

// HasZone reports whether the sheet has the availability zone.
func (s *Sheet) HasZone(name string) bool {
	for _, z := range s.Zones {
		if z.Name == name {
			return true
		}
	}
	return false
}
