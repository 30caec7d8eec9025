package chivegateway

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

const (
	// candidateCount is the number of gateways that compete for the lease on a
	// duty.
	candidateCount = 3
	// keeperStepsPerTTL is how many times within its TTL a lease is renewed or
	// watched.
	keeperStepsPerTTL = 4
	// keeperStepTimeout bounds one renewal, watch or release of a lease.
	keeperStepTimeout = time.Second
)

// duties runs the control duties of this gateway. Each rank group has one duty,
// the planning of its expert map, which the holder of its lease performs.
type duties struct {
	gateway *Gateway
	table   chiverow.Table
	running sync.WaitGroup
}

// newDuties returns the duties of the gateway, with their leases in the table.
func newDuties(g *Gateway, table chiverow.Table) *duties {
	return &duties{gateway: g, table: table}
}

// run starts and stops duties as the configuration and the set of gateways
// change. It returns once the context has ended and all duties have stopped.
func (d *duties) run(ctx context.Context) error {
	active := map[string]context.CancelFunc{}
	defer d.running.Wait()
	tick := time.NewTicker(d.gateway.settings.Lease.Std() / keeperStepsPerTTL)
	defer tick.Stop()
	for {
		groups := d.candidateGroups()
		for name, cancel := range active {
			if !groups[name] {
				cancel()
				delete(active, name)
			}
		}
		for name := range groups {
			if active[name] == nil {
				active[name] = d.start(ctx, name)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// candidateGroups returns the groups for whose duty this gateway competes:
// those for which rendezvous hashing ranks it among the first candidateCount
// gateways. It returns none while the gateway is leaving or if planning is
// disabled in the settings.
func (d *duties) candidateGroups() map[string]bool {
	groups := map[string]bool{}
	c := d.gateway.syncer.Config()
	if c == nil || d.gateway.leaving.Load() || d.gateway.settings.Plan == 0 {
		return groups
	}
	gateways, _ := d.gateway.liveGateways()
	for _, g := range c.Sheet.Groups {
		for _, p := range chiveshard.Pick("duty/"+g.Name, "", gateways, candidateCount) {
			groups[g.Name] = groups[g.Name] || p.Name == d.gateway.settings.Name
		}
	}
	for name, isCandidate := range groups {
		if !isCandidate {
			delete(groups, name)
		}
	}
	return groups
}

// start starts the duty of a group and returns the function that stops it.
func (d *duties) start(ctx context.Context, group string) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	g := d.gateway
	m := &mapDuty{
		gateway: g,
		group:   group,
		keeper: &chivelease.Keeper{
			Table: d.table, Duty: "map/" + group, TTL: g.settings.Lease.Std(),
			Holder: fmt.Sprintf("%s/%x", g.settings.Name, g.syncer.Node.Boot),
		},
	}
	m.coordinator = &chiveswitch.Coordinator{Group: group, Orderer: m, Lease: m.keeper}
	d.running.Add(2)
	go func() {
		defer d.running.Done()
		m.maintainLease(ctx)
	}()
	go func() {
		defer d.running.Done()
		m.run(ctx)
	}()
	return cancel
}

// groupEndpointNames returns the names of the endpoints of a group.
func groupEndpointNames(c *chiveconf.Config, group string) []string {
	var names []string
	for _, i := range c.GroupEndpoints(group) {
		names = append(names, c.Sheet.Endpoints[i].Name)
	}
	return names
}
