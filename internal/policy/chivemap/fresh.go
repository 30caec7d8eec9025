package chivemap

import (
	"container/heap"
	"sort"
)

// Build returns a new map for the loads, without regard to any older one: the
// hottest experts get the spare slots, and replicas are placed by longest
// processing time first.
func Build(ranks, slots, experts int, loads Loads) *Map {
	m := &Map{Ranks: ranks, Slots: slots, Experts: experts}
	for _, l := range loads {
		m.Layers = append(m.Layers, place(ranks, slots, l, Replicate(l, ranks*slots, ranks)))
	}
	return m
}

// Replicate returns the number of slots for each expert that makes the largest
// load of a slot least. No expert gets more than most slots.
func Replicate(loads []float64, slots, most int) []int {
	counts := make([]int, len(loads))
	h := &expertHeap{}
	for e, l := range loads {
		counts[e] = 1
		h.list = append(h.list, expertShare{expert: e, each: l, load: l, count: 1})
	}
	heap.Init(h)
	for spare := slots - len(loads); spare > 0 && h.Len() > 0; {
		top := &h.list[0]
		if top.count >= most {
			heap.Pop(h)
			continue
		}
		top.count++
		top.each = top.load / float64(top.count)
		counts[top.expert] = top.count
		heap.Fix(h, 0)
		spare--
	}
	return counts
}

// LowerBound returns the least load of the hottest rank that any map with these
// ranks and slots can reach.
func LowerBound(ranks, slots int, loads []float64) float64 {
	counts := Replicate(loads, ranks*slots, ranks)
	var sum, most float64
	for e, l := range loads {
		sum += l
		most = max(most, l/float64(counts[e]))
	}
	return max(sum/float64(ranks), most)
}

// expertShare is an expert with its load on each of its slots.
type expertShare struct {
	expert int
	each   float64
	load   float64
	count  int
}

// expertHeap implements heap.Interface with the hottest share first.
type expertHeap struct {
	list []expertShare
}

// Len implements sort.Interface.Len.
func (h *expertHeap) Len() int { return len(h.list) }

// Less implements sort.Interface.Less.
func (h *expertHeap) Less(i, j int) bool { return h.list[i].each > h.list[j].each }

// Swap implements sort.Interface.Swap.
func (h *expertHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

// Push implements heap.Interface.Push.
func (h *expertHeap) Push(x any) {
	if s, ok := x.(expertShare); ok {
		h.list = append(h.list, s)
	}
}

// Pop implements heap.Interface.Pop.
func (h *expertHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// place puts replicas on ranks, the hottest first, each on the least loaded rank
// that has a free slot and does not hold the expert.
func place(ranks, slots int, loads []float64, counts []int) []uint16 {
	replicas := make([]expertShare, 0, ranks*slots)
	for e, n := range counts {
		for range n {
			replicas = append(replicas, expertShare{expert: e, each: loads[e] / float64(n)})
		}
	}
	sort.SliceStable(replicas, func(i, j int) bool { return replicas[i].each > replicas[j].each })
	layer := make([]uint16, ranks*slots)
	used := make([]int, ranks)
	sums := make([]float64, ranks)
	for _, r := range replicas {
		k := leastLoaded(layer, used, sums, slots, uint16(r.expert))
		layer[k*slots+used[k]] = uint16(r.expert)
		used[k]++
		sums[k] += r.each
	}
	return layer
}

// leastLoaded returns the rank for a replica. A rank that holds the expert is
// taken only where no other has a free slot.
func leastLoaded(layer []uint16, used []int, sums []float64, slots int, expert uint16) int {
	best, second := -1, -1
	for k := range used {
		if used[k] == slots {
			continue
		}
		if second < 0 || sums[k] < sums[second] {
			second = k
		}
		if contains(layer[k*slots:k*slots+used[k]], expert) {
			continue
		}
		if best < 0 || sums[k] < sums[best] {
			best = k
		}
	}
	if best < 0 {
		return second
	}
	return best
}
