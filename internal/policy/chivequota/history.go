package chivequota

import (
	"errors"
	"time"
)

// History holds the events of a window by bucket, the newest bucket first. Buckets without
// events at its end are left out.
type History []uint32

// Validate returns an error for a history that no window has.
func (h History) Validate() error {
	if len(h) > buckets+1 {
		return errors.New("history has more buckets than a window")
	}
	return nil
}

// History returns the events of the window that ends now.
func (w *Window) History(now time.Duration) History {
	w.advance(now)
	h := make(History, 0, len(w.counts))
	used := 0
	for i := range w.counts {
		n := uint32(w.counts[w.index(w.newest-int64(i))])
		h = append(h, n)
		if n > 0 {
			used = i + 1
		}
	}
	return h[:used]
}

// restore adds the events of a history that ended at a moment, now or before.
func (w *Window) restore(h History, ended, now time.Duration) {
	w.advance(now)
	newest := int64(ended / (w.Span / buckets))
	for i, n := range h {
		if b := newest - int64(i); b >= 0 && w.newest-b < int64(len(w.counts)) {
			w.counts[w.index(b)] += float64(n)
		}
	}
}

// plus returns the sum of two histories that end at the same moment.
func (h History) plus(o History) History {
	if len(h) < len(o) {
		h, o = o, h
	}
	for i, n := range o {
		h[i] += n
	}
	return h
}
