package chivebalance

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivepace"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// The figures of changes come from the rounds in docs/BENCH.md.
const (
	// roundPeriod is the time between two looks at the groups.
	roundPeriod = 150 * time.Millisecond
	// readTimeout bounds one reading of a rank.
	readTimeout = 400 * time.Millisecond
	// quietRounds is the number of rounds after which the ranks of one zone are
	// taken to serve nothing.
	quietRounds = 3
	// surveyed is the number of ranks whose reports are read in a round. All are
	// where passes have become slower, but once in surveyGap at most.
	surveyed  = 6
	surveyGap = 800 * time.Millisecond
	// slowPace is the pace from which a rank counts as slow.
	slowPace = 1.3
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
	return time.Unix(0, int64(chiveclock.Now()))
}

// formation is a group as its members' entries describe it.
type formation struct {
	epoch   int64
	size    int
	engine  *chivefleet.Engine
	members []chiverank.Member
	// zones holds the zone of each rank.
	zones map[int]string
	// lacks says why not every rank is known, once, in one epoch of an open
	// group; it is empty where all are.
	lacks string
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
				f = &formation{engine: s.Engine, epoch: r.Group.Epoch, zones: map[int]string{}}
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
	switch {
	case r.Group.Epoch != f.epoch:
		f.lacks = "ranks are of different epochs"
	case !r.Group.Open:
		f.lacks = "the group is not open"
	}
	f.size = r.Group.Size
	f.zones[r.Group.Rank] = r.Zone
	f.members = append(f.members, chiverank.Member{ID: r.ID, Address: r.Address, Rank: r.Group.Rank})
}

// finish orders the members and checks that each rank is there once.
func (f *formation) finish() {
	sort.Slice(f.members, func(i, j int) bool { return f.members[i].Rank < f.members[j].Rank })
	if len(f.members) != f.size {
		f.lacks = "ranks are not known"
		return
	}
	for i, m := range f.members {
		if m.Rank != i {
			f.lacks = "ranks are there twice"
		}
	}
}

// near returns the members whose counts are read: up to maxSamples of a zone, or
// of all zones where that has fewer than minSamples or its ranks serve nothing.
func (f *formation) near(zone string, wide bool) []chiverank.Member {
	var list []chiverank.Member
	for _, m := range f.members {
		if f.zones[m.Rank] == zone {
			list = append(list, m)
		}
	}
	if wide || len(list) < minSamples {
		list = nil
		for i := range min(maxSamples, len(f.members)) {
			list = append(list, f.members[i*len(f.members)/min(maxSamples, len(f.members))])
		}
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
	// quiet counts the rounds in a row in which no rank that was read had chosen
	// anything; once it has reached quietRounds, ranks of all zones are read.
	quiet int
	// lacks is why the group was not complete when last looked at.
	lacks string
	// odd counts the reports in a row that show a change in progress.
	odd int
	// paces holds how much slower than others each rank is; next is the rank
	// that was asked last.
	paces map[int]float64
	next  int
	// gait watches the time of passes; wide says that it has become longer, or that
	// no rank was asked yet, and full is when all ranks were asked last.
	gait chivepace.Gait
	wide bool
	full time.Time
	// read holds the last counts of each rank.
	read map[int]chiverank.ExpertCounts
}

func newGroup(name string, b *Balancer, term *tenure) *group {
	rounds := b.rounds[name]
	if rounds == nil {
		rounds = new(int64)
		b.rounds[name] = rounds
	}
	return &group{
		name: name, balancer: b, term: term, paces: map[int]float64{}, read: map[int]chiverank.ExpertCounts{},
		switcher: &chiverank.Switcher{Ranks: b.Engine, Lease: term, Log: b.Log, Group: name, TokenSeq: rounds},
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
	if f.lacks != "" {
		if g.lacks != f.lacks {
			g.balancer.Log.Info("Group is not complete.", "group", g.name, "epoch", f.epoch, "known", len(f.members), "size", f.size, "why", f.lacks)
		}
		g.now, g.lacks = nil, f.lacks
		return
	}
	g.lacks = ""
	if g.now == nil || g.epoch != f.epoch {
		g.learn(ctx, f)
		return
	}
	if !g.watch(ctx, f) {
		return
	}
	g.survey(ctx, f)
	loads := g.sample(ctx, f)
	if loads == nil {
		return
	}
	forecast := g.smoother.Add(loads)
	planner := chivemap.Planner{
		Tolerance: tolerance, MaxNew: min(maxNew, f.engine.Spare), Horizon: horizon, MoveCost: moveCost,
		Paces: g.slowness(len(f.members)),
	}
	next := planner.Plan(g.now, forecast)
	if next == nil {
		return
	}
	before, after := planner.Skew(g.now, forecast), planner.Skew(next, forecast)
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
	m := chivemap.InTurn(len(f.members), e.Places, e.Experts, e.Sets)
	if reports[0].Map != 0 {
		m = chivemap.Blank(len(f.members), e.Places, e.Experts, e.Sets)
		if !g.readMap(ctx, f, m) {
			return
		}
	}
	if err := m.Check(); err != nil {
		g.balancer.Log.Warn("Map of the group is malformed.", "group", g.name, "error", err)
		return
	}
	g.now, g.epoch, g.version, g.odd = m, reports[0].Epoch, reports[0].Map, 0
	g.paces, g.gait, g.wide = map[int]float64{}, chivepace.Gait{}, true
	g.quiet = 0
	g.read, g.smoother = map[int]chiverank.ExpertCounts{}, chivemap.Smoother{}
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

// slowness returns the paces of all ranks, or nil where none is slow.
func (g *group) slowness(ranks int) []float64 {
	slow := false
	list := make([]float64, ranks)
	for k := range list {
		list[k] = max(1, g.paces[k])
		slow = slow || list[k] >= slowPace
	}
	if !slow {
		return nil
	}
	return list
}

// survey reads the reports of ranks for their paces: of a few, other ones each
// time, or of all where one may have become slow.
func (g *group) survey(ctx context.Context, f *formation) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var (
		reading sync.WaitGroup
		mu      sync.Mutex
	)
	count := min(surveyed, len(f.members))
	if g.wide && time.Since(g.full) > surveyGap {
		count, g.wide, g.full = len(f.members), false, time.Now()
	}
	for range count {
		g.next = (g.next + 1) % len(f.members)
		m := f.members[g.next]
		reading.Go(func() {
			r, err := g.balancer.Engine.Report(ctx, m)
			if err != nil {
				g.balancer.Log.Debug("Rank does not report.", "group", g.name, "rank", m.Rank, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if was := g.paces[m.Rank]; r.Pace >= slowPace != (was >= slowPace) {
				g.balancer.Log.Info("Pace of a rank has changed.", "group", g.name, "rank", m.Rank, "runner", m.ID, "pace", r.Pace)
			}
			g.paces[m.Rank] = r.Pace
		})
	}
	reading.Wait()
	slow := map[string]float64{}
	for _, m := range f.members {
		if g.paces[m.Rank] >= slowPace {
			slow[m.ID] = g.paces[m.Rank]
		}
	}
	g.balancer.ReportSlow(g.name, slow)
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
	g.wide = g.gait.Note(bootTime(), r.Pass) || g.wide
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
	chosen := f.near(g.balancer.Zone, g.quiet >= quietRounds)
	read := make(map[int]*chiverank.ExpertCounts, len(chosen))
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
		g.quiet++
		return nil
	}
	if g.quiet < quietRounds {
		g.quiet = 0
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
