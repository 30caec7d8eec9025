package chivebalance

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivelimit"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

const (
	// roundInterval is the pause between two rounds over all groups.
	roundInterval = 150 * time.Millisecond
	// rankReadTimeout bounds reading one rank, or several ranks in parallel.
	rankReadTimeout = 400 * time.Millisecond
	// maxParallelReads is the number of ranks whose experts are read at a time: a small
	// VM cannot read hundreds within rankReadTimeout.
	maxParallelReads = 16
	// maxIdleRounds is the number of rounds in a row without new counts after
	// which ranks of all zones are sampled: those of this zone are then assumed
	// to serve no requests.
	maxIdleRounds = 3
	// ranksPerPoll is the number of ranks whose reports are read in a round.
	ranksPerPoll = 6
	// fullPollInterval is the least time between two reads of the reports of all
	// ranks. These are read when passes have become slower.
	fullPollInterval = 800 * time.Millisecond
	// slowdownThreshold is the slowdown from which a rank counts as slow.
	slowdownThreshold = 1.3
	// minSampledRanks and maxSampledRanks bound the number of ranks whose counts
	// are read.
	minSampledRanks = 4
	maxSampledRanks = 12
	// maxNewExperts is the highest number of experts per layer that one change
	// copies to a rank. A change takes effect only after copying, so two small
	// changes help sooner than a large one.
	maxNewExperts = 1
	// maxCopyTime bounds the time for which a rank copies experts for one change,
	// unless a single expert or a pass takes longer.
	maxCopyTime = 200 * time.Millisecond
	// maxPendingReports is the number of reports in a row that may show a change
	// in progress although there is none, because reports are out of date.
	maxPendingReports = 2
	// maxAwaitedReports is the number of reports in a row without the pass of a change
	// after which all ranks are polled: one may hold the group by a late order.
	maxAwaitedReports = 10
	// urgentGain is the factor by which a change must shorten steps to be made with less
	// time for a takeover: each pass that it waits for costs callers as much again.
	urgentGain = 2
	// gainHorizonPasses is the number of forward passes over which the saved time
	// must exceed the cost of a change.
	gainHorizonPasses = 400
	// moveCostPasses is the cost of copying one expert, in forward passes.
	moveCostPasses = 0.25
)

// bootTime returns the time since the VM booted as a time.Time, for the lease
// keeper. It includes the time during which the VM was suspended.
func bootTime() time.Time {
	return time.Unix(0, int64(chiveclock.Now()))
}

// group holds the state of the leaseholder for one group.
type group struct {
	name       string
	balancer   *Balancer
	term       *leaseTerm
	switcher   *chiverank.Switcher
	forecaster chivemap.Forecaster

	// epoch is the epoch of the current map.
	epoch int64
	// current is the map in use, or nil while it is unknown and must be loaded.
	current *chivemap.Map
	// version is the version of the current map.
	version int64
	// idleRounds counts the rounds in a row in which no sampled rank had chosen an
	// expert. Once it has reached maxIdleRounds, ranks of all zones are sampled
	// until the map is loaded again.
	idleRounds int
	// incompleteReason is the reason that was logged last; it is empty if the group
	// was complete in the last round.
	incompleteReason string
	// pendingReports counts the reports in a row that show a change in progress.
	pendingReports int
	// slowdowns holds the last reported slowdown of each rank: its step time
	// relative to the other ranks, 1 if it is as fast as they are.
	slowdowns map[int]float64
	// lastPolled is the rank whose report was read last.
	lastPolled int
	// awaitedReports counts the reports in a row that show that the pass of the last change
	// has not begun yet, since all ranks were polled for that.
	awaitedReports int
	// heldPolls counts the polls in a row that found the group held although no change is
	// in progress.
	heldPolls int
	// stepTimes detects that passes have become slower.
	stepTimes chivelimit.StepTimeDetector
	// pollAll reports that all ranks are to be polled next, since passes have
	// become slower or no rank was polled yet.
	pollAll bool
	// lastFullPoll is the time at which all ranks were polled last.
	lastFullPoll time.Time
	// lastCounts holds the last counts read from each rank.
	lastCounts map[int]chiverank.ExpertCounts
}

func newGroup(name string, b *Balancer, term *leaseTerm) *group {
	tokenSeq := b.tokenSeqs[name]
	if tokenSeq == nil {
		tokenSeq = new(int64)
		b.tokenSeqs[name] = tokenSeq
	}
	g := &group{
		name: name, balancer: b, term: term, slowdowns: map[int]float64{}, lastCounts: map[int]chiverank.ExpertCounts{},
	}
	g.switcher = &chiverank.Switcher{
		Ranks: b.Engine, Lease: term, Log: b.Log, Group: name, TokenSeq: tokenSeq, CurrentLayout: g.readLayout,
		Watch: g.watch, OnHeld: term.tellRound, KnownRound: b.KnownRound, SincePulse: b.SincePulse, OnTakeover: b.OnTakeover,
	}
	return g
}

// watch makes successors notice when this process is suspended while the group is held.
func (g *group) watch() (end func(released bool)) {
	start := g.balancer.Clock.Now()
	stop := g.term.watch()
	return func(released bool) {
		stop(released)
		if g.balancer.OnHold != nil {
			g.balancer.OnHold(g.balancer.Clock.Since(start))
		}
	}
}

// handleRankError logs a failed change or recovery and marks the map as unknown,
// so that it is loaded again. If a rank has seen a newer fencing token, the lease
// term ends.
func (g *group) handleRankError(text string, err error) {
	g.balancer.Log.Warn(text, "group", g.name, "error", err)
	g.current = nil
	if errors.Is(err, chiverank.ErrFenced) {
		g.term.fenced.Store(true)
	}
}

// round loads the map of the group if it is unknown, or of another shape than the configuration and
// the ranks now have: loads and counts are read by that shape. Otherwise it reads the
// slowdowns and counts of ranks and changes the map if the gain is worth its cost.
func (g *group) round(ctx context.Context, ms *membership) {
	if ms.incompleteReason != "" {
		if g.incompleteReason != ms.incompleteReason {
			g.balancer.Log.Info("Group is incomplete, leaving its map unchanged.", "group", g.name, "epoch", ms.epoch,
				"known", len(ms.members), "size", ms.size, "why", ms.incompleteReason)
		}
		g.current, g.incompleteReason = nil, ms.incompleteReason
		return
	}
	g.incompleteReason = ""
	if g.current == nil || g.epoch != ms.epoch || g.current.Shape() != ms.shape() {
		g.loadMap(ctx, ms)
		// A group that was formed anew has map 0. The demand of before serves until its
		// requests have been counted.
		if demand := g.balancer.demand.get(g.name, ms.engine.Layers, ms.engine.Experts); g.current != nil && demand != nil {
			g.improveMap(ctx, ms, demand)
		}
		return
	}
	settled := g.checkSettled(ctx, ms)
	// A rank that has become slow or holds the group by a late order delays the pass of a
	// change that is in progress, and must be known all the same.
	if settled || g.current != nil && (g.pollAll || g.awaitedReports > 0) {
		g.pollSlowdowns(ctx, ms)
	}
	if !settled || g.current == nil {
		return
	}
	loads := g.sampleLoads(ctx, ms)
	if loads == nil {
		return
	}
	forecast := g.forecaster.Observe(loads)
	g.balancer.demand.set(g.name, forecast)
	g.improveMap(ctx, ms, forecast)
}

// improveMap changes the map if the gain under the forecast demand is worth its cost.
func (g *group) improveMap(ctx context.Context, ms *membership, forecast chivemap.Loads) {
	passTime := g.passTime(ms)
	thresholds := chivemap.ThresholdsFor(passTime, ms.maxPause)
	planner := chivemap.Planner{
		Tolerance: thresholds.Tolerance, MaxNewExperts: min(maxNewExperts, ms.engine.MaxNewExperts),
		MaxCopies: maxCopies(ms.engine.ExpertCopyTime, g.stepTimes.StepTime()), Horizon: gainHorizonPasses, MoveCost: moveCostPasses,
		Slowdowns: g.rankSlowdowns(len(ms.members)),
	}
	next := planner.Plan(g.current, forecast)
	if next == nil {
		return
	}
	before, after := planner.RelativeStepTime(g.current, forecast), planner.RelativeStepTime(next, forecast)
	if after > before*(1-thresholds.MinGain) && planner.MisplacedExperts(next) >= planner.MisplacedExperts(g.current) {
		return
	}
	if chivemap.Postpone(passTime, ms.maxPause, 1-after/before) {
		g.balancer.Log.Debug("Change of the expert map waits, copies would break pauses.", "group", g.name, "pass", passTime, "skew", before, "forecast", after)
		return
	}
	g.applyMap(ctx, ms, next, before, after)
}

// passTime returns the duration of recent passes: the pauses of streams through this entry VM,
// which include the longest passes, or else the mean time between the passes of rank 0.
func (g *group) passTime(ms *membership) time.Duration {
	if g.balancer.RecentPause != nil {
		if p := g.balancer.RecentPause(ms.service); p > 0 {
			return p
		}
	}
	return g.stepTimes.MeanStepTime()
}

// loadMap rolls back a change that an earlier leaseholder left unfinished. Once
// the group is settled, it reads the experts that the ranks hold.
func (g *group) loadMap(ctx context.Context, ms *membership) {
	settled, reports, err := g.switcher.Recover(ctx, ms.members)
	if err != nil {
		g.handleRankError("Cannot recover the group from an unfinished map change.", err)
		return
	}
	if !settled {
		return
	}
	m, err := g.readMap(ctx, ms, reports[0].Map)
	if err != nil {
		g.balancer.Log.Warn("Cannot read the expert map in use.", "group", g.name, "error", err)
		return
	}
	g.current, g.epoch, g.version = m, reports[0].Epoch, reports[0].Map
	g.pendingReports, g.awaitedReports = 0, 0
	g.slowdowns, g.stepTimes, g.pollAll = map[int]float64{}, chivelimit.StepTimeDetector{}, true
	g.idleRounds = 0
	g.lastCounts, g.forecaster = map[int]chiverank.ExpertCounts{}, chivemap.Forecaster{}
	g.balancer.Log.Info("Loaded the expert map of the group.", "group", g.name, "epoch", g.epoch, "version", reports[0].Map)
}

// readMap returns the map of a version, which the ranks use. Version 0 means that no map was set
// yet: experts are then assigned round-robin.
func (g *group) readMap(ctx context.Context, ms *membership, version int64) (*chivemap.Map, error) {
	if version == 0 {
		return chivemap.NewRoundRobin(ms.shape())
	}
	layout, err := g.readLayout(ctx, ms.members)
	if err != nil {
		return nil, err
	}
	return chivemap.NewFromLayout(ms.shape(), layout)
}

// readLayout reads the experts that every rank holds, per layer and rank.
func (g *group) readLayout(ctx context.Context, members []chiverank.Member) ([][][]int, error) {
	held := make([]chiverank.HeldExperts, len(members))
	failures := make([]error, len(members))
	var readers sync.WaitGroup
	slots := make(chan struct{}, maxParallelReads)
	for i, m := range members {
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, rankReadTimeout)
			defer cancel()
			failures[i] = chiveguard.Call("reading of experts", func() (err error) {
				held[i], err = g.balancer.Engine.Experts(ctx, m)
				return err
			})
		})
	}
	readers.Wait()
	layout := make([][][]int, len(held[0].Experts))
	for i, h := range held {
		if failures[i] != nil {
			return nil, fmt.Errorf("experts of rank %d: %w", members[i].Rank, failures[i])
		}
		if len(h.Experts) != len(layout) || h.Version != held[0].Version {
			return nil, fmt.Errorf("rank %d has %d layers of version %d, rank %d has %d of version %d",
				members[i].Rank, len(h.Experts), h.Version, members[0].Rank, len(layout), held[0].Version)
		}
		for l, experts := range h.Experts {
			layout[l] = append(layout[l], experts)
		}
	}
	return layout, nil
}

// maxCopies returns the number of experts that a rank may copy for one change, 0 for
// no limit. A change waits for a pass to end in any case, so that copying may take as
// long as a pass.
func maxCopies(expertCopyTime, passTime time.Duration) int {
	if expertCopyTime <= 0 {
		return 0
	}
	return max(1, int(max(maxCopyTime, passTime)/expertCopyTime))
}

// rankSlowdowns returns the slowdown of every rank, at least 1, or nil if no rank is
// slow.
func (g *group) rankSlowdowns(ranks int) []float64 {
	anySlow := false
	list := make([]float64, ranks)
	for k := range list {
		list[k] = max(1, g.slowdowns[k])
		anySlow = anySlow || list[k] >= slowdownThreshold
	}
	if !anySlow {
		return nil
	}
	return list
}

// pollSlowdowns reads the slowdowns of the next ranksPerPoll ranks, or of all ranks
// when one may have become slow. It passes those of slow runners to ReportSlow.
func (g *group) pollSlowdowns(ctx context.Context, ms *membership) {
	ctx, cancel := context.WithTimeout(ctx, rankReadTimeout)
	defer cancel()
	var (
		readers sync.WaitGroup
		mu      sync.Mutex
	)
	var held []int
	count := min(ranksPerPoll, len(ms.members))
	if g.pollAll && time.Since(g.lastFullPoll) > fullPollInterval {
		count, g.pollAll, g.lastFullPoll = len(ms.members), false, time.Now()
	}
	for range count {
		g.lastPolled = (g.lastPolled + 1) % len(ms.members)
		m := ms.members[g.lastPolled]
		chiveguard.Go(&readers, g.balancer.Log, "reading of a report", func() {
			r, err := g.balancer.Engine.Report(ctx, m)
			if err != nil {
				g.balancer.Log.Debug("Cannot read the report of a rank.", "group", g.name, "rank", m.Rank, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if last := g.slowdowns[m.Rank]; r.Pace >= slowdownThreshold != (last >= slowdownThreshold) {
				g.balancer.Log.Info("Rank became slow or is no longer slow.", "group", g.name, "rank", m.Rank, "runner", m.ID, "pace", r.Pace)
			}
			g.slowdowns[m.Rank] = r.Pace
			if r.Held >= 0 {
				held = append(held, m.Rank)
			}
		})
	}
	readers.Wait()
	g.checkHeld(held, len(ms.members))
	slow := map[string]float64{}
	for _, m := range ms.members {
		if g.slowdowns[m.Rank] >= slowdownThreshold {
			slow[m.ID] = g.slowdowns[m.Rank]
		}
	}
	g.balancer.ReportSlow(g.name, slow)
}

// checkHeld marks the map as unknown, so that the next round loads it and releases the group,
// when one of the polled ranks keeps holding it: an order to hold that was carried out late. It
// has the rank polled again next, since its report may be out of date.
func (g *group) checkHeld(held []int, ranks int) {
	if len(held) == 0 {
		g.heldPolls = 0
		return
	}
	g.lastPolled = (held[0] + ranks - 1) % ranks
	if g.heldPolls++; g.heldPolls > maxPendingReports {
		g.current, g.heldPolls = nil, 0
	}
}

// checkSettled reads the report of rank 0 and reports whether no change is in
// progress. A change that stays in progress comes from a delayed order of an
// earlier leaseholder; the map is then marked as unknown, so that loadMap rolls
// the change back. The report also updates stepTimes.
func (g *group) checkSettled(ctx context.Context, ms *membership) bool {
	ctx, cancel := context.WithTimeout(ctx, rankReadTimeout)
	defer cancel()
	r, err := g.balancer.Engine.Report(ctx, ms.members[0])
	if err != nil {
		g.balancer.Log.Debug("Cannot read the report of rank 0.", "group", g.name, "error", err)
		return false
	}
	if r.Epoch != g.epoch || !r.Open {
		g.current = nil
		return false
	}
	g.pollAll = g.stepTimes.Observe(bootTime(), r.Pass) || g.pollAll
	awaited := g.awaitedReports
	g.awaitedReports = 0
	if r.Held < 0 && r.Armed == 0 {
		g.pendingReports = 0
		return true
	}
	if r.Held < 0 && r.Armed == g.version {
		// The pass of the last change has not begun yet.
		if g.awaitedReports = awaited + 1; g.awaitedReports > maxAwaitedReports {
			g.pollAll, g.awaitedReports = true, 1
		}
		return false
	}
	// Reports are out of date, so one may still show a change that has just ended.
	if g.pendingReports++; g.pendingReports > maxPendingReports {
		g.current = nil
	}
	return false
}

// sampleLoads reads the counts of some ranks and returns how often each expert was
// chosen since they were read last, or nil if there are no new counts. A sample is
// enough, since requests are spread over all ranks, whose choices of experts are
// therefore alike; reading ranks of the same zone causes no traffic between zones.
func (g *group) sampleLoads(ctx context.Context, ms *membership) chivemap.Loads {
	ctx, cancel := context.WithTimeout(ctx, rankReadTimeout)
	defer cancel()
	sampled := ms.sampledMembers(g.balancer.Zone, g.idleRounds >= maxIdleRounds)
	countsByRank := make(map[int]*chiverank.ExpertCounts, len(sampled))
	var (
		readers sync.WaitGroup
		mu      sync.Mutex
	)
	for _, m := range sampled {
		chiveguard.Go(&readers, g.balancer.Log, "reading of counts", func() {
			counts, err := g.balancer.Engine.Counts(ctx, m)
			if err != nil {
				g.balancer.Log.Debug("Cannot read the expert counts of a rank.", "group", g.name, "rank", m.Rank, "error", err)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			countsByRank[m.Rank] = &counts
		})
	}
	readers.Wait()
	e := ms.engine
	sum := make([]float64, e.Layers*e.Experts)
	anyChosen := false
	for k, counts := range countsByRank {
		if len(counts.Chosen) != len(sum) {
			continue
		}
		before, ok := g.lastCounts[k]
		g.lastCounts[k] = *counts
		if ok && before.Epoch == counts.Epoch {
			anyChosen = addDeltas(sum, before.Chosen, counts.Chosen) || anyChosen
		}
	}
	if !anyChosen {
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

// addDeltas adds the differences between two readings of the counts of a rank to
// sum. It reports whether any count increased. If a count decreased, the rank has
// restarted; addDeltas then adds nothing and returns false, as for readings of different lengths.
func addDeltas(sum []float64, before, after []int64) bool {
	if len(before) != len(after) || len(after) != len(sum) {
		return false
	}
	increased := false
	for i := range after {
		if after[i] < before[i] {
			return false
		}
		increased = increased || after[i] > before[i]
	}
	for i := range after {
		sum[i] += float64(after[i] - before[i])
	}
	return increased
}

// applyMap makes all ranks switch to a map. before and after are the forecast
// relative step times under the current and the next map, for the log.
func (g *group) applyMap(ctx context.Context, ms *membership, next *chivemap.Map, before, after float64) {
	moves := g.current.Moves(next)
	start := time.Now()
	urgent := before >= urgentGain*after
	version, err := g.switcher.Switch(ctx, ms.members, g.epoch, next.Layout(), ms.engine.ExpertCopyTime, g.stepTimes.StepTime(), urgent)
	if err != nil {
		g.handleRankError("Expert map could not be changed.", err)
		return
	}
	g.current, g.version = next, version
	g.balancer.Log.Info("Expert map changed.", "group", g.name, "epoch", g.epoch, "version", version, "moves", moves,
		"skew", before, "forecast", after, "took", time.Since(start))
}
