package chivebalance

import (
	"sort"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// membership lists the members of a group as registered by their runners.
type membership struct {
	service string
	epoch   int64
	size    int
	engine  *chivefleet.Engine
	// maxPause is the shortest pause target of the routes of the service, 0 if none has one.
	maxPause time.Duration
	members  []chiverank.Member
	// zones maps each rank to its availability zone.
	zones map[int]string
	// incompleteReason tells why the group is not open, its ranks are not each registered
	// exactly once in the same epoch, or it has no expert map; it is empty otherwise.
	incompleteReason string
}

// collectGroups returns the groups of a fleet by name. Services without expert
// layers are left out.
func collectGroups(fleet *chivefleet.Fleet) map[string]*membership {
	found := map[string]*membership{}
	if fleet.Config == nil {
		return found
	}
	for service, runners := range fleet.Runners {
		s := fleet.Config.Services[service]
		if s == nil || s.Engine == nil || s.Engine.Layers == 0 {
			continue
		}
		for _, r := range runners {
			if r.Membership == nil {
				continue
			}
			ms := found[r.Membership.Group]
			if ms == nil {
				ms = &membership{service: service, engine: s.Engine, maxPause: fleet.Config.PauseTarget(service), epoch: r.Membership.Epoch, zones: map[int]string{}}
				found[r.Membership.Group] = ms
			}
			ms.add(r)
		}
	}
	for _, ms := range found {
		ms.validate()
	}
	return found
}

// add records a runner as a member of the group.
func (ms *membership) add(r *chivefleet.Runner) {
	switch {
	case r.Membership.Epoch != ms.epoch:
		ms.incompleteReason = "ranks are of different epochs"
	case !r.Membership.Open:
		ms.incompleteReason = "the group is not open"
	}
	ms.size = r.Membership.Size
	ms.zones[r.Membership.Rank] = r.Zone
	ms.members = append(ms.members, chiverank.Member{ID: r.ID, Address: r.Address, Rank: r.Membership.Rank})
}

// validate sorts the members by rank and sets incompleteReason unless every rank is present
// exactly once and the experts of the service fit in them: who writes the entries of runners
// need not know the configuration.
func (ms *membership) validate() {
	sort.Slice(ms.members, func(i, j int) bool { return ms.members[i].Rank < ms.members[j].Rank })
	if len(ms.members) != ms.size {
		ms.incompleteReason = "ranks are not known"
		return
	}
	for i, m := range ms.members {
		if m.Rank != i {
			ms.incompleteReason = "ranks are there twice"
		}
	}
	if err := ms.shape().Check(); err != nil {
		ms.incompleteReason = err.Error()
	}
}

// shape returns the shape of the maps of the group.
func (ms *membership) shape() chivemap.Shape {
	return chivemap.Shape{Ranks: len(ms.members), Slots: ms.engine.SlotsPerRank, Experts: ms.engine.Experts, Layers: ms.engine.Layers}
}

// sampledMembers returns the members whose counts are read: up to maxSampledRanks
// of the zone. If the zone has fewer than minSampledRanks, or allZones is set, it
// returns members spread evenly over the whole group.
func (ms *membership) sampledMembers(zone string, allZones bool) []chiverank.Member {
	var list []chiverank.Member
	for _, m := range ms.members {
		if ms.zones[m.Rank] == zone {
			list = append(list, m)
		}
	}
	if allZones || len(list) < minSampledRanks {
		list = nil
		for i := range min(maxSampledRanks, len(ms.members)) {
			list = append(list, ms.members[i*len(ms.members)/min(maxSampledRanks, len(ms.members))])
		}
	}
	return list[:min(maxSampledRanks, len(list))]
}
