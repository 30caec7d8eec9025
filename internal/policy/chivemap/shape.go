package chivemap

import (
	"errors"
	"fmt"
	"math"
)

// Shape holds the numbers that define the size of a map.
type Shape struct {
	Ranks int
	// Slots is the number of slots of each rank in a layer.
	Slots int
	// Experts is the number of experts of each layer.
	Experts int
	Layers  int
}

// Limits of a shape that Check accepts.
const (
	maxRanks   = 4096
	maxSlots   = 256
	maxExperts = 4096
	maxLayers  = 512
	// maxTotalSlots bounds the slots of all ranks and layers together, and so the memory of a
	// map: two bytes for each.
	maxTotalSlots = 1 << 22
)

// Check returns an error if a number is out of range, or if the experts do not fit in the slots
// of all ranks.
func (s Shape) Check() error {
	if s.Ranks < 1 || s.Ranks > maxRanks || s.Slots < 1 || s.Slots > maxSlots || s.Experts < 1 || s.Experts > maxExperts ||
		s.Layers < 1 || s.Layers > maxLayers {
		return fmt.Errorf("map size is out of range: %d ranks, %d slots per rank, %d experts, %d layers", s.Ranks, s.Slots, s.Experts, s.Layers)
	}
	if total := s.Ranks * s.Slots * s.Layers; total > maxTotalSlots {
		return fmt.Errorf("map has %d slots, more than %d", total, maxTotalSlots)
	}
	if s.Experts > s.Ranks*s.Slots {
		return fmt.Errorf("%d experts do not fit in %d slots", s.Experts, s.Ranks*s.Slots)
	}
	return nil
}

// Loads holds the number of tokens routed to each expert, by layer and expert.
type Loads [][]float64

// Check returns an error unless the loads are those of the layers and experts of a shape, each a
// finite number that is 0 or more.
func (l Loads) Check(s Shape) error {
	if len(l) != s.Layers {
		return fmt.Errorf("loads have %d layers, want %d", len(l), s.Layers)
	}
	for i, layer := range l {
		if len(layer) != s.Experts {
			return fmt.Errorf("layer %d: loads have %d experts, want %d", i, len(layer), s.Experts)
		}
		for _, load := range layer {
			if !(load >= 0) || math.IsInf(load, 1) {
				return errors.New("a load is negative or not finite")
			}
		}
	}
	return nil
}
