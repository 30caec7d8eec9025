package chivemap

import "math"

const (
	// levelWeight is the weight of the newest loads in the level.
	levelWeight = 0.35
	// trendWeight is the weight of the newest change of the level in the trend.
	trendWeight = 0.15
	// jump is the distance between the newest loads and those foreseen, as a part
	// of all load, beyond which the forecast begins anew.
	jump = 0.2
)

// A Forecaster tells drift from noise: from the loads of each interval it foresees
// those of the next by double exponential smoothing, and begins anew after a
// sudden change. Its zero value has seen none.
type Forecaster struct {
	level, trend Loads
}

// Observe takes the loads of one interval in and returns the forecast of the next,
// which sums to 1 in each layer.
func (s *Forecaster) Observe(loads Loads) Loads {
	now := normalized(loads)
	if !s.fits(now) || s.distance(now) > jump {
		s.level, s.trend = now, zeros(now)
		return now
	}
	for i := range now {
		for e, l := range now[i] {
			before := s.level[i][e]
			s.level[i][e] = levelWeight*l + (1-levelWeight)*(before+s.trend[i][e])
			s.trend[i][e] += trendWeight * (s.level[i][e] - before - s.trend[i][e])
		}
	}
	return s.forecast()
}

// forecast returns the level one interval ahead. No expert is foreseen with less
// than nothing.
func (s *Forecaster) forecast() Loads {
	next := zeros(s.level)
	for i := range next {
		for e := range next[i] {
			next[i][e] = max(0, s.level[i][e]+s.trend[i][e])
		}
	}
	return normalized(next)
}

func (s *Forecaster) fits(loads Loads) bool {
	if len(s.level) != len(loads) {
		return false
	}
	for i := range loads {
		if len(s.level[i]) != len(loads[i]) {
			return false
		}
	}
	return true
}

// distance returns the part of the load that is elsewhere than foreseen.
func (s *Forecaster) distance(loads Loads) float64 {
	var sum float64
	for i, layer := range s.forecast() {
		for e, l := range layer {
			sum += math.Abs(l-loads[i][e]) / 2
		}
	}
	return sum / float64(len(loads))
}

// zeros returns loads of the same shape without load.
func zeros(loads Loads) Loads {
	list := make(Loads, len(loads))
	for i := range loads {
		list[i] = make([]float64, len(loads[i]))
	}
	return list
}

// normalized returns loads that sum to 1 in each layer. A layer without load
// gets the same load for every expert.
func normalized(loads Loads) Loads {
	list := zeros(loads)
	for i, layer := range loads {
		var sum float64
		for _, l := range layer {
			sum += l
		}
		for e, l := range layer {
			list[i][e] = 1 / float64(len(layer))
			if sum > 0 {
				list[i][e] = l / sum
			}
		}
	}
	return list
}
