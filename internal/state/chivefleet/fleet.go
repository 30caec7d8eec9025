package chivefleet

import (
	"sort"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// A Fleet is an immutable view of the fleet.
type Fleet struct {
	// Config is nil until the first configuration is known.
	Config *Config
	// Runners holds the runners of each service, ordered by ID.
	Runners map[string][]*Runner
	// EvacuatedZones zones take no new requests.
	EvacuatedZones map[string]bool
	// ConfigConfirmedAt is the moment at which the configuration was last known to be
	// the newest, counted from when the confirming call was sent.
	ConfigConfirmedAt chiveclock.Moment
	// Entries holds the registered entry VMs by name.
	Entries map[string]Entry
}

// An Entry is a registered entry VM.
type Entry struct {
	Name string `cbor:"name"`
	// Boot is the incarnation of its process.
	Boot uint64 `cbor:"boot"`
	// CallerAddr is the address for callers, Mesh that for other entry VMs.
	CallerAddr string `cbor:"callers"`
	MeshAddr   string `cbor:"mesh"`
	// ReplicaAddr is the address of its copies of the store's tables.
	ReplicaAddr string `cbor:"copies"`
	Zone        string `cbor:"zone"`
}

// IsConfigFresh reports whether the configuration was the newest less than age ago.
func (f *Fleet) IsConfigFresh(now chiveclock.Moment, age time.Duration) bool {
	return f.Config != nil && f.ConfigConfirmedAt != 0 && now.Sub(f.ConfigConfirmedAt) < age
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

// GroupByService sorts runners into services. Of runners at the same address only the one
// that started last is there: the entries of earlier ones lapse some time later.
func GroupByService(runners map[string]*Runner) map[string][]*Runner {
	newest := map[string]*Runner{}
	for _, r := range runners {
		if o := newest[r.Address]; o == nil || r.StartedAtMillis > o.StartedAtMillis || r.StartedAtMillis == o.StartedAtMillis && r.ID > o.ID {
			newest[r.Address] = r
		}
	}
	services := map[string][]*Runner{}
	for _, r := range newest {
		services[r.Service] = append(services[r.Service], r)
	}
	for _, list := range services {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return services
}

// RunnerAt returns the runner of a service at an address, or nil.
func (f *Fleet) RunnerAt(service, addr string) *Runner {
	for _, r := range f.Runners[service] {
		if r.Address == addr {
			return r
		}
	}
	return nil
}
