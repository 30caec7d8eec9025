package chivecost

import (
	"math"
	"time"
)

// source is what a length of answers can be told from.
type source uint8

const (
	fromUsual source = iota
	fromMaximum
	fromHint
	sourceCount
)

const (
	// halfLife is the time in which what was learned loses half of its weight.
	halfLife = 60 * time.Second
	// maxRecordWeight bounds the weight of what was learned, in answers, so that it follows
	// changes.
	maxRecordWeight = 200
	// priorWeight is the weight of a wider scope within a narrower one, in answers.
	priorWeight = 8
	// minSpread keeps a source that was always right from outweighing all others.
	minSpread = 0.01
)

// priorSpreads holds the spread of each source before any answer has ended. What callers
// say counts for little until it has proved right, a maximum for less than a hint.
var priorSpreads = [sourceCount]float64{fromUsual: 0.25, fromMaximum: 3, fromHint: 1.5}

// record holds how far a source was off: the mean and the variance of the logarithms of
// actual by said length, and their weight in answers.
type record struct {
	bias, spread, weight float64
	at                   time.Duration
}

// weightAt returns the weight that is left at a time.
func (r *record) weightAt(now time.Duration) float64 {
	if r.weight == 0 || now <= r.at {
		return r.weight
	}
	return r.weight * math.Exp2(-float64(now-r.at)/float64(halfLife))
}

// add adds the logarithm of an actual by a said length.
func (r *record) add(now time.Duration, ratio float64) {
	r.weight = min(maxRecordWeight, r.weightAt(now)) + 1
	r.at = max(r.at, now)
	d := ratio - r.bias
	r.bias += d / r.weight
	r.spread += (d*(ratio-r.bias) - r.spread) / r.weight
}

// narrow returns the bias and the spread of the record with those of a wider scope as a
// prior.
func (r *record) narrow(now time.Duration, bias, spread float64) (narrowBias, narrowSpread float64) {
	w := r.weightAt(now)
	if w == 0 {
		return bias, spread
	}
	total := w + priorWeight
	return (w*r.bias + priorWeight*bias) / total, (w*r.spread + priorWeight*spread) / total
}

// records holds the record of each source.
type records [sourceCount]record

// lengths holds the length of an answer that each source says, 0 for those that say none.
type lengths [sourceCount]float64

// add compares what the sources said with the actual length.
func (r *records) add(now time.Duration, said *lengths, actual float64) {
	for i := range r {
		if said[i] > 0 {
			r[i].add(now, math.Log(actual/said[i]))
		}
	}
}
