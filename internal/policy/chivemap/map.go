// Package chivemap implements the planning of expert maps: which rank holds
// which experts, so that no rank is a straggler.
package chivemap

import (
	"errors"
	"fmt"
	"math"
)

// EmptySlot marks a slot that holds no expert.
const EmptySlot = math.MaxUint16

// A Map places the experts of every layer on the slots of the ranks. An expert
// may stand in several slots; its tokens are spread evenly over them.
type Map struct {
	Ranks   int `cbor:"ranks"`
	Slots   int `cbor:"slots"`
	Experts int `cbor:"experts"`
	// Layers holds, for each layer, the expert in each slot, or Empty: slot s of
	// rank r at position r·Slots+s.
	Layers [][]uint16 `cbor:"layers"`
}

// Limits of a map.
const (
	maxRanks   = 4096
	maxSlots   = 256
	maxExperts = 4096
	maxLayers  = 512
)

// Check returns an error where the map does not hold every expert in every
// layer.
func (m *Map) Check() error {
	if m.Ranks < 1 || m.Ranks > maxRanks || m.Slots < 1 || m.Slots > maxSlots || m.Experts < 1 || m.Experts > maxExperts {
		return fmt.Errorf("map has %d ranks, %d slots and %d experts", m.Ranks, m.Slots, m.Experts)
	}
	if m.Experts > m.Ranks*m.Slots {
		return fmt.Errorf("%d experts do not fit %d slots", m.Experts, m.Ranks*m.Slots)
	}
	if len(m.Layers) == 0 || len(m.Layers) > maxLayers {
		return fmt.Errorf("map has %d layers", len(m.Layers))
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
		return fmt.Errorf("%d slots, not %d", len(layer), m.Ranks*m.Slots)
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
			return errors.New("an expert is in no slot")
		}
	}
	return nil
}

// NewEmpty returns a map whose slots are all empty.
func NewEmpty(ranks, slots, experts, layers int) *Map {
	m := &Map{Ranks: ranks, Slots: slots, Experts: experts}
	for range layers {
		layer := make([]uint16, ranks*slots)
		for i := range layer {
			layer[i] = EmptySlot
		}
		m.Layers = append(m.Layers, layer)
	}
	return m
}

// NewRoundRobin returns the map that holds each expert once, on the ranks in turn.
func NewRoundRobin(ranks, slots, experts, layers int) *Map {
	m := NewEmpty(ranks, slots, experts, layers)
	for _, layer := range m.Layers {
		for e := range experts {
			layer[e%ranks*slots+e/ranks] = uint16(e)
		}
	}
	return m
}

// RankExperts returns the experts that a rank holds in a layer.
func (m *Map) RankExperts(layer, rank int) []int {
	var list []int
	for _, e := range m.Layers[layer][rank*m.Slots : (rank+1)*m.Slots] {
		if e != EmptySlot {
			list = append(list, int(e))
		}
	}
	return list
}

// Loads holds the tokens routed to each expert, for each layer.
type Loads [][]float64

// Skew returns the load of the hottest rank of a layer in relation to the mean,
// which is 1 for a layer in balance.
func (m *Map) Skew(layer int, loads []float64) float64 {
	ranks := rankLoads(m.Layers[layer], m.Ranks, m.Slots, loads)
	var sum, most float64
	for _, l := range ranks {
		sum += l
		most = max(most, l)
	}
	if sum == 0 {
		return 1
	}
	return most * float64(m.Ranks) / sum
}

// StepSkew returns the mean skew over all layers. Ranks wait for each other in
// every layer, so that this is the step time in relation to a step in balance.
func (m *Map) StepSkew(loads Loads) float64 {
	var sum float64
	for i := range m.Layers {
		sum += m.Skew(i, loads[i])
	}
	return sum / float64(len(m.Layers))
}

// Moves returns the number of slots that hold another expert in the next map:
// the weights that must be loaded. Slots of a rank are interchangeable.
func (m *Map) Moves(next *Map) int {
	moves := 0
	for l := range m.Layers {
		for r := range m.Ranks {
			first, last := r*m.Slots, (r+1)*m.Slots
			moves += missing(m.Layers[l][first:last], next.Layers[l][first:last])
		}
	}
	return moves
}

// missing returns the number of experts of next that old lacks.
func missing(old, next []uint16) int {
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
