package chivefleet

import (
	"cmp"
	"sort"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveturn"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Fleet is an immutable view of the fleet.
type Fleet struct {
	// Config is nil until the first configuration was read.
	Config *Config
	// Runners holds the runners of each service, ordered by ID.
	Runners map[string][]*Runner
	// EvacuatedZones holds the availability zones whose runners take no new
	// requests.
	EvacuatedZones map[string]bool
	// ConfigConfirmedAt is when the call to the store was sent that last confirmed
	// Config to be the newest configuration; 0 means never.
	ConfigConfirmedAt chiveclock.Moment
	// Entries holds the registered entry VMs by name.
	Entries map[string]Entry
}

// Entry is a registered entry VM.
type Entry struct {
	Name string `cbor:"name"`
	// Boot identifies the incarnation of the process.
	Boot uint64 `cbor:"boot"`
	// CallerAddr is the address for callers, MeshAddr the one for other entry
	// VMs.
	CallerAddr string `cbor:"callers"`
	MeshAddr   string `cbor:"mesh"`
	// ReplicaAddr is the address that serves replicas of the store's tables.
	ReplicaAddr string `cbor:"copies"`
	Zone        string `cbor:"zone"`
	// LinkRate is the rate of the VM's link in Mbit/s, and Cores its share of processor
	// cores; 0 if they are not known.
	LinkRate float64 `cbor:"link,omitempty"`
	Cores    float64 `cbor:"cores,omitempty"`
}

// TurnCandidate returns what decides the turn of the entry VM at a control duty.
func (e Entry) TurnCandidate() chiveturn.Candidate {
	return chiveturn.Candidate{Name: e.Name, LinkRate: e.LinkRate, Cores: e.Cores}
}

// IsConfigFresh reports whether the configuration was confirmed to be the newest
// less than maxAge ago.
func (f *Fleet) IsConfigFresh(now chiveclock.Moment, maxAge time.Duration) bool {
	return f.Config != nil && f.ConfigConfirmedAt != 0 && now.Sub(f.ConfigConfirmedAt) < maxAge
}

// UsableRunners returns the runners of a service that may take new requests.
func (f *Fleet) UsableRunners(service string) []*Runner {
	var list []*Runner
	for _, r := range f.Runners[service] {
		if !r.Leaving && !f.EvacuatedZones[r.Zone] {
			list = append(list, r)
		}
	}
	return list
}

// GroupByService returns the runners of each service, ordered by ID. Of runners
// at the same address it keeps only one, since the registration of an earlier incarnation expires
// only after some time, and addresses are used again: one of a service that the configuration
// names, and among these the one that started last. A nil configuration names all services.
func GroupByService(runners map[string]*Runner, c *Config) map[string][]*Runner {
	newestByAddr := map[string]*Runner{}
	for _, r := range runners {
		if o := newestByAddr[r.Address]; o == nil || replaces(r, o, c) {
			newestByAddr[r.Address] = r
		}
	}
	services := map[string][]*Runner{}
	for _, r := range newestByAddr {
		services[r.Service] = append(services[r.Service], r)
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return services
}

// replaces reports whether the registration of a runner replaces that of another one at the same
// address.
func replaces(r, o *Runner, c *Config) bool {
	if known := c.names(r.Service); known != c.names(o.Service) {
		return known
	}
	return cmp.Or(cmp.Compare(r.StartedAtMillis, o.StartedAtMillis), cmp.Compare(r.ID, o.ID)) > 0
}

// names reports whether the configuration names a service.
func (c *Config) names(service string) bool {
	return c == nil || c.Services[service] != nil
}

// RunnerAt returns the runner of the service that listens at addr, or nil.
func (f *Fleet) RunnerAt(service, addr string) *Runner {
	for _, r := range f.Runners[service] {
		if r.Address == addr {
			return r
		}
	}
	return nil
}
