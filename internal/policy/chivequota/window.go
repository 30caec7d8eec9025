// Package chivequota limits what one entry VM may send, so that all entry VMs
// together stay within limits for the whole fleet.
package chivequota

import "time"

// buckets is the number of buckets per span of a window.
const buckets = 20

// Window counts events over a sliding span of time. Its count covers the span
// and up to one bucket (a twentieth of the span) more, never less. Once Span is
// set, the zero value is ready to use.
type Window struct {
	// Span is the length of the window, at least 20 ns.
	Span time.Duration

	counts [buckets + 1]float64
	// newest is the number of the current bucket since time 0.
	newest int64
}

// Add counts n events at the time now.
func (w *Window) Add(now time.Duration, n float64) {
	w.advance(now)
	w.counts[w.index(w.newest)] += n
}

// index returns the index in counts of a bucket, given by its number since time 0. The numbers of
// buckets before that are negative.
func (w *Window) index(bucket int64) int64 {
	n := int64(len(w.counts))
	return (bucket%n + n) % n
}

// Sum returns the number of events in the window that ends now.
func (w *Window) Sum(now time.Duration) float64 {
	w.advance(now)
	var sum float64
	for _, n := range w.counts {
		sum += n
	}
	return sum
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now time.Duration) {
	current := int64(now / (w.Span / buckets))
	if current-w.newest > int64(len(w.counts)) {
		w.counts = [buckets + 1]float64{}
		w.newest = current
		return
	}
	for w.newest < current {
		w.newest++
		w.counts[w.index(w.newest)] = 0
	}
}
