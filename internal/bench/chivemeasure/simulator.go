package chivemeasure

import "container/heap"

// simulator runs a discrete-event simulation: it runs scheduled events in the order
// of their simulated times.
type simulator struct {
	// now is the simulated time in seconds since the start.
	now       float64
	events    eventHeap
	scheduled int
}

// event is an action at a simulated time in seconds. Events at the same time run in
// the order in which they were scheduled.
type event struct {
	at       float64
	sequence int
	action   func()
}

// schedule runs an action after a delay in seconds.
func (s *simulator) schedule(delay float64, action func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now + delay, s.scheduled, action})
}

// runUntil runs all events up to and including a simulated time in seconds.
func (s *simulator) runUntil(end float64) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e, _ := heap.Pop(&s.events).(event)
		s.now = e.at
		e.action()
	}
	s.now = end
}

// eventHeap implements heap.Interface with the earliest event first.
type eventHeap []event

// Len implements sort.Interface.Len.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.Less.
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

// Swap implements sort.Interface.Swap.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.Push.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop implements heap.Interface.Pop.
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
