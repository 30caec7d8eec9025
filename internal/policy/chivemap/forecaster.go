package chivemap

import (
	"math"
	"slices"
)

const (
	// levelWeight is the weight of the newest loads in the smoothed level.
	levelWeight = 0.35
	// trendWeight is the weight of the newest change of the level in the trend.
	trendWeight = 0.15
	// resetDistance is the distance between the newest loads and their forecast,
	// as a fraction of the total load, above which smoothing starts over.
	resetDistance = 0.2
)

// Forecaster predicts the expert loads of the next interval by double
// exponential smoothing, which follows drift and suppresses noise. It starts
// over after a sudden change of the loads. Its zero value is ready to use.
type Forecaster struct {
	level, trend Loads
}

// Observe records the loads of one interval and returns the forecast for the
// next one, scaled to a sum of 1 in each layer.
func (f *Forecaster) Observe(loads Loads) Loads {
	now := normalized(loads)
	if !f.hasShapeOf(now) || f.distance(now) > resetDistance {
		f.level, f.trend = now, zeroLoads(now)
		// The level changes in place, the forecast is its user's.
		return now.clone()
	}
	for i := range now {
		for e, l := range now[i] {
			before := f.level[i][e]
			f.level[i][e] = levelWeight*l + (1-levelWeight)*(before+f.trend[i][e])
			f.trend[i][e] += trendWeight * (f.level[i][e] - before - f.trend[i][e])
		}
	}
	return f.forecast()
}

// forecast returns the normalized loads expected for the next interval. A
// negative forecast of an expert's load counts as 0.
func (f *Forecaster) forecast() Loads {
	next := zeroLoads(f.level)
	for i := range next {
		for e := range next[i] {
			next[i][e] = max(0, f.level[i][e]+f.trend[i][e])
		}
	}
	return normalized(next)
}

// hasShapeOf reports whether the loads have the layers and experts of earlier
// observations.
func (f *Forecaster) hasShapeOf(loads Loads) bool {
	if len(f.level) != len(loads) {
		return false
	}
	for i := range loads {
		if len(f.level[i]) != len(loads[i]) {
			return false
		}
	}
	return true
}

// distance returns the total variation distance between normalized loads and
// their forecast, from 0 to 1, as the mean over all layers.
func (f *Forecaster) distance(loads Loads) float64 {
	var sum float64
	for i, layer := range f.forecast() {
		for e, l := range layer {
			sum += math.Abs(l-loads[i][e]) / 2
		}
	}
	return sum / float64(len(loads))
}

// clone returns a deep copy.
func (l Loads) clone() Loads {
	list := make(Loads, len(l))
	for i := range l {
		list[i] = slices.Clone(l[i])
	}
	return list
}

// zeroLoads returns loads of the same shape that are all 0.
func zeroLoads(loads Loads) Loads {
	list := make(Loads, len(loads))
	for i := range loads {
		list[i] = make([]float64, len(loads[i]))
	}
	return list
}

// normalized returns the loads scaled to a sum of 1 in each layer. In a layer
// without load all experts get the same value.
func normalized(loads Loads) Loads {
	list := zeroLoads(loads)
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
