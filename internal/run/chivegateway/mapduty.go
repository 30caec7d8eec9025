package chivegateway

import (
	"context"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chivelease"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveswitch"
)

const (
	// orderTimeout bounds the wait for the reply to one order. Staging weights
	// takes longest.
	orderTimeout = 20 * time.Second
	// minPlanRetryDelay is the delay while the lease is not held. A failed plan
	// is retried after twice the last delay, up to maxPlanRetryDelay.
	minPlanRetryDelay = 250 * time.Millisecond
	maxPlanRetryDelay = 8 * time.Second
	// spareSlotFraction is the number of slots for additional replicas,
	// relative to the number of experts.
	spareSlotFraction = 0.25
)

// mapDuty plans and switches the expert map of one group while this gateway
// holds the lease. It implements chiveswitch.Orderer.
type mapDuty struct {
	gateway     *Gateway
	group       string
	keeper      *chivelease.Keeper
	coordinator *chiveswitch.Coordinator
	// current is the last map known to be in use by all ranks, nil if it is
	// unknown. currentDigest is its digest, also while the map itself cannot be
	// read.
	current       *chivemap.Map
	currentDigest string
	forecaster    chivemap.Forecaster
}

// maintainLease renews or watches the lease until the context ends, and then
// releases it.
func (m *mapDuty) maintainLease(ctx context.Context) {
	tick := time.NewTicker(m.keeper.TTL / keeperStepsPerTTL)
	defer tick.Stop()
	held := false
	for ctx.Err() == nil {
		stepCtx, cancel := context.WithTimeout(ctx, keeperStepTimeout)
		chiveguard.Do(m.gateway.log, "step of a lease", func() { _ = m.keeper.Step(stepCtx) })
		cancel()
		if fence, heldNow := m.keeper.Held(); heldNow != held {
			held = heldNow
			m.gateway.ring.Add("lease", m.group, "Map duty held: %t, fence %d.", heldNow, fence)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keeperStepTimeout)
	defer cancel()
	_ = m.keeper.Release(releaseCtx)
}

// run plans at the period in the settings while the lease is held, and retries
// with backoff after a failure.
func (m *mapDuty) run(ctx context.Context) {
	delay := minPlanRetryDelay
	for {
		startedAt := time.Now()
		if _, held := m.keeper.Held(); !held {
			delay = minPlanRetryDelay
		} else if err := chiveguard.Call("plan of group "+m.group, func() error { return m.plan(ctx) }); err == nil {
			delay = m.gateway.settings.Plan.Std()
		} else {
			chiveguard.Log(m.gateway.log, err)
			m.gateway.ring.Add("map", m.group, "Plan failed: %v.", err)
			delay = min(2*delay, maxPlanRetryDelay)
		}
		if !m.waitForAlert(ctx, delay, startedAt) {
			return
		}
	}
}

// waitForAlert waits for the delay, or until an alert of the group arrives. An
// alert that has arrived since the given time ends the wait at once. It returns
// false if the context ends.
func (m *mapDuty) waitForAlert(ctx context.Context, delay time.Duration, since time.Time) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		changed := m.gateway.syncer.Changed()
		if m.gateway.syncer.HasAlertSince(m.group, since) {
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

// Order implements chiveswitch.Orderer.Order. It sends an order to the agent of
// its endpoint, and returns an error if the sheet has no such endpoint or the
// agent does not reply within orderTimeout.
func (m *mapDuty) Order(ctx context.Context, o *chiveswitch.Order) (*chiveswitch.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	e, _, ok := m.gateway.syncer.Config().Endpoint(o.Endpoint)
	if !ok {
		return nil, Error.New("endpoint %s is not in the sheet", o.Endpoint)
	}
	return m.gateway.dialer.Order(ctx, e.Agent, o)
}

// plan probes the ranks of the group and switches their map if the planner
// returns a new one. It returns an error if the probe or the switch fails.
func (m *mapDuty) plan(ctx context.Context) error {
	config := m.gateway.syncer.Config()
	m.coordinator.Endpoints = groupEndpointNames(config, m.group)
	probe, err := m.coordinator.Probe(ctx)
	if err != nil {
		return err
	}
	loads := sumLoads(probe)
	if len(loads) == 0 {
		return nil
	}
	digest, settled := probe.SettledMap()
	if settled && digest != "" {
		m.loadCurrent(ctx, digest)
	}
	next, err := m.nextMap(m.forecaster.Observe(loads), settled && digest != "")
	if err != nil || next == nil {
		return err
	}
	return m.switchMap(ctx, probe, next)
}

// loadCurrent sets current to the stored map of the given digest. If the map
// cannot be read or is malformed, current is nil and the next plan replaces it.
func (m *mapDuty) loadCurrent(ctx context.Context, digest string) {
	if m.currentDigest == digest {
		return
	}
	m.current, m.currentDigest = nil, digest
	body, err := m.gateway.store.Objects.Get(ctx, mapObjectName(digest))
	if err != nil {
		return
	}
	loaded := &chivemap.Map{}
	if cbor.Unmarshal(body, loaded) == nil && loaded.Check() == nil {
		m.current = loaded
	}
}

// nextMap returns the map to switch to, or nil to keep the present one. Ranks
// that are not settled on one map, because they use different maps, no map or
// are held, always get a map. It returns an error if there is no map for the loads.
func (m *mapDuty) nextMap(loads chivemap.Loads, settled bool) (*chivemap.Map, error) {
	s := chivemap.Shape{Ranks: len(m.coordinator.Endpoints), Experts: len(loads[0]), Layers: len(loads)}
	if m.current == nil || m.current.Ranks != s.Ranks || m.current.Experts != s.Experts || len(m.current.Layers) != s.Layers {
		s.Slots = (int(float64(s.Experts)*(1+spareSlotFraction)) + s.Ranks - 1) / max(1, s.Ranks)
		next, err := chivemap.Build(s, loads)
		return next, Error.Wrap(err)
	}
	if next := (chivemap.Planner{}).Plan(m.current, loads); next != nil {
		return next, nil
	}
	if !settled {
		return m.current, nil
	}
	return nil, nil
}

// switchMap stores the map and switches all ranks to it. It returns an error if
// the map cannot be stored or the switch fails.
func (m *mapDuty) switchMap(ctx context.Context, probe *chiveswitch.ProbeResult, next *chivemap.Map) error {
	body, err := cbor.Marshal(next)
	if err != nil {
		return Error.Wrap(err)
	}
	digest := chiveswitch.Digest(body)
	if err := m.gateway.store.Objects.Put(ctx, mapObjectName(digest), body); err != nil {
		return err
	}
	startedAt := time.Now()
	if err := m.coordinator.Switch(ctx, probe, body); err != nil {
		return err
	}
	m.current, m.currentDigest = next, digest
	m.gateway.ring.Add("map", m.group, "Map %.8s in use by all ranks after %v.", digest, time.Since(startedAt).Round(time.Millisecond))
	m.gateway.log.Info("Expert map switched.", "group", m.group, "map", digest[:8])
	return nil
}

// mapObjectName returns the object name of the map of the given digest.
func mapObjectName(digest string) string {
	return "map/" + digest
}

// sumLoads returns the expert loads summed over all endpoints. An endpoint with
// more layers or experts than the earlier ones adds layers, but no experts to
// layers that are already present.
func sumLoads(probe *chiveswitch.ProbeResult) chivemap.Loads {
	var sum chivemap.Loads
	for _, r := range probe.Replies {
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
