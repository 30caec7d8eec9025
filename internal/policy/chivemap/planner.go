package chivemap

import (
	"cmp"
	"slices"
)

// Planner computes the next map of a group from its present map and loads. Its
// zero value uses the defaults.
type Planner struct {
	// Tolerance is how far the time of the slowest rank may stay above its lower
	// bound, as a fraction of the bound; 0 means 0.03.
	Tolerance float64
	// MaxMoves limits the slots that one plan changes in a layer; 0 means no
	// limit. A final swap of two slots may exceed it by one.
	MaxMoves int
	// MaxNewExperts limits the experts that one plan adds to a rank in a layer; 0
	// means no limit.
	MaxNewExperts int
	// MaxCopies limits the experts that one plan adds to a rank in all layers
	// together; 0 means no limit. A rank copies one expert after the other, so this
	// bounds the time until the plan can take effect.
	MaxCopies int
	// Slowdowns holds the relative step time of each rank, where 1 is a rank that
	// is as fast as the others; nil means that all ranks are equally fast.
	Slowdowns []float64
	// MoveCost is the cost of changing one slot, in forward passes; 0 means 0.02.
	MoveCost float64
	// Horizon is the number of forward passes over which the gain of a plan is
	// weighed against its cost; 0 means 2000.
	Horizon float64
}

// Defaults of the Planner fields with the same names.
const (
	defaultTolerance = 0.03
	defaultMoveCost  = 0.02
	defaultHorizon   = 2000
)

// minRelativeGain is the least gain of a change, as a fraction of the squared
// target time. With a smaller one, rounding errors move slots back and forth
// without end.
const minRelativeGain = 1e-7

// candidateRanks is the number of ranks, fastest first, whose slots the search
// considers for a change with the slowest rank.
const candidateRanks = 6

// candidateExperts is the number of replicated experts whose slots the search
// considers as well.
const candidateExperts = 3

// Plan returns the next map for the loads, or nil to keep the present one, also if the loads
// fail Check for the shape of the map or the slowdowns are not those of its ranks. A layer
// changes only if the step time saved over the horizon exceeds the cost of
// its moves or a slow rank is vacated, and by as few slots as bring it near the lower
// bound.
func (p Planner) Plan(now *Map, loads Loads) *Map {
	if loads.Check(now.Shape()) != nil || p.Slowdowns != nil && len(p.Slowdowns) != now.Ranks {
		return nil
	}
	next := &Map{Ranks: now.Ranks, Slots: now.Slots, Experts: now.Experts, Layers: slices.Clone(now.Layers)}
	changed := false
	copies := make([]int, now.Ranks)
	for _, i := range layersBySkew(now, loads) {
		if improved := p.planLayer(now, i, loads[i], copies); improved != nil {
			next.Layers[i] = improved
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return next
}

// layersBySkew returns the indices of all layers, the most skewed first.
func layersBySkew(m *Map, loads Loads) []int {
	skews := make([]float64, len(m.Layers))
	order := make([]int, len(m.Layers))
	for i := range m.Layers {
		skews[i], order[i] = m.Skew(i, loads[i]), i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(skews[b], skews[a]) })
	return order
}

// planLayer returns the next placement of layer i, or nil to keep it. copies holds
// the experts that the plan adds to each rank in other layers; those of this layer
// are added to it.
func (p Planner) planLayer(now *Map, i int, loads []float64, copies []int) []uint16 {
	s := newLayerSearch(now, now.Layers[i], loads)
	s.maxNewExperts, s.maxCopies, s.copies = p.MaxNewExperts, p.MaxCopies, copies
	if s.totalLoad == 0 {
		return nil
	}
	s.slowdowns = p.Slowdowns
	target := p.lowerBound(now, loads) * (1 + orDefault(p.Tolerance, defaultTolerance))
	before := s.maxTime()
	vacated := s.vacate(p.vacatedRanks(now))
	moves := vacated + s.improve(target, p.MaxMoves)
	if moves == 0 {
		return nil
	}
	layers := float64(len(now.Layers))
	gain := (before - s.maxTime()) / (s.totalLoad / float64(now.Ranks)) / layers * orDefault(p.Horizon, defaultHorizon)
	if vacated == 0 && gain <= float64(moves)*orDefault(p.MoveCost, defaultMoveCost) {
		return nil
	}
	for k, n := range s.newExperts {
		copies[k] += n
	}
	return s.layer
}

// lowerBound estimates the shortest time of the slowest rank that a map can
// reach in a layer, in the unit of the loads.
func (p Planner) lowerBound(now *Map, loads []float64) float64 {
	bound := LowerBound(now.Ranks, now.Slots, loads)
	if p.Slowdowns == nil {
		return bound
	}
	var sum, speed float64
	for _, l := range loads {
		sum += l
	}
	for _, slowdown := range p.Slowdowns {
		speed += 1 / max(1, slowdown)
	}
	return max(bound, sum/speed)
}

// RelativeStepTime returns the step time of a map relative to that of a balanced
// map on equally fast ranks, as the mean over all layers. It takes the slowdowns
// of the ranks into account.
func (p Planner) RelativeStepTime(m *Map, loads Loads) float64 {
	if p.Slowdowns == nil {
		return m.StepSkew(loads)
	}
	var mean float64
	for i, layer := range m.Layers {
		var sum, maxTime float64
		for k, l := range rankLoads(layer, m.Ranks, m.Slots, loads[i]) {
			sum += l
			maxTime = max(maxTime, l*p.Slowdowns[k])
		}
		if sum > 0 {
			mean += maxTime * float64(m.Ranks) / sum / float64(len(m.Layers))
		}
	}
	return mean
}

func orDefault(v, standard float64) float64 {
	if v == 0 {
		return standard
	}
	return v
}

// layerSearch improves the placement of one layer by a greedy local search. The
// time of a rank is its load multiplied by its slowdown.
type layerSearch struct {
	ranks, slots int
	layer        []uint16
	loads        []float64
	// replicas holds the number of replicas of each expert.
	replicas []int
	// rankLoads holds the load of each rank.
	rankLoads []float64
	totalLoad float64
	// targetTime is the time of the slowest rank at which the search ends.
	targetTime float64
	// slowdowns holds the relative step time of each rank, or is nil if all are
	// equally fast.
	slowdowns []float64
	// vacated reports for each rank whether it is to hold no experts.
	vacated []bool
	// original is the layer before the search.
	original []uint16
	// maxNewExperts limits the experts added to a rank, which newExperts counts;
	// 0 means no limit.
	maxNewExperts int
	newExperts    []int
	// maxCopies limits the experts added to a rank in all layers; 0 means no limit.
	// copies counts those of other layers.
	maxCopies int
	copies    []int
	// slotsOf holds the slots of each expert.
	slotsOf [][]int
	// fastest and lightest are the results of fastestRanks and lightestExperts,
	// reused to avoid allocations.
	fastest, lightest []int
}

func newLayerSearch(m *Map, layer []uint16, loads []float64) *layerSearch {
	s := &layerSearch{
		ranks: m.Ranks, slots: m.Slots, layer: append([]uint16(nil), layer...), loads: loads,
		replicas: make([]int, m.Experts), slotsOf: make([][]int, m.Experts), original: layer, newExperts: make([]int, m.Ranks),
	}
	for i, e := range layer {
		if e == EmptySlot {
			continue
		}
		s.replicas[e]++
		s.slotsOf[e] = append(s.slotsOf[e], i)
	}
	s.rankLoads = rankLoads(layer, m.Ranks, m.Slots, loads)
	for _, l := range loads {
		s.totalLoad += l
	}
	return s
}

// maxTime returns the time of the slowest rank.
func (s *layerSearch) maxTime() float64 {
	slowest := s.slowestRank()
	return s.time(slowest, s.rankLoads[slowest])
}

// time returns the time that a rank takes for a load, in the unit of the loads.
func (s *layerSearch) time(rank int, load float64) float64 {
	if s.slowdowns == nil {
		return load
	}
	return load * s.slowdowns[rank]
}

func (s *layerSearch) slowestRank() int {
	slowest := 0
	for k, l := range s.rankLoads {
		if s.time(k, l) > s.time(slowest, s.rankLoads[slowest]) {
			slowest = k
		}
	}
	return slowest
}

// replicaLoad returns the load of one replica of an expert, 0 for EmptySlot.
func (s *layerSearch) replicaLoad(e uint16) float64 {
	if e == EmptySlot {
		return 0
	}
	return s.loads[e] / float64(s.replicas[e])
}

// improve changes slots until the slowest rank reaches the target time, no
// change helps or maxMoves slots have changed. It returns the number of changed
// slots. A swap changes two, so the number may exceed maxMoves by one.
func (s *layerSearch) improve(target float64, maxMoves int) int {
	s.targetTime = target
	moves := 0
	for maxMoves == 0 || moves < maxMoves {
		slowest := s.slowestRank()
		if s.time(slowest, s.rankLoads[slowest]) <= target {
			break
		}
		c := s.bestChange(slowest)
		if c.gain <= minRelativeGain*target*target {
			break
		}
		moves += s.apply(c)
	}
	return moves
}

// slotChange copies the expert of slot from into slot to. If swap is set, slot
// from gets the expert of slot to in exchange.
type slotChange struct {
	from, to int
	swap     bool
	// gain is the decrease of the total penalty per changed slot.
	gain float64
}

// bestChange returns the change with the highest gain between the slowest rank
// and the candidate slots: those of the fastest ranks, and those of the experts
// that are lightest after losing a replica. Its gain is 0 if no change helps.
func (s *layerSearch) bestChange(slowest int) slotChange {
	var best slotChange
	for _, k := range s.fastestRanks() {
		for to := k * s.slots; to < (k+1)*s.slots; to++ {
			s.considerSlot(&best, slowest, to)
		}
	}
	for _, e := range s.lightestExperts() {
		for _, to := range s.slotsOf[e] {
			s.considerSlot(&best, slowest, to)
		}
	}
	return best
}

// considerSlot updates best with the changes between the slowest rank and slot
// to.
func (s *layerSearch) considerSlot(best *slotChange, slowest, to int) {
	if to/s.slots == slowest || s.vacated[to/s.slots] {
		return
	}
	for from := slowest * s.slots; from < (slowest+1)*s.slots; from++ {
		if s.layer[to] == s.layer[from] || s.layer[from] == EmptySlot || !s.mayAdd(to/s.slots, s.layer[from]) {
			continue
		}
		s.consider(best, slotChange{from: from, to: to})
		s.consider(best, slotChange{from: from, to: to, swap: true})
	}
}

// mayAdd reports whether a rank may get an expert within the limit on new
// experts.
func (s *layerSearch) mayAdd(rank int, e uint16) bool {
	return !s.full(rank) || s.heldOriginally(rank, e)
}

// full reports whether a rank has reached a limit on new experts or is vacated.
func (s *layerSearch) full(rank int) bool {
	return s.vacated[rank] || s.maxNewExperts != 0 && s.newExperts[rank] >= s.maxNewExperts ||
		s.maxCopies != 0 && s.copies[rank]+s.newExperts[rank] >= s.maxCopies
}

// heldOriginally reports whether a rank held an expert before the search. It is
// true for EmptySlot, which needs no weights.
func (s *layerSearch) heldOriginally(rank int, e uint16) bool {
	return e == EmptySlot || contains(s.original[rank*s.slots:(rank+1)*s.slots], e)
}

// lightestExperts returns up to candidateExperts experts with at least two
// replicas, in order of the load per replica that they would have with one
// replica less.
func (s *layerSearch) lightestExperts() []int {
	s.lightest = s.lightest[:0]
	for e, n := range s.replicas {
		if n < 2 {
			continue
		}
		s.lightest = insertSorted(s.lightest, e, candidateExperts, func(o int) bool {
			return s.loads[e]/float64(n-1) < s.loads[o]/float64(s.replicas[o]-1)
		})
	}
	return s.lightest
}

// fastestRanks returns up to candidateRanks ranks with the shortest times,
// shortest first.
func (s *layerSearch) fastestRanks() []int {
	s.fastest = s.fastest[:0]
	for k, l := range s.rankLoads {
		if s.full(k) {
			continue
		}
		s.fastest = insertSorted(s.fastest, k, candidateRanks, func(o int) bool { return s.time(k, l) < s.time(o, s.rankLoads[o]) })
	}
	return s.fastest
}

// insertSorted inserts x into a sorted list and drops what exceeds n elements.
// The function before reports whether x sorts before another element.
func insertSorted(list []int, x, n int, before func(other int) bool) []int {
	at := len(list)
	for at > 0 && before(list[at-1]) {
		at--
	}
	if at == n {
		return list
	}
	if len(list) < n {
		list = append(list, 0)
	}
	copy(list[at+1:], list[at:])
	list[at] = x
	return list
}

// consider replaces best with c if c has a higher gain.
func (s *layerSearch) consider(best *slotChange, c slotChange) {
	if c.swap {
		c.gain = s.swapGain(c) / 2
	} else {
		c.gain = s.copyGain(c)
	}
	if c.gain > best.gain {
		*best = c
	}
}

// penalty returns the square of a rank's time above the target. Ranks below the
// target have no penalty, since the slowest rank alone decides the step time.
func (s *layerSearch) penalty(rank int, load float64) float64 {
	above := max(0, s.time(rank, load)-s.targetTime)
	return above * above
}

// swapGain returns the decrease of the total penalty if two slots exchange their
// experts, or 0 if they may not.
func (s *layerSearch) swapGain(c slotChange) float64 {
	a, b := s.layer[c.from], s.layer[c.to]
	i, j := c.from/s.slots, c.to/s.slots
	if s.holds(j, a) || b != EmptySlot && s.holds(i, b) || !s.mayAdd(i, b) {
		return 0
	}
	d := s.replicaLoad(a) - s.replicaLoad(b)
	if d <= 0 {
		return 0
	}
	return s.penalty(i, s.rankLoads[i]) + s.penalty(j, s.rankLoads[j]) - s.penalty(i, s.rankLoads[i]-d) - s.penalty(j, s.rankLoads[j]+d)
}

// copyGain returns the decrease of the total penalty if the expert of slot from
// gets another replica in place of the expert in slot to. It returns 0 if slot
// to holds the last replica of its expert or if its rank holds the copied
// expert.
func (s *layerSearch) copyGain(c slotChange) float64 {
	a, b := s.layer[c.from], s.layer[c.to]
	if b != EmptySlot && s.replicas[b] < 2 || s.holds(c.to/s.slots, a) {
		return 0
	}
	newLoad := s.loads[a] / float64(s.replicas[a]+1)
	var gain float64
	for _, slot := range s.slotsOf[a] {
		rank := slot / s.slots
		l := s.rankLoads[rank]
		gain += s.penalty(rank, l) - s.penalty(rank, l-s.replicaLoad(a)+newLoad)
	}
	if b != EmptySlot {
		gain -= s.removalPenalty(b, c.to)
	}
	rank := c.to / s.slots
	l := s.rankLoads[rank]
	return gain + s.penalty(rank, l) - s.penalty(rank, l-s.replicaLoad(b)+newLoad)
}

// removalPenalty returns the increase of the penalty of the other ranks that
// hold an expert if its replica in the removed slot is dropped.
func (s *layerSearch) removalPenalty(e uint16, removed int) float64 {
	newLoad := s.loads[e] / float64(s.replicas[e]-1)
	var increase float64
	for _, slot := range s.slotsOf[e] {
		if slot == removed {
			continue
		}
		rank := slot / s.slots
		l := s.rankLoads[rank]
		increase += s.penalty(rank, l-s.replicaLoad(e)+newLoad) - s.penalty(rank, l)
	}
	return increase
}

// holds reports whether a rank holds an expert now.
func (s *layerSearch) holds(rank int, e uint16) bool {
	return contains(s.layer[rank*s.slots:(rank+1)*s.slots], e)
}

// apply makes a change and returns the number of slots that it changed.
func (s *layerSearch) apply(c slotChange) int {
	a, b := s.layer[c.from], s.layer[c.to]
	s.addLoad(a, -1)
	s.addLoad(b, -1)
	s.assign(c.to, a)
	moves := 1
	if c.swap {
		s.assign(c.from, b)
		moves = 2
	}
	s.addLoad(a, 1)
	s.addLoad(b, 1)
	return moves
}

// addLoad adds an expert's load to the ranks that hold it, or subtracts it if
// sign is -1.
func (s *layerSearch) addLoad(e uint16, sign float64) {
	if e == EmptySlot {
		return
	}
	delta := sign * s.replicaLoad(e)
	for _, slot := range s.slotsOf[e] {
		s.rankLoads[slot/s.slots] += delta
	}
}

// assign puts an expert, or EmptySlot, in place of the one in a slot. It doesn't
// update the loads of the ranks.
func (s *layerSearch) assign(slot int, e uint16) {
	old, rank := s.layer[slot], slot/s.slots
	if !s.heldOriginally(rank, old) {
		s.newExperts[rank]--
	}
	if !s.heldOriginally(rank, e) {
		s.newExperts[rank]++
	}
	if old != EmptySlot {
		s.replicas[old]--
		s.removeSlot(old, slot)
	}
	if e != EmptySlot {
		s.replicas[e]++
		s.slotsOf[e] = append(s.slotsOf[e], slot)
	}
	s.layer[slot] = e
}

// removeSlot removes a slot from those of an expert.
func (s *layerSearch) removeSlot(e uint16, slot int) {
	for i, w := range s.slotsOf[e] {
		if w == slot {
			s.slotsOf[e] = append(s.slotsOf[e][:i], s.slotsOf[e][i+1:]...)
			return
		}
	}
}
