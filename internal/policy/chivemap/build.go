package chivemap

import (
	"container/heap"
	"sort"
)

// Build returns a map for the loads that ignores any earlier map. Spare slots
// go to the experts with the highest load per replica, and replicas are placed
// by longest processing time first. It returns an error if the shape fails Check or the loads
// fail it for the shape.
func Build(s Shape, loads Loads) (*Map, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if err := loads.Check(s); err != nil {
		return nil, err
	}
	m := &Map{Ranks: s.Ranks, Slots: s.Slots, Experts: s.Experts}
	for _, l := range loads {
		m.Layers = append(m.Layers, placeReplicas(s.Ranks, s.Slots, l, Replicate(l, s.Ranks*s.Slots, s.Ranks)))
	}
	return m, nil
}

// Replicate returns the number of replicas of each expert that minimizes the
// highest load of any replica. Every expert gets at least one replica and at
// most maxReplicas; slots is the total number of slots.
func Replicate(loads []float64, slots, maxReplicas int) []int {
	counts := make([]int, len(loads))
	h := &expertHeap{}
	for e, l := range loads {
		counts[e] = 1
		h.list = append(h.list, expertLoad{expert: e, perReplica: l, load: l, count: 1})
	}
	heap.Init(h)
	for spare := slots - len(loads); spare > 0 && h.Len() > 0; {
		top := &h.list[0]
		if top.count >= maxReplicas {
			heap.Pop(h)
			continue
		}
		top.count++
		top.perReplica = top.load / float64(top.count)
		counts[top.expert] = top.count
		heap.Fix(h, 0)
		spare--
	}
	return counts
}

// LowerBound returns a lower bound on the load of the most loaded rank, for any
// map of a layer with this number of ranks and of slots per rank.
func LowerBound(ranks, slots int, loads []float64) float64 {
	counts := Replicate(loads, ranks*slots, ranks)
	var sum, maxLoad float64
	for e, l := range loads {
		sum += l
		maxLoad = max(maxLoad, l/float64(counts[e]))
	}
	return max(sum/float64(ranks), maxLoad)
}

// expertLoad holds the load of an expert and of each of its replicas.
type expertLoad struct {
	expert     int
	perReplica float64
	load       float64
	count      int
}

// expertHeap implements heap.Interface with the highest load per replica first.
type expertHeap struct {
	list []expertLoad
}

// Len implements sort.Interface.Len.
func (h *expertHeap) Len() int { return len(h.list) }

// Less implements sort.Interface.Less.
func (h *expertHeap) Less(i, j int) bool { return h.list[i].perReplica > h.list[j].perReplica }

// Swap implements sort.Interface.Swap.
func (h *expertHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface.Push.
func (h *expertHeap) Push(x any) {
	if s, ok := x.(expertLoad); ok {
		h.list = append(h.list, s)
	}
}

// Pop implements heap.Interface.Pop.
func (h *expertHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// placeReplicas returns the slots of a layer. It assigns replicas in order of
// falling load, each to the least loaded rank that has a free slot and doesn't
// hold the expert yet.
func placeReplicas(ranks, slots int, loads []float64, counts []int) []uint16 {
	replicas := make([]expertLoad, 0, ranks*slots)
	for e, n := range counts {
		for range n {
			replicas = append(replicas, expertLoad{expert: e, perReplica: loads[e] / float64(n)})
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool { return replicas[i].perReplica > replicas[j].perReplica })
	layer := make([]uint16, ranks*slots)
	used := make([]int, ranks)
	sums := make([]float64, ranks)
	for _, r := range replicas {
		k := chooseRank(layer, used, sums, slots, uint16(r.expert))
		layer[k*slots+used[k]] = uint16(r.expert)
		used[k]++
		sums[k] += r.perReplica
	}
	return layer
}

// chooseRank returns the rank for the next replica of an expert: the least
// loaded one with a free slot. A rank that holds the expert already is chosen
// only if no other rank has a free slot. It returns -1 if all slots are used.
func chooseRank(layer []uint16, used []int, sums []float64, slots int, expert uint16) int {
	best, fallback := -1, -1
	for k := range used {
		if used[k] == slots {
			continue
		}
		if fallback < 0 || sums[k] < sums[fallback] {
			fallback = k
		}
		if contains(layer[k*slots:k*slots+used[k]], expert) {
			continue
		}
		if best < 0 || sums[k] < sums[best] {
			best = k
		}
	}
	if best < 0 {
		return fallback
	}
	return best
}
