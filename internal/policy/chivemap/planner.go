package chivemap

// A Planner decides on the next map of a group. Its zero value uses the
// defaults.
type Planner struct {
	// Tolerance is how far above the bound the hottest rank may stay, as a part
	// of the bound; 0 means 0.03.
	Tolerance float64
	// MaxMoves bounds the slots that change in one layer of one plan; 0 sets no
	// bound.
	MaxMoves int
	// MaxNewExperts bounds the experts of one layer that one plan brings to a rank; 0
	// sets no bound.
	MaxNewExperts int
	// Slowdowns holds how much slower than others each rank is; nil means that all
	// are alike.
	Slowdowns []float64
	// MoveCost is what one changed slot costs, in steps that it delays; 0 means
	// 0.02.
	MoveCost float64
	// Horizon is the number of steps over which a gain counts; 0 means 2000.
	Horizon float64
}

// The defaults of a Planner.
const (
	defaultTolerance = 0.03
	defaultMoveCost  = 0.02
	defaultHorizon   = 2000
)

// minGain is the least gain of a change, as a part of the square of the target;
// less would let rounding errors move slots back and forth.
const minGain = 1e-7

// coolRanks is the number of ranks that the search looks at beside the hottest.
const coolRanks = 6

// lightExperts is the number of experts whose slots it looks at besides.
const lightExperts = 3

// Plan returns the next map for the loads, or nil where the present map is to be
// kept: the gain in step time over the horizon must be more than the cost of the
// moves. Each layer changes by as few slots as bring it near the bound, and a
// layer whose own gain is less than its cost does not change.
func (p Planner) Plan(now *Map, loads Loads) *Map {
	next := &Map{Ranks: now.Ranks, Slots: now.Slots, Experts: now.Experts}
	changed := false
	for i, layer := range now.Layers {
		improved := p.planLayer(now, i, loads[i])
		if improved == nil {
			next.Layers = append(next.Layers, layer)
			continue
		}
		next.Layers = append(next.Layers, improved)
		changed = true
	}
	if !changed {
		return nil
	}
	return next
}

// planLayer returns the next placement of a layer, or nil to keep it.
func (p Planner) planLayer(now *Map, i int, loads []float64) []uint16 {
	s := newSearch(now, now.Layers[i], loads)
	s.maxNew = p.MaxNewExperts
	if s.total == 0 {
		return nil
	}
	s.paces = p.Slowdowns
	target := p.bound(now, loads) * (1 + or(p.Tolerance, defaultTolerance))
	before := s.most()
	moves := s.improve(target, p.MaxMoves)
	if moves == 0 {
		return nil
	}
	layers := float64(len(now.Layers))
	gain := (before - s.most()) / (s.total / float64(now.Ranks)) / layers * or(p.Horizon, defaultHorizon)
	if gain <= float64(moves)*or(p.MoveCost, defaultMoveCost) {
		return nil
	}
	return s.layer
}

// bound returns the least time of the slowest rank that a map can reach, about.
func (p Planner) bound(now *Map, loads []float64) float64 {
	least := LowerBound(now.Ranks, now.Slots, loads)
	if p.Slowdowns == nil {
		return least
	}
	var sum, speed float64
	for _, l := range loads {
		sum += l
	}
	for _, pace := range p.Slowdowns {
		speed += 1 / max(1, pace)
	}
	return max(least, sum/speed)
}

// RelativeStepTime returns the step time of a map in relation to that of a map in balance on
// ranks of equal pace, as the mean over all layers.
func (p Planner) RelativeStepTime(m *Map, loads Loads) float64 {
	if p.Slowdowns == nil {
		return m.StepSkew(loads)
	}
	var mean float64
	for i, layer := range m.Layers {
		var sum, most float64
		for k, l := range rankLoads(layer, m.Ranks, m.Slots, loads[i]) {
			sum += l
			most = max(most, l*p.Slowdowns[k])
		}
		if sum > 0 {
			mean += most * float64(m.Ranks) / sum / float64(len(m.Layers))
		}
	}
	return mean
}

func or(v, standard float64) float64 {
	if v == 0 {
		return standard
	}
	return v
}

// search is a placement of one layer that is improved slot by slot.
type search struct {
	ranks, slots int
	layer        []uint16
	loads        []float64
	counts       []int
	sums         []float64
	total        float64
	target       float64
	// paces holds how much slower than others each rank is, or is nil.
	paces []float64
	// before is the layer that the search began with.
	before []uint16
	// maxNew bounds the experts that a rank gets, fresh counts them.
	maxNew int
	fresh  []int
	// where holds the slots of each expert.
	where [][]int
	// cool and light are the results of coolest and lightest, kept to spare
	// allocations.
	cool, light []int
}

func newSearch(m *Map, layer []uint16, loads []float64) *search {
	s := &search{
		ranks: m.Ranks, slots: m.Slots, layer: append([]uint16(nil), layer...), loads: loads,
		counts: make([]int, m.Experts), where: make([][]int, m.Experts), before: layer, fresh: make([]int, m.Ranks),
	}
	for i, e := range layer {
		if e == EmptySlot {
			continue
		}
		s.counts[e]++
		s.where[e] = append(s.where[e], i)
	}
	s.sums = rankLoads(layer, m.Ranks, m.Slots, loads)
	for _, l := range loads {
		s.total += l
	}
	return s
}

func (s *search) most() float64 {
	hot := s.hottest()
	return s.time(hot, s.sums[hot])
}

// time returns how long a rank takes for a load.
func (s *search) time(rank int, load float64) float64 {
	if s.paces == nil {
		return load
	}
	return load * s.paces[rank]
}

func (s *search) hottest() int {
	hot := 0
	for k, l := range s.sums {
		if s.time(k, l) > s.time(hot, s.sums[hot]) {
			hot = k
		}
	}
	return hot
}

// each returns the load of one slot of an expert.
func (s *search) each(e uint16) float64 {
	if e == EmptySlot {
		return 0
	}
	return s.loads[e] / float64(s.counts[e])
}

// improve changes slots until the hottest rank is at the target, no change
// helps or the moves are used up. It returns the number of changed slots.
func (s *search) improve(target float64, maxMoves int) int {
	s.target = target
	moves := 0
	for maxMoves == 0 || moves < maxMoves {
		hot := s.hottest()
		if s.time(hot, s.sums[hot]) <= target {
			break
		}
		c := s.best(hot)
		if c.gain <= minGain*target*target {
			break
		}
		moves += s.apply(c)
	}
	return moves
}

// change is a step of the search: the expert in slot to becomes that in slot
// from, and where swap is set also the other way round.
type change struct {
	from, to int
	swap     bool
	// gain is by how much the penalty falls for each slot that changes.
	gain float64
}

// best returns the change with the most gain between the hottest rank and the
// slots that are worth a look: those of the coolest ranks, and those of experts
// that lose a slot most lightly.
func (s *search) best(hot int) change {
	var best change
	for _, k := range s.coolest() {
		for to := k * s.slots; to < (k+1)*s.slots; to++ {
			s.considerSlot(&best, hot, to)
		}
	}
	for _, e := range s.lightest() {
		for _, to := range s.where[e] {
			s.considerSlot(&best, hot, to)
		}
	}
	return best
}

// considerSlot considers the changes between the hottest rank and a slot.
func (s *search) considerSlot(best *change, hot, to int) {
	if to/s.slots == hot {
		return
	}
	for from := hot * s.slots; from < (hot+1)*s.slots; from++ {
		if s.layer[to] == s.layer[from] || s.layer[from] == EmptySlot || !s.mayBring(to/s.slots, s.layer[from]) {
			continue
		}
		s.consider(best, change{from: from, to: to})
		s.consider(best, change{from: from, to: to, swap: true})
	}
}

// mayBring reports whether a rank may get an expert within the bound of the plan.
func (s *search) mayBring(rank int, e uint16) bool {
	return s.maxNew == 0 || s.fresh[rank] < s.maxNew || s.had(rank, e)
}

// had reports whether a rank held an expert before the plan.
func (s *search) had(rank int, e uint16) bool {
	return e == EmptySlot || contains(s.before[rank*s.slots:(rank+1)*s.slots], e)
}

// lightest returns the experts whose load on each slot is least after they lose
// one.
func (s *search) lightest() []int {
	s.light = s.light[:0]
	for e, n := range s.counts {
		if n < 2 {
			continue
		}
		s.light = insert(s.light, e, lightExperts, func(o int) bool {
			return s.loads[e]/float64(n-1) < s.loads[o]/float64(s.counts[o]-1)
		})
	}
	return s.light
}

// coolest returns the ranks with the least load, the coolest first.
func (s *search) coolest() []int {
	s.cool = s.cool[:0]
	for k, l := range s.sums {
		s.cool = insert(s.cool, k, coolRanks, func(o int) bool { return s.time(k, l) < s.time(o, s.sums[o]) })
	}
	return s.cool
}

// insert puts x into an ordered list of at most n before those it goes before.
func insert(list []int, x, n int, before func(other int) bool) []int {
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

func (s *search) consider(best *change, c change) {
	if c.swap {
		c.gain = s.swapGain(c) / 2
	} else {
		c.gain = s.copyGain(c)
	}
	if c.gain > best.gain {
		*best = c
	}
}

// penalty weighs the load of one rank: the square of what is above the target.
// Ranks below it weigh nothing, since the hottest rank alone decides the step.
func (s *search) penalty(rank int, load float64) float64 {
	above := max(0, s.time(rank, load)-s.target)
	return above * above
}

// swapGain returns by how much the penalty falls where two slots change their
// experts.
func (s *search) swapGain(c change) float64 {
	a, b := s.layer[c.from], s.layer[c.to]
	i, j := c.from/s.slots, c.to/s.slots
	if s.holds(j, a) || b != EmptySlot && s.holds(i, b) || !s.mayBring(i, b) {
		return 0
	}
	d := s.each(a) - s.each(b)
	if d <= 0 {
		return 0
	}
	return s.penalty(i, s.sums[i]) + s.penalty(j, s.sums[j]) - s.penalty(i, s.sums[i]-d) - s.penalty(j, s.sums[j]+d)
}

// copyGain returns by how much the penalty falls where the expert of a hot slot
// gets a further slot in place of another expert's.
func (s *search) copyGain(c change) float64 {
	a, b := s.layer[c.from], s.layer[c.to]
	if b != EmptySlot && s.counts[b] < 2 || s.holds(c.to/s.slots, a) {
		return 0
	}
	newA := s.loads[a] / float64(s.counts[a]+1)
	var gain float64
	for _, slot := range s.where[a] {
		rank := slot / s.slots
		l := s.sums[rank]
		gain += s.penalty(rank, l) - s.penalty(rank, l-s.each(a)+newA)
	}
	if b != EmptySlot {
		gain -= s.lossOf(b, c.to)
	}
	rank := c.to / s.slots
	l := s.sums[rank]
	return gain + s.penalty(rank, l) - s.penalty(rank, l-s.each(b)+newA)
}

// lossOf returns by how much the penalty grows on the other ranks that hold an
// expert where it leaves a slot.
func (s *search) lossOf(e uint16, leaves int) float64 {
	more := s.loads[e] / float64(s.counts[e]-1)
	var loss float64
	for _, slot := range s.where[e] {
		if slot == leaves {
			continue
		}
		rank := slot / s.slots
		l := s.sums[rank]
		loss += s.penalty(rank, l-s.each(e)+more) - s.penalty(rank, l)
	}
	return loss
}

func (s *search) holds(rank int, e uint16) bool {
	return contains(s.layer[rank*s.slots:(rank+1)*s.slots], e)
}

// apply makes a change and returns the number of slots that it changed.
func (s *search) apply(c change) int {
	a, b := s.layer[c.from], s.layer[c.to]
	s.spread(a, -1)
	s.spread(b, -1)
	s.put(c.to, a)
	moves := 1
	if c.swap {
		s.put(c.from, b)
		moves = 2
	}
	s.spread(a, 1)
	s.spread(b, 1)
	return moves
}

// spread adds an expert's load to the ranks that hold it, or takes it off.
func (s *search) spread(e uint16, sign float64) {
	if e == EmptySlot {
		return
	}
	each := sign * s.each(e)
	for _, slot := range s.where[e] {
		s.sums[slot/s.slots] += each
	}
}

func (s *search) put(slot int, e uint16) {
	old, rank := s.layer[slot], slot/s.slots
	if !s.had(rank, old) {
		s.fresh[rank]--
	}
	if !s.had(rank, e) {
		s.fresh[rank]++
	}
	if old != EmptySlot {
		s.counts[old]--
		s.forget(old, slot)
	}
	if e != EmptySlot {
		s.counts[e]++
		s.where[e] = append(s.where[e], slot)
	}
	s.layer[slot] = e
}

// forget takes a slot off those of an expert.
func (s *search) forget(e uint16, slot int) {
	for i, w := range s.where[e] {
		if w == slot {
			s.where[e] = append(s.where[e][:i], s.where[e][i+1:]...)
			return
		}
	}
}
