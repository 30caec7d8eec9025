package chivebalance

import (
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivelimit"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// The figures of changes come from the rounds in docs/BENCH.md.
const (
	// roundInterval is the time between two looks at the groups.
	roundInterval = 150 * time.Millisecond
	// rankReadTimeout bounds one reading of a rank.
	rankReadTimeout = 400 * time.Millisecond
	// maxIdleRounds is the number of rounds after which the ranks of one zone are
	// taken to serve nothing.
	maxIdleRounds = 3
	// ranksPerPoll is the number of ranks whose reports are read in a round. All are
	// where passes have become slower, but once in surveyGap at most.
	ranksPerPoll     = 6
	fullPollInterval = 800 * time.Millisecond
	// slowPaceThreshold is the pace from which a rank counts as slow.
	slowPaceThreshold = 1.3
	// minSampledRanks and maxSamples bound the ranks whose counts are read.
	minSampledRanks = 4
	maxSampledRanks = 12
	// minStepTimeGain is the least part of the step time that a change must save.
	minStepTimeGain = 0.15
	// skewTolerance is how far above its bound the hottest rank may stay.
	skewTolerance = 0.25
	// maxNewExperts is the number of experts of a layer that one change brings to a rank
	// at most. Copying holds a change up, so that two small changes help sooner
	// than a large one.
	maxNewExperts = 1
	// maxPendingReports is the number of reports in a row that may show a change in
	// progress although there is none.
	maxPendingReports = 2
	// gainHorizonSteps is the number of forward steps over which a gain must pay.
	gainHorizonSteps = 400
	// moveCostSteps is what one copied expert costs, in steps that it delays.
	moveCostSteps = 0.25
)

// bootTime reads the clock that leases are judged by.
func bootTime() time.Time {
	return time.Unix(0, int64(chiveclock.Now()))
}

// membership is a group as its members' entries describe it.
type membership struct {
	epoch   int64
	size    int
	engine  *chivefleet.Engine
	members []chiverank.Member
	// zones holds the zone of each rank.
	zones map[int]string
	// incompleteReason says why not every rank is known, once, in one epoch of an open
	// group; it is empty where all are.
	incompleteReason string
}

// collectGroups finds the groups of a fleet.
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
			f := found[r.Membership.Group]
			if f == nil {
				f = &membership{engine: s.Engine, epoch: r.Membership.Epoch, zones: map[int]string{}}
				found[r.Membership.Group] = f
			}
			f.add(r)
		}
	}
	for _, f := range found {
		f.validate()
	}
	return found
}

// add takes a member in.
func (f *membership) add(r *chivefleet.Runner) {
	switch {
	case r.Membership.Epoch != f.epoch:
		f.incompleteReason = "ranks are of different epochs"
	case !r.Membership.Open:
		f.incompleteReason = "the group is not open"
	}
	f.size = r.Membership.Size
	f.zones[r.Membership.Rank] = r.Zone
	f.members = append(f.members, chiverank.Member{ID: r.ID, Address: r.Address, Rank: r.Membership.Rank})
}

// validate orders the members and checks that each rank is there once.
func (f *membership) validate() {
	sort.Slice(f.members, func(i, j int) bool { return f.members[i].Rank < f.members[j].Rank })
	if len(f.members) != f.size {
		f.incompleteReason = "ranks are not known"
		return
	}
	for i, m := range f.members {
		if m.Rank != i {
			f.incompleteReason = "ranks are there twice"
		}
	}
}

// sampledMembers returns the members whose counts are read: up to maxSamples of a zone, or
// of all zones where that has fewer than minSamples or its ranks serve nothing.
func (f *membership) sampledMembers(zone string, wide bool) []chiverank.Member {
	var list []chiverank.Member
	for _, m := range f.members {
		if f.zones[m.Rank] == zone {
			list = append(list, m)
		}
	}
	if wide || len(list) < minSampledRanks {
		list = nil
		for i := range min(maxSampledRanks, len(f.members)) {
			list = append(list, f.members[i*len(f.members)/min(maxSampledRanks, len(f.members))])
		}
	}
	return list[:min(maxSampledRanks, len(list))]
}

// group is what the holder of the duty knows of one group.
type group struct {
	name     string
	balancer *Balancer
	term     *leaseTerm
	switcher *chiverank.Switcher
	smoother chivemap.Forecaster

	// epoch is that for which the map is known; now is nil where it is not.
	epoch   int64
	current *chivemap.Map
	// version is that of the map.
	version int64
	// idleRounds counts the rounds in a row in which no rank that was read had chosen
	// anything; once it has reached quietRounds, ranks of all zones are read.
	idleRounds int
	// incompleteReason is why the group was not complete when last looked at.
	incompleteReason string
	// pendingReports counts the reports in a row that show a change in progress.
	pendingReports int
	// paces holds how much slower than others each rank is; next is the rank
	// that was asked last.
	paces      map[int]float64
	lastPolled int
	// stepTimes watches the time of passes; wide says that it has become longer, or that
	// no rank was asked yet, and full is when all ranks were asked last.
	stepTimes    chivelimit.StepTimeDetector
	pollAll      bool
	lastFullPoll time.Time
	// lastCounts holds the last counts of each rank.
	lastCounts map[int]chiverank.ExpertCounts
}

func newGroup(name string, b *Balancer, term *leaseTerm) *group {
	rounds := b.tokenSeqs[name]
	if rounds == nil {
		rounds = new(int64)
		b.tokenSeqs[name] = rounds
	}
	return &group{
		name: name, balancer: b, term: term, paces: map[int]float64{}, lastCounts: map[int]chiverank.ExpertCounts{},
		switcher: &chiverank.Switcher{Ranks: b.Engine, Lease: term, Log: b.Log, Group: name, TokenSeq: rounds},
	}
}

// handleRankError notes an error of the group's ranks, which is to be learnt anew.
func (g *group) handleRankError(text string, err error) {
	g.balancer.Log.Warn(text, "group", g.name, "error", err)
	g.current = nil
	if errors.Is(err, chiverank.ErrFenced) {
		g.term.fenced.Store(true)
	}
}

// round looks at the group once and changes its map where that pays.
func (g *group) round(ctx context.Context, f *membership) {
	if f.incompleteReason != "" {
		if g.incompleteReason != f.incompleteReason {
			g.balancer.Log.Info("Group is not complete.", "group", g.name, "epoch", f.epoch, "known", len(f.members), "size", f.size, "why", f.incompleteReason)
		}
		g.current, g.incompleteReason = nil, f.incompleteReason
		return
	}
	g.incompleteReason = ""
	if g.current == nil || g.epoch != f.epoch {
		g.loadMap(ctx, f)
		return
	}
	if !g.isSettled(ctx, f) {
		return
	}
	g.pollPaces(ctx, f)
	loads := g.sampleLoads(ctx, f)
	if loads == nil {
		return
	}
	forecast := g.smoother.Observe(loads)
	planner := chivemap.Planner{
		Tolerance: skewTolerance, MaxNewExperts: min(maxNewExperts, f.engine.MaxNewExperts), Horizon: gainHorizonSteps, MoveCost: moveCostSteps,
		Slowdowns: g.rankPaces(len(f.members)),
	}
	next := planner.Plan(g.current, forecast)
	if next == nil {
		return
	}
	before, after := planner.RelativeStepTime(g.current, forecast), planner.RelativeStepTime(next, forecast)
	if after > before*(1-minStepTimeGain) {
		return
	}
	g.applyMap(ctx, f, next, before, after)
}

// loadMap reads which experts the ranks hold, after it has settled what an earlier
// holder of the duty left.
func (g *group) loadMap(ctx context.Context, f *membership) {
	settled, reports, err := g.switcher.Recover(ctx, f.members)
	if err != nil {
		g.handleRankError("Group cannot be settled.", err)
		return
	}
	if !settled {
		return
	}
	e := f.engine
	m := chivemap.NewRoundRobin(len(f.members), e.SlotsPerRank, e.Experts, e.Layers)
	if reports[0].Map != 0 {
		m = chivemap.NewEmpty(len(f.members), e.SlotsPerRank, e.Experts, e.Layers)
		if !g.readExperts(ctx, f, m) {
			return
		}
	}
	if err := m.Check(); err != nil {
		g.balancer.Log.Warn("Map of the group is malformed.", "group", g.name, "error", err)
		return
	}
	g.current, g.epoch, g.version, g.pendingReports = m, reports[0].Epoch, reports[0].Map, 0
	g.paces, g.stepTimes, g.pollAll = map[int]float64{}, chivelimit.StepTimeDetector{}, true
	g.idleRounds = 0
	g.lastCounts, g.smoother = map[int]chiverank.ExpertCounts{}, chivemap.Forecaster{}
	g.balancer.Log.Info("Map of the group is known.", "group", g.name, "epoch", g.epoch, "version", reports[0].Map)
}

// readExperts reads the experts of every rank into a map.
func (g *group) readExperts(ctx context.Context, f *membership, m *chivemap.Map) bool {
	for _, member := range f.members {
		each, cancel := context.WithTimeout(ctx, rankReadTimeout)
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

// rankPaces returns the paces of all ranks, or nil where none is slow.
func (g *group) rankPaces(ranks int) []float64 {
	slow := false
	list := make([]float64, ranks)
	for k := range list {
		list[k] = max(1, g.paces[k])
		slow = slow || list[k] >= slowPaceThreshold
	}
	if !slow {
		return nil
	}
	return list
}

// pollPaces reads the reports of ranks for their paces: of a few, other ones each
// time, or of all where one may have become slow.
func (g *group) pollPaces(ctx context.Context, f *membership) {
	ctx, cancel := context.WithTimeout(ctx, rankReadTimeout)
	defer cancel()
	var (
		reading sync.WaitGroup
		mu      sync.Mutex
	)
	count := min(ranksPerPoll, len(f.members))
	if g.pollAll && time.Since(g.lastFullPoll) > fullPollInterval {
		count, g.pollAll, g.lastFullPoll = len(f.members), false, time.Now()
	}
	for range count {
		g.lastPolled = (g.lastPolled + 1) % len(f.members)
		m := f.members[g.lastPolled]
		reading.Go(func() {
			r, err := g.balancer.Engine.Report(ctx, m)
			if err != nil {
				g.balancer.Log.Debug("Rank does not report.", "group", g.name, "rank", m.Rank, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if was := g.paces[m.Rank]; r.Pace >= slowPaceThreshold != (was >= slowPaceThreshold) {
				g.balancer.Log.Info("Pace of a rank has changed.", "group", g.name, "rank", m.Rank, "runner", m.ID, "pace", r.Pace)
			}
			g.paces[m.Rank] = r.Pace
		})
	}
	reading.Wait()
	slow := map[string]float64{}
	for _, m := range f.members {
		if g.paces[m.Rank] >= slowPaceThreshold {
			slow[m.ID] = g.paces[m.Rank]
		}
	}
	g.balancer.ReportSlow(g.name, slow)
}

// isSettled looks for a hold that an order of an earlier holder left late.
func (g *group) isSettled(ctx context.Context, f *membership) bool {
	each, cancel := context.WithTimeout(ctx, rankReadTimeout)
	defer cancel()
	r, err := g.balancer.Engine.Report(each, f.members[0])
	if err != nil {
		g.balancer.Log.Debug("Rank does not report.", "group", g.name, "error", err)
		return false
	}
	if r.Epoch != g.epoch || !r.Open {
		g.current = nil
		return false
	}
	g.pollAll = g.stepTimes.Observe(bootTime(), r.Pass) || g.pollAll
	if r.Held < 0 && r.Armed == 0 {
		g.pendingReports = 0
		return true
	}
	if r.Held < 0 && r.Armed == g.version {
		// The pass of the last change has not begun yet.
		return false
	}
	// Reports are late, so that one may show what has just ended.
	if g.pendingReports++; g.pendingReports > maxPendingReports {
		g.current = nil
	}
	return false
}

// sampleLoads reads the counts of some ranks and returns what was chosen since their
// last reading, or nil. All ranks choose alike, since requests are spread over
// them; ranks of the same zone cost no traffic between zones.
func (g *group) sampleLoads(ctx context.Context, f *membership) chivemap.Loads {
	ctx, cancel := context.WithTimeout(ctx, rankReadTimeout)
	defer cancel()
	chosen := f.sampledMembers(g.balancer.Zone, g.idleRounds >= maxIdleRounds)
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
	sum := make([]float64, e.Layers*e.Experts)
	found := false
	for i, counts := range read {
		if len(counts.Chosen) != len(sum) {
			continue
		}
		before, ok := g.lastCounts[i]
		g.lastCounts[i] = *counts
		if ok && before.Epoch == counts.Epoch {
			found = addDeltas(sum, before.Chosen, counts.Chosen) || found
		}
	}
	if !found {
		g.idleRounds++
		return nil
	}
	if g.idleRounds < maxIdleRounds {
		g.idleRounds = 0
	}
	loads := make(chivemap.Loads, e.Layers)
	for l := range loads {
		loads[l] = sum[l*e.Experts : (l+1)*e.Experts]
	}
	return loads
}

// addDeltas adds what was chosen between two readings. It returns false where the
// rank has started anew or chose nothing.
func addDeltas(sum []float64, before, now []int64) bool {
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

// applyMap makes a map the one in use.
func (g *group) applyMap(ctx context.Context, f *membership, next *chivemap.Map, before, after float64) {
	layout := make([][][]int, len(next.Layers))
	for l := range layout {
		for k := range next.Ranks {
			layout[l] = append(layout[l], next.RankExperts(l, k))
		}
	}
	moves := g.current.Moves(next)
	began := time.Now()
	version, err := g.switcher.Switch(ctx, f.members, g.epoch, layout, f.engine.ExpertCopyTime)
	if err != nil {
		g.handleRankError("Map was not changed.", err)
		return
	}
	g.current, g.version = next, version
	g.balancer.Log.Info("Map is changed.", "group", g.name, "epoch", g.epoch, "version", version, "moves", moves,
		"skew", before, "forecast", after, "took", time.Since(began))
}
