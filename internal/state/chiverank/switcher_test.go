package chiverank

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
)

// fakeRank is the state of one rank.
type fakeRank struct {
	version, prepared, armed, armedPass int64
	highestVersion, highestToken        int64
	heldPass                            int64
}

// fakeGroup implements Ranks for a group in lockstep. It loses answers and
// applies orders late. It fails the test when a pass begins while two ranks use
// different maps.
type fakeGroup struct {
	t     *testing.T
	mu    sync.Mutex
	rng   *rand.Rand
	ranks []fakeRank
	pass  int64
	epoch int64
	// lossRate is the fraction of orders that are not answered, and are applied
	// late or never.
	lossRate float64
	// unfenced makes ranks ignore tokens.
	unfenced bool
	// pauseRate is the fraction of orders before which their sender stands still.
	pauseRate float64
	// doubleRate is the fraction of orders that are applied a second time later.
	doubleRate float64
	// idle makes the group begin passes only some of the time.
	idle bool
	// changes counts the switches of rank 0.
	changes int
	// mixed counts the passes that began with different maps. They fail the test unless
	// mayMix is set.
	mixed  int
	mayMix bool
	// lag is the age of reports, history the states since the start if it is not 0.
	lag     time.Duration
	history []fakeState
}

// fakeState is the state of a fakeGroup from a time on.
type fakeState struct {
	at    time.Time
	pass  int64
	ranks []fakeRank
}

func newFakeGroup(t *testing.T, seed uint64, ranks int, lossRate float64) *fakeGroup {
	g := &fakeGroup{t: t, rng: rand.New(rand.NewPCG(seed, 1)), ranks: make([]fakeRank, ranks), epoch: 1, lossRate: lossRate}
	for i := range g.ranks {
		g.ranks[i].heldPass = -1
	}
	return g
}

// run begins one pass per period, unless the group is held, until the context
// ends.
func (g *fakeGroup) run(ctx context.Context, period time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(period)
		if g.idle && time.Now().Unix()/2%3 != 0 {
			continue
		}
		g.beginPass()
	}
}

func (g *fakeGroup) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.record()
	next := g.pass + 1
	for i := range g.ranks {
		if g.ranks[i].heldPass == next {
			return
		}
	}
	g.pass = next
	for i := range g.ranks {
		if r := &g.ranks[i]; r.armed != 0 && r.armedPass == next {
			r.version, r.armed = r.armed, 0
			if i == 0 {
				g.changes++
			}
		}
	}
	for i := range g.ranks {
		if g.ranks[i].version == g.ranks[0].version {
			continue
		}
		g.mixed++
		if !g.mayMix {
			g.t.Errorf("pass %d begins with map %d on rank 0 and %d on rank %d", next, g.ranks[0].version, g.ranks[i].version, i)
		}
	}
}

// Order implements Ranks.Order.
func (g *fakeGroup) Order(ctx context.Context, m Member, o Order) error {
	g.mu.Lock()
	lost, late := g.rng.Float64() < g.lossRate, 2*time.Second+time.Duration(g.rng.Int64N(int64(10*time.Second)))
	never := g.rng.Float64() < 0.3
	doubled := g.doubleRate > 0 && g.rng.Float64() < g.doubleRate
	paused, pause := g.rng.Float64() < g.pauseRate, time.Duration(g.rng.Int64N(int64(8*time.Second)))
	g.mu.Unlock()
	if paused {
		time.Sleep(pause)
	}
	if doubled {
		time.AfterFunc(late/4, func() { _ = g.apply(m, o) })
	}
	if !lost {
		time.Sleep(2 * time.Millisecond)
		return g.apply(m, o)
	}
	if !never {
		time.AfterFunc(late, func() { _ = g.apply(m, o) })
	}
	<-ctx.Done()
	return ctx.Err()
}

// record adds the state to history. The caller holds mu.
func (g *fakeGroup) record() {
	if g.lag > 0 {
		g.history = append(g.history, fakeState{time.Now(), g.pass, slices.Clone(g.ranks)})
	}
}

func (g *fakeGroup) apply(m Member, o Order) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.record()
	r := &g.ranks[m.Rank]
	if o.Token < r.highestToken && !g.unfenced {
		return ErrFenced
	}
	if o.Epoch != g.epoch {
		return ErrConflict
	}
	r.highestToken = max(r.highestToken, o.Token)
	switch o.Op {
	case Prepare:
		return g.prepare(r, o)
	case Arm:
		return g.arm(r, o)
	case Disarm:
		if r.version == o.Version && o.Version != 0 {
			return ErrConflict
		}
		if r.armed == o.Version {
			r.armed = 0
		}
	case Hold:
		if g.pass >= o.Pass || r.heldPass >= 0 && r.heldPass != o.Pass {
			return ErrConflict
		}
		r.heldPass = o.Pass
	case Go:
		if r.heldPass != o.Pass {
			return ErrConflict
		}
		r.heldPass = -1
	}
	return nil
}

func (g *fakeGroup) prepare(r *fakeRank, o Order) error {
	if r.prepared == o.Version {
		return nil
	}
	if o.Version <= r.highestVersion || r.armed != 0 {
		return ErrConflict
	}
	r.highestVersion, r.prepared = o.Version, o.Version
	return nil
}

func (g *fakeGroup) arm(r *fakeRank, o Order) error {
	if r.armed == o.Version && r.armedPass == o.Pass {
		return nil
	}
	if r.prepared != o.Version || g.pass >= o.Pass {
		return ErrConflict
	}
	r.armed, r.armedPass = o.Version, o.Pass
	return nil
}

// Report implements Ranks.Report.
func (g *fakeGroup) Report(_ context.Context, m Member) (Report, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r, pass := g.ranks[m.Rank], g.pass
	if len(g.history) > 0 {
		i := len(g.history) - 1
		for i > 0 && time.Since(g.history[i].at) < g.lag {
			i--
		}
		r, pass = g.history[i].ranks[m.Rank], g.history[i].pass
	}
	return Report{
		Epoch: g.epoch, Rank: m.Rank, Open: true, Pass: pass, Map: r.version, Prepared: r.prepared, Armed: r.armed, Held: r.heldPass,
	}, nil
}

// fakeLease is held until lost is set.
type fakeLease struct {
	mu    sync.Mutex
	fence uint64
	lost  bool
}

// Held implements Lease.Held.
func (l *fakeLease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence, !l.lost
}

// Supersede implements Lease.Supersede.
func (l *fakeLease) Supersede(uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

func members(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: fmt.Sprint(i), Rank: i}
	}
	return list
}

func newSwitcher(g *fakeGroup, fence uint64) (*Switcher, *fakeLease) {
	lease := &fakeLease{fence: fence}
	layout := func(context.Context, []Member) ([][][]int, error) { return nil, nil }
	return &Switcher{Ranks: g, Lease: lease, Log: log.New(io.Discard), Group: "g", TokenSeq: new(int64), CurrentLayout: layout}, lease
}

// TestSwitch guards against passes with different maps and against groups that
// stay held. They could arise when orders are lost or arrive late, or when a new
// leaseholder starts while an older one is still in a change.
func TestSwitch(t *testing.T) {
	tests := []struct {
		give     string
		lossRate float64
		// replace starts a new switcher while the previous one may be in a change.
		replace bool
		// pauseRate is the fraction of orders before which the switcher is suspended.
		pauseRate float64
		// idle makes the group idle at times and doubles some orders: a late order may
		// then meet a later round before the same pass.
		idle bool
	}{
		{"no faults", 0, false, 0, false},
		{"orders are lost", 0.35, false, 0, false},
		{"switchers are replaced", 0, true, 0, false},
		{"orders are lost and switchers replaced", 0.35, true, 0, false},
		{"switchers are suspended and replaced", 0, true, 0.1, false},
		{"orders are lost and switchers suspended and replaced", 0.35, true, 0.1, false},
		{"idle group, switchers are replaced", 0, true, 0, true},
		{"idle group, orders are lost and switchers replaced", 0.35, true, 0, true},
		{"idle group, switchers are suspended and replaced", 0, true, 0.1, true},
	}
	for _, tt := range tests {
		for _, unfenced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unfenced %t", tt.give, unfenced), func(t *testing.T) {
				seeds := uint64(25)
				if tt.idle {
					seeds = 100
				}
				for seed := range seeds {
					synctest.Test(t, func(t *testing.T) {
						g := newFakeGroup(t, seed, 5, tt.lossRate)
						g.unfenced, g.pauseRate, g.idle = unfenced, tt.pauseRate, tt.idle
						if tt.idle {
							g.doubleRate = 0.4
						}
						testSwitches(t, g, seed, tt.replace)
					})
				}
			})
		}
	}
}

// TestSwitchInSmallGroups is TestSwitch with so few ranks that a rollback may find none to
// hold the group.
func TestSwitchInSmallGroups(t *testing.T) {
	tests := []struct {
		give     string
		lossRate float64
		// replace and pauseRate are as in TestSwitch.
		replace   bool
		pauseRate float64
	}{
		{"orders are lost", 0.35, false, 0},
		{"switchers are replaced", 0, true, 0},
		{"orders are lost and switchers replaced", 0.35, true, 0},
		{"switchers are suspended and replaced", 0, true, 0.1},
	}
	for _, tt := range tests {
		for _, ranks := range []int{2, 3} {
			for _, unfenced := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %d ranks, unfenced %t", tt.give, ranks, unfenced), func(t *testing.T) {
					for seed := range uint64(40) {
						synctest.Test(t, func(t *testing.T) {
							g := newFakeGroup(t, seed, ranks, tt.lossRate)
							g.unfenced, g.pauseRate = unfenced, tt.pauseRate
							testSwitches(t, g, seed, tt.replace)
						})
					}
				})
			}
		}
	}
}

func testSwitches(t *testing.T, g *fakeGroup, seed uint64, replace bool) {
	ranks := len(g.ranks)
	draw := rand.New(rand.NewPCG(seed, 2))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var switches, running sync.WaitGroup
	running.Go(func() { g.run(ctx, 40*time.Millisecond) })
	defer running.Wait()
	defer cancel()
	for fence := uint64(1); fence <= 6; fence++ {
		s, _ := newSwitcher(g, fence)
		recoverUntilSettled(ctx, t, s, ranks)
		done := make(chan struct{})
		switches.Go(func() {
			defer close(done)
			for range 2 {
				// A fenced switcher has been replaced, so it makes no further attempt.
				if _, err := s.Switch(ctx, members(ranks), 1, nil, 50*time.Millisecond, 0, false); errors.Is(err, ErrFenced) {
					return
				}
			}
		})
		if replace {
			time.Sleep(time.Duration(draw.Int64N(int64(800 * time.Millisecond))))
			continue
		}
		<-done
	}
	switches.Wait()
	s, _ := newSwitcher(g, 100)
	recoverUntilSettled(ctx, t, s, ranks)
	g.mu.Lock()
	before := g.pass
	g.mu.Unlock()
	time.Sleep(20 * time.Second)
	recoverUntilSettled(ctx, t, s, ranks)
	// Orders of the last recovery may be late, too, and hold an idle group again.
	for range 5 {
		if g.idle {
			time.Sleep(13 * time.Second)
			recoverUntilSettled(ctx, t, s, ranks)
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pass == before {
		t.Errorf("group does not advance after pass %d", before)
	}
	if !replace && g.changes == 0 {
		t.Error("map was never changed")
	}
}

// recoverUntilSettled calls Recover until the group is settled. It fails the test
// after 200 attempts.
func recoverUntilSettled(ctx context.Context, t *testing.T, s *Switcher, ranks int) {
	t.Helper()
	for range 200 {
		settled, _, err := s.Recover(ctx, members(ranks))
		if settled && err == nil {
			return
		}
		time.Sleep(150 * time.Millisecond)
	}
	t.Error("group was not settled after 200 attempts")
}

// TestSwitchWithoutLease checks that a switcher whose lease was lost sends no
// map change.
func TestSwitchWithoutLease(t *testing.T) {
	g := newFakeGroup(t, 1, 2, 0)
	s, lease := newSwitcher(g, 1)
	lease.lost = true
	if _, err := s.Switch(context.Background(), members(2), 1, nil, 0, 0, false); err == nil {
		t.Error("map was changed without the lease")
	}
}
