// Package chivequota implements bounds on what one entry VM may send, as its
// part of bounds on the whole fleet.
package chivequota

import "time"

// buckets is the number of parts of a window.
const buckets = 20

// A Window counts events over a sliding span of time. It counts up to one
// twentieth of the span more than asked, never less.
type Window struct {
	// Span is the length of the window.
	Span time.Duration

	counts [buckets + 1]float64
	newest int64
}

// Add counts n events at a time.
func (w *Window) Add(now time.Duration, n float64) {
	w.turn(now)
	w.counts[w.newest%int64(len(w.counts))] += n
}

// Sum returns the events of the window that ends at a time.
func (w *Window) Sum(now time.Duration) float64 {
	w.turn(now)
	var sum float64
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// turn empties the buckets that have become too old.
func (w *Window) turn(now time.Duration) {
	at := int64(now / (w.Span / buckets))
	if at-w.newest > int64(len(w.counts)) {
		w.counts = [buckets + 1]float64{}
		w.newest = at
		return
	}
	for w.newest < at {
		w.newest++
		w.counts[w.newest%int64(len(w.counts))] = 0
	}
}
