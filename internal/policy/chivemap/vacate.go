package chivemap

const (
	// vacateSlowdown is the slowdown from which a rank is to hold no experts. A little
	// load of a rank that is this slow, or an expert that becomes popular on it, delays
	// every forward pass of the group.
	vacateSlowdown = 2
	// minRanksPerVacated limits the ranks to vacate: at most one in minRanksPerVacated.
	minRanksPerVacated = 3
)

// vacatedRanks returns the ranks of a map that are to hold no experts. It returns none
// if so many ranks are slow that the others could not take over.
func (p Planner) vacatedRanks(m *Map) []int {
	var list []int
	for k, slowdown := range p.Slowdowns {
		if slowdown >= vacateSlowdown {
			list = append(list, k)
		}
	}
	if len(list)*minRanksPerVacated > m.Ranks || m.Experts > (m.Ranks-len(list))*m.Slots {
		return nil
	}
	return list
}

// MisplacedExperts returns the number of experts that a map has on ranks which are to
// hold none because they are slow, over all layers.
func (p Planner) MisplacedExperts(m *Map) int {
	n := 0
	for _, k := range p.vacatedRanks(m) {
		for l := range m.Layers {
			n += len(m.RankExperts(l, k))
		}
	}
	return n
}

// vacate moves the experts of the given ranks to others, as far as the limits on new
// experts allow, and returns the number of changed slots. The search gives these ranks
// no experts afterwards.
func (s *layerSearch) vacate(ranks []int) int {
	s.vacated = make([]bool, s.ranks)
	for _, k := range ranks {
		s.vacated[k] = true
	}
	moves := 0
	for _, k := range ranks {
		for from := k * s.slots; from < (k+1)*s.slots; from++ {
			moves += s.vacateSlot(from)
		}
	}
	return moves
}

// vacateSlot empties a slot of a vacated rank, after its expert was copied to another
// rank unless one has it already. It returns the number of changed slots.
func (s *layerSearch) vacateSlot(from int) int {
	e := s.layer[from]
	if e == EmptySlot {
		return 0
	}
	moves := 0
	if !s.heldElsewhere(e, from) {
		to := s.slotForVacated(e)
		if to < 0 {
			return 0
		}
		s.replace(to, e)
		moves++
	}
	s.replace(from, EmptySlot)
	return moves + 1
}

// heldElsewhere reports whether a slot other than the given one, on a rank that is not
// vacated, has an expert.
func (s *layerSearch) heldElsewhere(e uint16, except int) bool {
	for _, slot := range s.slotsOf[e] {
		if slot != except && !s.vacated[slot/s.slots] {
			return true
		}
	}
	return false
}

// slotForVacated returns the slot to which an expert of a vacated rank is moved: on the
// fastest rank that may take it and has an empty slot or a replica to spare. It returns
// -1 if there is none.
func (s *layerSearch) slotForVacated(e uint16) int {
	best := -1
	for k := range s.ranks {
		if s.vacated[k] || !s.mayAdd(k, e) || best >= 0 && s.time(k, s.rankLoads[k]) >= s.time(best/s.slots, s.rankLoads[best/s.slots]) {
			continue
		}
		for to := k * s.slots; to < (k+1)*s.slots; to++ {
			if o := s.layer[to]; o == EmptySlot || o != e && s.heldElsewhere(o, to) {
				best = to
				break
			}
		}
	}
	return best
}

// replace puts an expert, or EmptySlot, into a slot and updates the loads.
func (s *layerSearch) replace(slot int, e uint16) {
	old := s.layer[slot]
	s.addLoad(old, -1)
	s.addLoad(e, -1)
	s.assign(slot, e)
	s.addLoad(old, 1)
	s.addLoad(e, 1)
}
