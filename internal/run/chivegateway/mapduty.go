package chivegateway

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

const (
	// orderTimeout bounds the wait for one order's reply. Staging weights takes
	// longest.
	orderTimeout = 20 * time.Second
	// minPlanRetryDelay is the time until a failed plan is tried again; it doubles with
	// each failure up to maxPlanRetry.
	minPlanRetryDelay = 250 * time.Millisecond
	maxPlanRetryDelay = 8 * time.Second
	// spareSlotFraction is the part of the slots that hold further replicas.
	spareSlotFraction = 0.25
)

// mapDuty plans and switches the expert map of one group while its lease is
// held.
type mapDuty struct {
	gateway     *Gateway
	group       string
	keeper      *chivelease.Keeper
	coordinator *chiveswitch.Coordinator
	// current is the map that the ranks use, as far as known.
	current       *chivemap.Map
	currentDigest string
	forecaster    chivemap.Forecaster
}

// maintainLease renews or watches the lease.
func (m *mapDuty) maintainLease(ctx context.Context) {
	tick := time.NewTicker(m.keeper.TTL / keeperStepsPerTTL)
	defer tick.Stop()
	held := false
	for ctx.Err() == nil {
		stepCtx, cancel := context.WithTimeout(ctx, keeperStepTimeout)
		_ = m.keeper.Step(stepCtx)
		cancel()
		if fence, now := m.keeper.Held(); now != held {
			held = now
			m.gateway.ring.Add("lease", m.group, "Map duty held: %t, fence %d.", now, fence)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	release, cancel := context.WithTimeout(context.WithoutCancel(ctx), keeperStepTimeout)
	defer cancel()
	_ = m.keeper.Release(release)
}

// run plans at the settings' period, and soon again after a failure.
func (m *mapDuty) run(ctx context.Context) {
	pause := minPlanRetryDelay
	for {
		began := time.Now()
		if _, held := m.keeper.Held(); !held {
			pause = minPlanRetryDelay
		} else if err := m.plan(ctx); err == nil {
			pause = m.gateway.settings.Plan.Std()
		} else {
			m.gateway.ring.Add("map", m.group, "Plan failed: %v.", err)
			pause = min(2*pause, maxPlanRetryDelay)
		}
		if !m.waitForAlert(ctx, pause, began) {
			return
		}
	}
}

// waitForAlert waits for a time, or until an alert of the group that was heard after the
// last plan began. It returns false when the context ends.
func (m *mapDuty) waitForAlert(ctx context.Context, pause time.Duration, planned time.Time) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		changed := m.gateway.spreader.Changed()
		if m.gateway.spreader.HasAlertSince(m.group, planned) {
			return ctx.Err() == nil
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-changed:
		}
	}
}

// Order implements chiveswitch.Orderer.Order.
func (m *mapDuty) Order(ctx context.Context, o *chiveswitch.Order) (*chiveswitch.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e, _, ok := m.gateway.spreader.Config().Endpoint(o.Endpoint)
	if !ok {
		return nil, Error.New("endpoint %s is not in the sheet", o.Endpoint)
	}
	return m.gateway.dialer.Order(ctx, e.Agent, o)
}

// plan probes the group and switches its map where that pays.
func (m *mapDuty) plan(ctx context.Context) error {
	config := m.gateway.spreader.Config()
	m.coordinator.Endpoints = groupEndpointNames(config, m.group)
	view, err := m.coordinator.Probe(ctx)
	if err != nil {
		return err
	}
	loads := sumLoads(view)
	if len(loads) == 0 {
		return nil
	}
	digest, settled := view.SettledMap()
	if settled && digest != "" {
		m.loadCurrent(ctx, digest)
	}
	next := m.nextMap(m.forecaster.Observe(loads), settled && digest != "")
	if next == nil {
		return nil
	}
	return m.switchMap(ctx, view, next)
}

// loadCurrent makes current the map of that digest, if it can be read.
func (m *mapDuty) loadCurrent(ctx context.Context, digest string) {
	if m.currentDigest == digest {
		return
	}
	m.current, m.currentDigest = nil, digest
	body, err := m.gateway.store.Objects.Get(ctx, mapObjectName(digest))
	if err != nil {
		return
	}
	known := &chivemap.Map{}
	if cbor.Unmarshal(body, known) == nil && known.Check() == nil {
		m.current = known
	}
}

// nextMap returns the map to switch to, or nil to keep the present one. Ranks that
// are not settled get a map in any case.
func (m *mapDuty) nextMap(loads chivemap.Loads, settled bool) *chivemap.Map {
	ranks, experts := len(m.coordinator.Endpoints), len(loads[0])
	if m.current == nil || m.current.Ranks != ranks || m.current.Experts != experts || len(m.current.Layers) != len(loads) {
		slots := (int(float64(experts)*(1+spareSlotFraction)) + ranks - 1) / ranks
		return chivemap.Build(ranks, slots, experts, loads)
	}
	if next := (chivemap.Planner{}).Plan(m.current, loads); next != nil {
		return next
	}
	if !settled {
		return m.current
	}
	return nil
}

func (m *mapDuty) switchMap(ctx context.Context, view *chiveswitch.ProbeResult, next *chivemap.Map) error {
	body, err := cbor.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	digest := chiveswitch.Digest(body)
	if err := m.gateway.store.Objects.Put(ctx, mapObjectName(digest), body); err != nil {
		return err
	}
	began := time.Now()
	if err := m.coordinator.Switch(ctx, view, body); err != nil {
		return err
	}
	m.current, m.currentDigest = next, digest
	m.gateway.ring.Add("map", m.group, "Map %.8s in use by all ranks after %v.", digest, time.Since(began).Round(time.Millisecond))
	m.gateway.log.Info("Expert map switched.", "group", m.group, "map", digest[:8])
	return nil
}

// mapObjectName returns the name of a map's object.
func mapObjectName(digest string) string {
	return "map/" + digest
}

// sumLoads adds the loads of all endpoints.
func sumLoads(view *chiveswitch.ProbeResult) chivemap.Loads {
	var sum chivemap.Loads
	for _, r := range view.Replies {
		for l, layer := range r.Loads {
			if l == len(sum) {
				sum = append(sum, make([]float64, len(layer)))
			}
			for e, n := range layer {
				if e < len(sum[l]) {
					sum[l][e] += float64(n)
				}
			}
		}
	}
	return sum
}
