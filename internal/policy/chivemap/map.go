// Package chivemap plans expert maps, which assign the experts of a model to
// the ranks of a group so that no rank is much slower than the others.
package chivemap

import (
	"errors"
	"fmt"
	"math"
)

// EmptySlot marks a slot that holds no expert.
const EmptySlot = math.MaxUint16

// Map assigns the experts of every layer to slots of the ranks. An expert may
// have replicas in several slots, and its tokens are spread evenly over them.
type Map struct {
	Ranks int `cbor:"ranks"`
	// Slots is the number of slots of each rank in a layer.
	Slots   int `cbor:"slots"`
	Experts int `cbor:"experts"`
	// Layers holds, for each layer, the expert in each slot, or EmptySlot. Slot
	// s of rank r is at index r*Slots+s.
	Layers [][]uint16 `cbor:"layers"`
}

// Shape returns the size of the map.
func (m *Map) Shape() Shape {
	return Shape{Ranks: m.Ranks, Slots: m.Slots, Experts: m.Experts, Layers: len(m.Layers)}
}

// Check returns an error if the size of the map is out of range, or if a layer
// has the wrong number of slots, names an unknown expert or lacks an expert.
func (m *Map) Check() error {
	if err := m.Shape().Check(); err != nil {
		return err
	}
	for i, l := range m.Layers {
		if err := m.checkLayer(l); err != nil {
			return fmt.Errorf("layer %d: %w", i, err)
		}
	}
	return nil
}

func (m *Map) checkLayer(layer []uint16) error {
	if len(layer) != m.Ranks*m.Slots {
		return fmt.Errorf("has %d slots, want %d", len(layer), m.Ranks*m.Slots)
	}
	held := make([]bool, m.Experts)
	for _, e := range layer {
		if e == EmptySlot {
			continue
		}
		if int(e) >= m.Experts {
			return fmt.Errorf("expert %d does not exist", e)
		}
		held[e] = true
	}
	for _, h := range held {
		if !h {
			return errors.New("an expert is not in any slot")
		}
	}
	return nil
}

// NewEmpty returns a map whose slots are all empty. It returns an error if the shape fails
// Check.
func NewEmpty(s Shape) (*Map, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	m := &Map{Ranks: s.Ranks, Slots: s.Slots, Experts: s.Experts}
	for range s.Layers {
		layer := make([]uint16, s.Ranks*s.Slots)
		for i := range layer {
			layer[i] = EmptySlot
		}
		m.Layers = append(m.Layers, layer)
	}
	return m, nil
}

// Must returns a map that was made without an error, and panics otherwise. It is for shapes that
// the program itself sets.
func Must(m *Map, err error) *Map {
	if err != nil {
		panic("chivemap: " + err.Error())
	}
	return m
}

// NewRoundRobin returns a map that holds each expert once, assigned to the ranks
// in round-robin order. It returns an error if the shape fails Check.
func NewRoundRobin(s Shape) (*Map, error) {
	m, err := NewEmpty(s)
	if err != nil {
		return nil, err
	}
	for _, layer := range m.Layers {
		for e := range s.Experts {
			layer[e%s.Ranks*s.Slots+e/s.Ranks] = uint16(e)
		}
	}
	return m, nil
}

// NewFromLayout returns a map in which the ranks hold the experts that layout lists
// per layer and rank. It returns an error if the shape or the map fails Check, or if the
// layout is of another shape.
func NewFromLayout(s Shape, layout [][][]int) (*Map, error) {
	if len(layout) != s.Layers {
		return nil, fmt.Errorf("layout has %d layers, want %d", len(layout), s.Layers)
	}
	m, err := NewEmpty(s)
	if err != nil {
		return nil, err
	}
	for l, ranks := range layout {
		if len(ranks) != m.Ranks {
			return nil, fmt.Errorf("layer %d: has %d ranks, want %d", l, len(ranks), m.Ranks)
		}
		for r, list := range ranks {
			if len(list) > m.Slots {
				return nil, fmt.Errorf("layer %d: rank %d holds %d experts, more than %d slots", l, r, len(list), m.Slots)
			}
			for i, e := range list {
				if e < 0 || e >= m.Experts {
					return nil, fmt.Errorf("layer %d: expert %d does not exist", l, e)
				}
				m.Layers[l][r*m.Slots+i] = uint16(e)
			}
		}
	}
	return m, m.Check()
}

// Layout returns the experts that the ranks hold, per layer and rank.
func (m *Map) Layout() [][][]int {
	layout := make([][][]int, len(m.Layers))
	for l := range layout {
		for r := range m.Ranks {
			layout[l] = append(layout[l], m.RankExperts(l, r))
		}
	}
	return layout
}

// RankExperts returns the experts that a rank holds in a layer, in the order of
// its slots. The list is not nil, so that it is encoded as an empty one.
func (m *Map) RankExperts(layer, rank int) []int {
	list := make([]int, 0, m.Slots)
	for _, e := range m.Layers[layer][rank*m.Slots : (rank+1)*m.Slots] {
		if e != EmptySlot {
			list = append(list, int(e))
		}
	}
	return list
}

// Skew returns the load of the most loaded rank of a layer divided by the mean
// load of its ranks. It is 1 for a balanced layer and for one without load.
func (m *Map) Skew(layer int, loads []float64) float64 {
	ranks := rankLoads(m.Layers[layer], m.Ranks, m.Slots, loads)
	var sum, maxLoad float64
	for _, l := range ranks {
		sum += l
		maxLoad = max(maxLoad, l)
	}
	if sum == 0 {
		return 1
	}
	return maxLoad * float64(m.Ranks) / sum
}

// StepSkew returns the mean skew of all layers. Ranks wait for each other in
// every layer, so this is the step time relative to that of a balanced map.
func (m *Map) StepSkew(loads Loads) float64 {
	var sum float64
	for i := range m.Layers {
		sum += m.Skew(i, loads[i])
	}
	return sum / float64(len(m.Layers))
}

// Moves returns the number of experts whose weights ranks have to load to switch
// to the next map, over all ranks and layers. The slots of a rank are
// interchangeable, so an expert that stays on its rank doesn't count.
func (m *Map) Moves(next *Map) int {
	moves := 0
	for l := range m.Layers {
		for r := range m.Ranks {
			first, last := r*m.Slots, (r+1)*m.Slots
			moves += countAdded(m.Layers[l][first:last], next.Layers[l][first:last])
		}
	}
	return moves
}

// countAdded returns the number of distinct experts that are in next but not in
// old.
func countAdded(old, next []uint16) int {
	n := 0
	for i, e := range next {
		if e == EmptySlot || contains(old, e) || contains(next[:i], e) {
			continue
		}
		n++
	}
	return n
}

func contains(list []uint16, e uint16) bool {
	for _, o := range list {
		if o == e {
			return true
		}
	}
	return false
}

// rankLoads returns the load of every rank in a layer.
func rankLoads(layer []uint16, ranks, slots int, loads []float64) []float64 {
	replicas := make([]float64, len(loads))
	for _, e := range layer {
		if e != EmptySlot {
			replicas[e]++
		}
	}
	sums := make([]float64, ranks)
	for i, e := range layer {
		if e == EmptySlot {
			continue
		}
		sums[i/slots] += loads[e] / replicas[e]
	}
	return sums
}
