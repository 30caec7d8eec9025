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
	// candidateCount is the number of gateways that try to hold a duty.
	candidateCount = 3
	// keeperStepsPerTTL is how often a lease is renewed or watched within its TTL.
	keeperStepsPerTTL = 4
	// keeperStepTimeout bounds one step of a lease.
	keeperStepTimeout = time.Second
)

// duties runs the control duties that this gateway holds by lease: one for each
// rank group, the planning of its expert map.
type duties struct {
	gateway *Gateway
	table   chiverow.Table
	running sync.WaitGroup
}

func newDuties(g *Gateway, table chiverow.Table) *duties {
	return &duties{gateway: g, table: table}
}

// run starts and ends duties as the configuration and the gateways change.
func (d *duties) run(ctx context.Context) error {
	active := map[string]context.CancelFunc{}
	defer d.running.Wait()
	tick := time.NewTicker(d.gateway.settings.Lease.Std() / keeperStepsPerTTL)
	defer tick.Stop()
	for {
		want := d.candidateGroups()
		for name, cancel := range active {
			if !want[name] {
				cancel()
				delete(active, name)
			}
		}
		for name := range want {
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

// candidateGroups returns the groups whose duty this gateway tries to hold: those for
// which it is among the best by rendezvous hashing.
func (d *duties) candidateGroups() map[string]bool {
	want := map[string]bool{}
	c := d.gateway.spreader.Config()
	if c == nil || d.gateway.leaving.Load() || d.gateway.settings.Plan == 0 {
		return want
	}
	gateways, _ := d.gateway.liveGateways()
	for _, g := range c.Sheet.Groups {
		for _, p := range chiveshard.Pick("duty/"+g.Name, "", gateways, candidateCount) {
			want[g.Name] = want[g.Name] || p.Name == d.gateway.settings.Name
		}
	}
	for name, is := range want {
		if !is {
			delete(want, name)
		}
	}
	return want
}

// start runs the duty of one group until it is cancelled.
func (d *duties) start(ctx context.Context, group string) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	g := d.gateway
	m := &mapDuty{
		gateway: g,
		group:   group,
		keeper: &chivelease.Keeper{
			Table: d.table, Duty: "map/" + group, TTL: g.settings.Lease.Std(),
			Holder: fmt.Sprintf("%s/%x", g.settings.Name, g.spreader.Node.Boot),
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

// groupEndpointNames returns the names of a group's endpoints.
func groupEndpointNames(c *chiveconf.Config, group string) []string {
	var names []string
	for _, i := range c.GroupEndpoints(group) {
		names = append(names, c.Sheet.Endpoints[i].Name)
	}
	return names
}
