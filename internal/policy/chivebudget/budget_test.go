package chivebudget

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

const megabyte = 1 << 20

// TestForMemory checks that the process has its share of each memory, that a heap of twice the
// budget fits beside it, and that requests are refused before the budget is spent.
func TestForMemory(t *testing.T) {
	for _, mb := range []int64{64, 136, 284, 536} {
		b := ForMemory(mb * megabyte)
		if b.Total < 4*megabyte || 2*b.Total+processSize > mb*megabyte {
			t.Errorf("%d MB: budget of %d bytes", mb, b.Total)
		}
		if !b.Admits(0, b.Total/2) || b.Admits(b.Total/2, b.Total/2) || b.Admits(b.Total, 0) {
			t.Errorf("%d MB: requests are not refused before the budget is spent", mb)
		}
		if !b.Admits(b.SlowShare(), b.Total/8) || b.Excess(b.SlowShare(), b.SlowShare()) > 0 || b.Excess(b.Total, 0) > 0 {
			t.Errorf("%d MB: slow callers keep others out", mb)
		}
		if b.Excess(b.Total+1, 0) != 1 || b.Excess(b.SlowShare()+2, b.SlowShare()+2) != 2 {
			t.Errorf("%d MB: callers may hold more than their share", mb)
		}
	}
	if b := ForMemory(0); b.Limited() || !b.Admits(1<<40, 1<<40) || b.Excess(1<<40, 1<<40) > 0 {
		t.Error("without a limit on memory requests are refused")
	}
}

// modelCaller is a caller of the model: for the first readUntil it reads rate bytes a second.
type modelCaller struct {
	// arriving is the number of bytes a second that its runner makes, rate that it reads.
	arriving, rate int64
	readUntil      time.Duration
	held           int64
	idle           time.Duration
	cut            bool
}

// play runs callers for a minute with a budget, and cuts those that choose selects whenever it
// is spent. It returns how many callers that read were cut, and how many of the others.
func play(budget int64, callers []modelCaller, choose func([]SlowCaller, int64) []int) (reading, stalled int) {
	const step = 100 * time.Millisecond
	for now := time.Duration(0); now < time.Minute; now += step {
		var sum int64
		for i := range callers {
			c := &callers[i]
			if c.cut {
				continue
			}
			c.held = min(c.held+c.arriving/10, megabyte)
			c.idle += step
			if now < c.readUntil && c.held > 0 {
				c.held, c.idle = max(0, c.held-c.rate/10), 0
			}
			sum += c.held
		}
		if sum <= budget {
			continue
		}
		var list []SlowCaller
		var indexes []int
		for i, c := range callers {
			if !c.cut && c.held > 0 {
				list, indexes = append(list, SlowCaller{Held: c.held, Idle: c.idle}), append(indexes, i)
			}
		}
		for _, k := range choose(list, sum-budget) {
			c := &callers[indexes[k]]
			c.cut, c.held = true, 0
			if c.readUntil >= time.Minute {
				reading++
			} else {
				stalled++
			}
		}
	}
	return reading, stalled
}

// TestCutSparesCallersThatRead answers a load of 200 callers that stop reading long answers,
// beside callers that read large answers slowly but all the time: only those that have stopped
// may be cut, and no more than must be. Its twins cut by one of the two measures alone.
func TestCutSparesCallersThatRead(t *testing.T) {
	load := func() (callers []modelCaller) {
		for i := range 200 {
			callers = append(callers, modelCaller{arriving: 20_000 + int64(i)*500, rate: 50_000, readUntil: time.Duration(i%20) * time.Second})
		}
		for range 10 {
			callers = append(callers, modelCaller{arriving: 400_000, rate: 350_000, readUntil: time.Hour})
		}
		// These hold a few hundred bytes from the start and read nothing.
		for range 100 {
			callers = append(callers, modelCaller{arriving: 10})
		}
		return callers
	}
	inOrder := func(less func(a, b SlowCaller) int) func([]SlowCaller, int64) []int {
		return func(list []SlowCaller, excess int64) (cut []int) {
			order := make([]int, len(list))
			for i := range order {
				order[i] = i
			}
			slices.SortStableFunc(order, func(i, k int) int { return less(list[i], list[k]) })
			for _, i := range order {
				if excess <= 0 {
					break
				}
				cut, excess = append(cut, i), excess-list[i].Held
			}
			return cut
		}
	}
	const budget = 34 * megabyte
	reading, stalled := play(budget, load(), Cut)
	if reading > 0 || stalled == 0 {
		t.Errorf("%d callers that read and %d that do not are cut", reading, stalled)
	}
	largest, _ := play(budget, load(), inOrder(func(a, b SlowCaller) int { return cmp.Compare(b.Held, a.Held) }))
	if largest == 0 {
		t.Error("the largest first cuts no caller that reads")
	}
	_, longest := play(budget, load(), inOrder(func(a, b SlowCaller) int { return cmp.Compare(b.Idle, a.Idle) }))
	if longest <= stalled {
		t.Errorf("the longest idle first cuts %d, no more than %d", longest, stalled)
	}
	t.Logf("cut: %d stalled; largest first: %d that read; longest idle first: %d stalled", stalled, largest, longest)
}

// TestCut checks the order of cuts, and that no more callers are cut than needed.
func TestCut(t *testing.T) {
	callers := []SlowCaller{{Held: 100, Idle: time.Second}, {Held: 50, Idle: 10 * time.Second}, {Held: 1000, Idle: 0}, {Held: 1, Idle: time.Minute}}
	tests := []struct {
		excess int64
		want   []int
	}{
		{0, nil},
		{1, []int{1}},
		{50, []int{1}},
		{51, []int{1, 0}},
		{151, []int{1, 0, 3}},
		{152, []int{1, 0, 3, 2}},
		{5000, []int{1, 0, 3, 2}},
	}
	for _, tt := range tests {
		if got := Cut(callers, tt.excess); !slices.Equal(got, tt.want) {
			t.Errorf("%d bytes: cut %v, want %v", tt.excess, got, tt.want)
		}
	}
}
