package chivebalance

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// roundPeriod is the time between two looks at the groups.
	roundPeriod = 150 * time.Millisecond
	// readTimeout bounds one reading of a rank.
	readTimeout = 400 * time.Millisecond
	// minSamples and maxSamples bound the ranks whose counts are read.
	minSamples = 4
	maxSamples = 12
	// minGain is the least part of the step time that a change must save.
	minGain = 0.15
	// tolerance is how far above its bound the hottest rank may stay.
	tolerance = 0.25
	// maxNew is the number of experts of a layer that one change brings to a rank
	// at most. Copying holds a change up, so that two small changes help sooner
	// than a large one.
	maxNew = 1
	// oddReports is the number of reports in a row that may show a change in
	// progress although there is none.
	oddReports = 2
	// horizon is the number of forward steps over which a gain must pay.
	horizon = 400
	// moveCost is what one copied expert costs, in steps that it delays.
	moveCost = 0.25
)

// bootTime reads the clock that leases are judged by.
func bootTime() time.Time {
	return time.Unix(0, int64(chiveboot.Now()))
}

// formation is a group as its members' entries describe it.
type formation struct {
	epoch   int64
	size    int
	engine  *chivefleet.Engine
	members []chiverank.Member
	// zones holds the zone of each rank.
	zones map[int]string
	// complete says that every rank is known, once, and the group is open.
	complete bool
}

// gather finds the groups of a fleet.
func gather(fleet *chivefleet.Fleet) map[string]*formation {
	found := map[string]*formation{}
	if fleet.Config == nil {
		return found
	}
	for service, runners := range fleet.Runners {
		s := fleet.Config.Services[service]
		if s == nil || s.Engine == nil || s.Engine.Sets == 0 {
			continue
		}
		for _, r := range runners {
			if r.Group == nil {
				continue
			}
			f := found[r.Group.Name]
			if f == nil {
				f = &formation{engine: s.Engine, epoch: r.Group.Epoch, zones: map[int]string{}, complete: true}
				found[r.Group.Name] = f
			}
			f.add(r)
		}
	}
	for _, f := range found {
		f.finish()
	}
	return found
}

// add takes a member in.
func (f *formation) add(r *chivefleet.Runner) {
	if r.Group.Epoch != f.epoch || !r.Group.Open {
		f.complete = false
	}
	f.size = r.Group.Size
	f.zones[r.Group.Rank] = r.Zone
	f.members = append(f.members, chiverank.Member{ID: r.ID, Address: r.Address, Rank: r.Group.Rank})
}

// finish orders the members and checks that each rank is there once.
func (f *formation) finish() {
	sort.Slice(f.members, func(i, j int) bool { return f.members[i].Rank < f.members[j].Rank })
	if len(f.members) != f.size {
		f.complete = false
	}
	for i, m := range f.members {
		if m.Rank != i {
			f.complete = false
		}
	}
}

// near returns the members whose counts are read: up to maxSamples of a zone, or
// of all zones where it has fewer than minSamples.
func (f *formation) near(zone string) []chiverank.Member {
	var list []chiverank.Member
	for _, m := range f.members {
		if f.zones[m.Rank] == zone {
			list = append(list, m)
		}
	}
	if len(list) < minSamples {
		list = f.members
	}
	return list[:min(maxSamples, len(list))]
}

// group is what the holder of the duty knows of one group.
type group struct {
	name     string
	balancer *Balancer
	term     *tenure
	switcher *chiverank.Switcher
	smoother chivemap.Smoother

	// epoch is that for which the map is known; now is nil where it is not.
	epoch int64
	now   *chivemap.Map
	// version is that of the map.
	version int64
	// odd counts the reports in a row that show a change in progress.
	odd int
	// read holds the last counts of each rank.
	read map[int]chiverank.Counts
}

func newGroup(name string, b *Balancer, term *tenure) *group {
	rounds := b.rounds[name]
	if rounds == nil {
		rounds = new(int64)
		b.rounds[name] = rounds
	}
	return &group{
		name: name, balancer: b, term: term, read: map[int]chiverank.Counts{},
		switcher: &chiverank.Switcher{Ranks: b.Engine, Lease: term, Log: b.Log, Group: name, Rounds: rounds},
	}
}

// fail notes an error of the group's ranks, which is to be learnt anew.
func (g *group) fail(text string, err error) {
	g.balancer.Log.Warn(text, "group", g.name, "error", err)
	g.now = nil
	if errors.Is(err, chiverank.ErrFenced) {
		g.term.fenced.Store(true)
	}
}

// round looks at the group once and changes its map where that pays.
func (g *group) round(ctx context.Context, f *formation) {
	if !f.complete {
		g.now = nil
		return
	}
	if g.now == nil || g.epoch != f.epoch {
		g.learn(ctx, f)
		return
	}
	if !g.watch(ctx, f) {
		return
	}
	loads := g.sample(ctx, f)
	if loads == nil {
		return
	}
	forecast := g.smoother.Add(loads)
	planner := chivemap.Planner{Tolerance: tolerance, MaxNew: min(maxNew, f.engine.Spare), Horizon: horizon, MoveCost: moveCost}
	next := planner.Plan(g.now, forecast)
	if next == nil {
		return
	}
	before, after := g.now.StepSkew(forecast), next.StepSkew(forecast)
	if after > before*(1-minGain) {
		return
	}
	g.change(ctx, f, next, before, after)
}

// learn reads which experts the ranks hold, after it has settled what an earlier
// holder of the duty left.
func (g *group) learn(ctx context.Context, f *formation) {
	settled, reports, err := g.switcher.Recover(ctx, f.members)
	if err != nil {
		g.fail("Group cannot be settled.", err)
		return
	}
	if !settled {
		return
	}
	e := f.engine
	m := &chivemap.Map{Ranks: len(f.members), Slots: e.Places, Experts: e.Experts}
	for range e.Sets {
		layer := make([]uint16, m.Ranks*m.Slots)
		for i := range layer {
			layer[i] = chivemap.Empty
		}
		m.Layers = append(m.Layers, layer)
	}
	if reports[0].Map == 0 {
		m = chivemap.InTurn(len(f.members), e.Places, e.Experts, e.Sets)
	} else if !g.readMap(ctx, f, m) {
		return
	}
	if err := m.Check(); err != nil {
		g.balancer.Log.Warn("Map of the group is malformed.", "group", g.name, "error", err)
		return
	}
	g.now, g.epoch, g.version, g.odd = m, reports[0].Epoch, reports[0].Map, 0
	g.read, g.smoother = map[int]chiverank.Counts{}, chivemap.Smoother{}
	g.balancer.Log.Info("Map of the group is known.", "group", g.name, "epoch", g.epoch, "version", reports[0].Map)
}

// readMap reads the experts of every rank into a map.
func (g *group) readMap(ctx context.Context, f *formation, m *chivemap.Map) bool {
	for _, member := range f.members {
		each, cancel := context.WithTimeout(ctx, readTimeout)
		held, err := g.balancer.Engine.Experts(each, member)
		cancel()
		if err != nil || len(held.Experts) != len(m.Layers) {
			g.balancer.Log.Warn("Experts of a rank cannot be read.", "group", g.name, "rank", member.Rank, "error", err)
			return false
		}
		for l, list := range held.Experts {
			if len(list) > m.Slots {
				return false
			}
			for i, e := range list {
				m.Layers[l][member.Rank*m.Slots+i] = uint16(e)
			}
		}
	}
	return true
}

// watch looks for a hold that an order of an earlier holder left late.
func (g *group) watch(ctx context.Context, f *formation) bool {
	each, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r, err := g.balancer.Engine.Report(each, f.members[0])
	if err != nil {
		g.balancer.Log.Debug("Rank does not report.", "group", g.name, "error", err)
		return false
	}
	if r.Epoch != g.epoch || !r.Open {
		g.now = nil
		return false
	}
	if r.Held < 0 && r.Armed == 0 {
		g.odd = 0
		return true
	}
	if r.Held < 0 && r.Armed == g.version {
		// The pass of the last change has not begun yet.
		return false
	}
	// Reports are late, so that one may show what has just ended.
	if g.odd++; g.odd > oddReports {
		g.now = nil
	}
	return false
}

// sample reads the counts of some ranks and returns what was chosen since their
// last reading, or nil. All ranks choose alike, since requests are spread over
// them; ranks of the same zone cost no traffic between zones.
func (g *group) sample(ctx context.Context, f *formation) chivemap.Loads {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	chosen := f.near(g.balancer.Zone)
	read := make(map[int]*chiverank.Counts, len(chosen))
	var (
		reading sync.WaitGroup
		mu      sync.Mutex
	)
	for _, m := range chosen {
		reading.Go(func() {
			counts, err := g.balancer.Engine.Counts(ctx, m)
			if err != nil {
				g.balancer.Log.Debug("Counts cannot be read.", "group", g.name, "rank", m.Rank, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			read[m.Rank] = &counts
		})
	}
	reading.Wait()
	e := f.engine
	sum := make([]float64, e.Sets*e.Experts)
	found := false
	for i, counts := range read {
		if len(counts.Chosen) != len(sum) {
			continue
		}
		before, ok := g.read[i]
		g.read[i] = *counts
		if ok && before.Epoch == counts.Epoch {
			found = addSince(sum, before.Chosen, counts.Chosen) || found
		}
	}
	if !found {
		return nil
	}
	loads := make(chivemap.Loads, e.Sets)
	for l := range loads {
		loads[l] = sum[l*e.Experts : (l+1)*e.Experts]
	}
	return loads
}

// addSince adds what was chosen between two readings. It returns false where the
// rank has started anew or chose nothing.
func addSince(sum []float64, before, now []int64) bool {
	some := false
	for i := range now {
		if now[i] < before[i] {
			return false
		}
		some = some || now[i] > before[i]
	}
	for i := range now {
		sum[i] += float64(now[i] - before[i])
	}
	return some
}

// change makes a map the one in use.
func (g *group) change(ctx context.Context, f *formation, next *chivemap.Map, before, after float64) {
	layout := make([][][]int, len(next.Layers))
	for l := range layout {
		for k := range next.Ranks {
			layout[l] = append(layout[l], next.Rank(l, k))
		}
	}
	moves := g.now.Moves(next)
	began := time.Now()
	version, err := g.switcher.Switch(ctx, f.members, g.epoch, layout, f.engine.Copy)
	if err != nil {
		g.fail("Map was not changed.", err)
		return
	}
	g.now, g.version = next, version
	g.balancer.Log.Info("Map is changed.", "group", g.name, "epoch", g.epoch, "version", version, "moves", moves,
		"skew", before, "forecast", after, "took", time.Since(began))
}
