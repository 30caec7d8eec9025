package chiverank

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// noticeTime is the time from the suspension of a holder until its successor has the
	// lease, quickNoticeTime the least one, and slowNoticeTime that without pulses.
	noticeTime      = 200 * time.Millisecond
	quickNoticeTime = 120 * time.Millisecond
	slowNoticeTime  = 750 * time.Millisecond
	// maxStandstill is the longest time for which callers accept that a group stands
	// because of one VM.
	maxStandstill = 500 * time.Millisecond
	passPeriod    = 40 * time.Millisecond
	// ordersOfSwitch is the number of orders of a change of five ranks.
	ordersOfSwitch = 12
)

// frozenRanks implements Ranks for a process that is suspended at its order number at.
type frozenRanks struct {
	*fakeGroup
	mu     sync.Mutex
	at     int
	orders int
	frozen chan struct{}
	woken  chan struct{}
}

func newFrozenRanks(g *fakeGroup, at int) *frozenRanks {
	return &frozenRanks{fakeGroup: g, at: at, frozen: make(chan struct{}), woken: make(chan struct{})}
}

// wait returns once the process runs.
func (f *frozenRanks) wait() {
	select {
	case <-f.frozen:
		<-f.woken
	default:
	}
}

// Order implements Ranks.Order.
func (f *frozenRanks) Order(ctx context.Context, m Member, o Order) error {
	f.mu.Lock()
	if f.orders++; f.orders == f.at {
		close(f.frozen)
	}
	f.mu.Unlock()
	f.wait()
	err := f.fakeGroup.Order(ctx, m, o)
	f.wait()
	return err
}

// Report implements Ranks.Report.
func (f *frozenRanks) Report(ctx context.Context, m Member) (Report, error) {
	f.wait()
	return f.fakeGroup.Report(ctx, m)
}

// takeover brings one holder about that is suspended in a change.
type takeover struct {
	// at is the order before which the holder is suspended, 1 for the first.
	at int
	// sleep is how long it is suspended, notice how long until successors act.
	sleep, notice time.Duration
	successors    int
	// lag is the age of reports.
	lag     time.Duration
	recover func(ctx context.Context, s *Switcher, members []Member) error
}

// play returns the longest time without a pass from the suspension on.
func (o takeover) play(ctx context.Context, g *fakeGroup) time.Duration {
	list := members(len(g.ranks))
	ranks := newFrozenRanks(g, o.at)
	holder, _ := newSwitcher(g, 1)
	holder.Ranks = ranks
	var told atomic.Pointer[Round]
	told.Store(&Round{})
	holder.OnHeld = func(r Round) { told.Store(&r) }
	var running sync.WaitGroup
	running.Go(func() { _, _ = holder.Switch(ctx, list, 1, nil, 50*time.Millisecond, 0, false) })
	<-ranks.frozen
	frozenAt := time.Now()
	standstill := g.watchPasses(ctx, 8*time.Second)
	running.Go(func() {
		time.Sleep(o.sleep)
		close(ranks.woken)
	})
	for i := range o.successors {
		running.Go(func() {
			time.Sleep(o.notice + time.Duration(i)*100*time.Millisecond)
			s, _ := newSwitcher(g, uint64(2+i))
			s.KnownRound = func() Round { return *told.Load() }
			s.SincePulse = func() time.Duration { return time.Since(frozenAt) }
			for range 60 {
				if o.recover(ctx, s, list) == nil {
					if time.Since(frozenAt) < o.sleep && g.lossRate+g.doubleRate == 0 && g.isHeld() {
						g.t.Errorf("order %d: a held group is taken for settled", o.at)
					}
					return
				}
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	running.Wait()
	return <-standstill
}

// isHeld reports whether a rank holds the group.
func (g *fakeGroup) isHeld() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(g.ranks, func(r fakeRank) bool { return r.heldPass >= 0 })
}

// watchPasses measures the longest time between two passes.
func (g *fakeGroup) watchPasses(ctx context.Context, d time.Duration) <-chan time.Duration {
	result := make(chan time.Duration, 1)
	go func() {
		var longest time.Duration
		begun, last := time.Now(), time.Now()
		pass := int64(-1)
		for ctx.Err() == nil && time.Since(begun) < d {
			g.mu.Lock()
			if g.pass != pass {
				pass, last = g.pass, time.Now()
			}
			g.mu.Unlock()
			longest = max(longest, time.Since(last))
			time.Sleep(5 * time.Millisecond)
		}
		result <- longest
	}()
	return result
}

// recoverGroup calls Recover until the group is settled.
func recoverGroup(ctx context.Context, s *Switcher, members []Member) error {
	settled, _, err := s.Recover(ctx, members)
	if err == nil && !settled {
		return Error.New("group is not settled")
	}
	return err
}

// rollBackGroup is a twin of Recover that always rolls back.
func rollBackGroup(ctx context.Context, s *Switcher, members []Member) error {
	reports, open, err := s.readGroup(ctx, members)
	if err != nil || !open || settledOrArmed(reports) {
		return err
	}
	return s.rollback(ctx, members, reports)
}

// completeUnchecked is a twin of Recover that completes any change that a rank has
// prepared.
func completeUnchecked(ctx context.Context, s *Switcher, members []Member) error {
	reports, open, err := s.readGroup(ctx, members)
	if err != nil || !open {
		return err
	}
	u := unfinished{Round: Round{Version: reports[0].Prepared, Pass: reports[0].Pass + leadPasses}, holder: members[0]}
	for i, r := range reports {
		if r.Held >= 0 {
			u.Pass, u.holder = r.Held, members[i]
		}
	}
	token, err := s.nextToken()
	if err != nil {
		return err
	}
	o := Order{Op: Arm, Token: token, Epoch: reports[0].Epoch, Version: u.Version, Pass: u.Pass}
	_ = s.orderAll(ctx, members, o, orderTimeout)
	o.Op = Go
	_ = s.orderUntilConfirmed(ctx, u.holder, o, confirmTimeout)
	return nil
}

// TestTakeover suspends a holder before each order of a change and lets it go on at a
// random time, not knowing of its successors. The load: all streams of a group stand
// while it is held. The group must go on in maxStandstill, and no pass may begin with two
// maps, also when orders are lost, late or doubled, tokens are not checked and two
// successors act at once.
func TestTakeover(t *testing.T) {
	tests := []struct {
		give       string
		lossRate   float64
		doubleRate float64
		successors int
		lag        time.Duration
	}{
		{"one successor", 0, 0, 1, 0},
		{"one successor, reports are late", 0, 0, 1, 200 * time.Millisecond},
		{"two successors", 0, 0, 2, 0},
		{"two successors, reports are late", 0, 0, 2, 200 * time.Millisecond},
		{"orders are doubled", 0, 0.5, 1, 0},
		{"orders are lost, late and doubled, two successors", 0.2, 0.3, 2, 0},
		{"the same, reports are late", 0.2, 0.3, 2, 200 * time.Millisecond},
	}
	for _, tt := range tests {
		for _, unfenced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, unfenced %t", tt.give, unfenced), func(t *testing.T) {
				for at := 1; at <= ordersOfSwitch; at++ {
					for seed := range uint64(6) {
						o := takeover{at: at, notice: noticeTime, successors: tt.successors, lag: tt.lag, recover: recoverGroup}
						if tt.lag > 0 && seed%2 == 0 {
							o.notice = quickNoticeTime
						}
						r := playTakeover(t, o, seed, tt.lossRate, tt.doubleRate, unfenced, false)
						if tt.lossRate == 0 && r.standstill > maxStandstill {
							t.Errorf("order %d, seed %d: group stood for %v", at, seed, r.standstill)
						}
						if !r.advances {
							t.Errorf("order %d, seed %d: group does not advance afterwards", at, seed)
						}
					}
				}
			})
		}
	}
}

type takeoverResult struct {
	standstill time.Duration
	advances   bool
	mixed      int
}

func playTakeover(t *testing.T, o takeover, seed uint64, lossRate, doubleRate float64, unfenced, mayMix bool) (r takeoverResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(t, seed, 5, lossRate)
		g.doubleRate, g.unfenced, g.mayMix, g.lag = doubleRate, unfenced, mayMix, o.lag
		draw := rand.New(rand.NewPCG(seed, 3))
		o.sleep = time.Duration(draw.Int64N(int64(1500 * time.Millisecond)))
		if seed%2 == 0 {
			o.sleep += 2 * time.Second
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { g.run(ctx, passPeriod) })
		r.standstill = o.play(ctx, g)
		// Late orders may hold the group again.
		time.Sleep(15 * time.Second)
		s, _ := newSwitcher(g, 9)
		for range 60 {
			if o.recover(ctx, s, members(5)) == nil {
				break
			}
			time.Sleep(150 * time.Millisecond)
		}
		g.mu.Lock()
		before := g.pass
		g.mu.Unlock()
		time.Sleep(time.Second)
		g.mu.Lock()
		r.advances, r.mixed = g.pass > before, g.mixed
		g.mu.Unlock()
		cancel()
		running.Wait()
	})
	return r
}

// TestTakeoverTwins shows what TestTakeover guards against: a group stands too long if its
// successor waits for the timeout of a peer and rolls back, and passes begin with two maps
// if it completes changes without a check.
func TestTakeoverTwins(t *testing.T) {
	var longest time.Duration
	mixed := 0
	for at := 1; at <= ordersOfSwitch; at++ {
		for seed := range uint64(6) {
			slow := takeover{at: at, notice: slowNoticeTime, successors: 1, recover: rollBackGroup}
			longest = max(longest, playTakeover(t, slow, seed, 0, 0, true, false).standstill)
			unchecked := takeover{at: at, notice: noticeTime, successors: 1, recover: completeUnchecked}
			mixed += playTakeover(t, unchecked, seed, 0, 0, true, true).mixed
		}
	}
	if longest <= maxStandstill {
		t.Errorf("group stood for %v with a slow rollback, want more than %v", longest, maxStandstill)
	}
	if mixed == 0 {
		t.Error("no pass began with two maps although changes were completed without a check")
	}
}

// TestFindUnfinished checks which reports show a change that can be completed.
func TestFindUnfinished(t *testing.T) {
	const version = int64(1)<<tokenSeqBits | 2
	list := members(4)
	holder := roundHolder(list, version, nil).Rank
	other := (holder + 1) % len(list)
	tests := []struct {
		give   string
		change func(reports []*Report)
		known  Round
		want   bool
	}{
		{"prepared, held and told", func([]*Report) {}, Round{version, 7}, true},
		{"prepared and held, not told", func([]*Report) {}, Round{}, false},
		{"prepared, held before another pass than told", func([]*Report) {}, Round{version, 9}, false},
		{"prepared and held, another version told", func([]*Report) {}, Round{version - 1, 7}, false},
		{"some are armed", func(r []*Report) { r[1].Armed = version }, Round{}, true},
		{"all are armed", func(r []*Report) {
			for i := range r {
				r[i].Armed = version
			}
		}, Round{}, true},
		{"not held", func(r []*Report) { r[holder].Held = -1 }, Round{version, 7}, false},
		{"held by another rank as well", func(r []*Report) { r[other].Held = 7 }, Round{version, 7}, false},
		{"held by another rank only", func(r []*Report) { r[holder].Held, r[other].Held = -1, 7 }, Round{version, 7}, false},
		{"one is not prepared", func(r []*Report) { r[2].Prepared = version - 1 }, Round{version, 7}, false},
		{"one is armed for another version", func(r []*Report) { r[2].Armed = version - 1 }, Round{version, 7}, false},
		{"already in use", func(r []*Report) {
			for i := range r {
				r[i].Map = version
			}
		}, Round{version, 7}, false},
		{"maps differ", func(r []*Report) { r[2].Map = 5 }, Round{version, 7}, false},
		{"nothing prepared", func(r []*Report) {
			for i := range r {
				r[i].Prepared = 0
			}
		}, Round{version, 7}, false},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			reports := make([]*Report, len(list))
			for i := range reports {
				reports[i] = &Report{Epoch: 1, Rank: i, Open: true, Pass: 6, Prepared: version, Held: -1}
			}
			reports[holder].Held = 7
			tt.change(reports)
			u, got := findUnfinished(list, reports, tt.known)
			if got != tt.want || got && (u.Version != version || u.Pass != 7 || u.holder.Rank != holder) {
				t.Errorf("got %+v, %t, want %t", u, got, tt.want)
			}
		})
	}
}

// holdRecorder implements Ranks and records the ranks that hold the group.
type holdRecorder struct {
	*fakeGroup
	held []int
	// pass is the pass before which the group was held last.
	pass int64
}

// Order implements Ranks.Order.
func (h *holdRecorder) Order(ctx context.Context, m Member, o Order) error {
	if o.Op == Hold {
		h.held, h.pass = append(h.held, m.Rank), o.Pass
	}
	return h.fakeGroup.Order(ctx, m, o)
}

// TestLateGoAfterRollback guards against a Go of a change that was rolled back, which
// arrives while the next change holds the same idle group: that change must hold it by
// another rank, and before a pass that no earlier change can have chosen.
func TestLateGoAfterRollback(t *testing.T) {
	for held := range 5 {
		synctest.Test(t, func(t *testing.T) {
			g := newFakeGroup(t, 1, 5, 0)
			g.ranks[held].heldPass = 1
			h := &holdRecorder{fakeGroup: g}
			s, _ := newSwitcher(g, 2)
			s.Ranks = h
			if _, _, err := s.Recover(context.Background(), members(5)); err != nil {
				t.Fatal(err)
			}
			h.held = nil
			if _, err := s.Switch(context.Background(), members(5), 1, nil, 0, slowPassTime, false); err != nil {
				t.Fatal(err)
			}
			if len(h.held) != 1 || h.held[0] == held {
				t.Errorf("change holds the group by ranks %v, want one other than %d", h.held, held)
			}
			if h.pass <= maxLeadPasses {
				t.Errorf("change holds the group before pass %d, which an earlier one may have chosen in pass 0", h.pass)
			}
		})
	}
}

// TestLeadFor checks how many passes a change leaves for a takeover.
func TestLeadFor(t *testing.T) {
	tests := []struct {
		passTime time.Duration
		urgent   bool
		want     int64
	}{
		{0, false, leadPasses},
		{10 * time.Millisecond, false, maxLeadPasses},
		{75 * time.Millisecond, false, 3},
		{75 * time.Millisecond, true, leadPasses},
		{90 * time.Millisecond, false, leadPasses},
		{slowPassTime, false, slowLeadPasses},
		{slowPassTime, true, slowLeadPasses},
		{time.Second, false, 1},
	}
	for _, tt := range tests {
		if got := leadFor(tt.passTime, tt.urgent); got != tt.want {
			t.Errorf("passes of %v, urgent %t: lead is %d, want %d", tt.passTime, tt.urgent, got, tt.want)
		}
	}
}

// TestRollbackHolder checks that no rollback holds the group by the rank of the change that
// it rolls back, also if its report does not show its hold yet: the next successor would
// complete that change. In small groups a rollback may have to fail.
func TestRollbackHolder(t *testing.T) {
	const first, second = int64(1)<<tokenSeqBits | 1, int64(2)<<tokenSeqBits | 3
	for size := 2; size <= 6; size++ {
		list := members(size)
		a, b := roundHolder(list, first, nil), roundHolder(list, second, nil)
		for token := int64(3) << tokenSeqBits; token < 3<<tokenSeqBits+7; token++ {
			reports := make([]*Report, size)
			for i := range reports {
				reports[i] = &Report{Map: first, Prepared: first, Held: -1}
			}
			reports[size-1].Prepared = second
			m, err := rollbackHolder(list, token, nil, reports)
			if err != nil || m == b {
				t.Errorf("%d ranks, token %d: held by %v, %v, want another than %v", size, token, m, err, b)
			}
			for i := range reports {
				reports[i].Map = 0
			}
			m, err = rollbackHolder(list, token, nil, reports)
			if wantErr := size == 2 && a != b; wantErr != (err != nil) || err == nil && (m == a || m == b) {
				t.Errorf("%d ranks, token %d: held by %v, %v, want another than %v and %v", size, token, m, err, a, b)
			}
			for i := range reports {
				reports[i].Prepared = second
			}
			held := slices.DeleteFunc(slices.Clone(list), func(m Member) bool { return m == b })
			if m, err := rollbackHolder(list, token, held, reports); err == nil {
				t.Errorf("%d ranks, token %d: held by %v, want an error", size, token, m)
			}
		}
	}
}

// staleView is the view of a successor whose first reports do not show the hold of the
// rank holder and that the rank unseen is armed, whose order to disarm the rank late is
// carried out late, and which is suspended at its orders to disarm.
type staleView struct {
	*fakeGroup
	holder, unseen, late int
	mu                   sync.Mutex
	reads                int
	lateOrders           []Order
}

// Report implements Ranks.Report.
func (v *staleView) Report(ctx context.Context, m Member) (Report, error) {
	r, err := v.fakeGroup.Report(ctx, m)
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.reads++; v.reads <= len(v.ranks) {
		if m.Rank == v.holder {
			r.Held = -1
		}
		if m.Rank == v.unseen {
			r.Armed = 0
		}
	}
	return r, err
}

// Order implements Ranks.Order.
func (v *staleView) Order(ctx context.Context, m Member, o Order) error {
	if o.Op != Disarm {
		return v.fakeGroup.Order(ctx, m, o)
	}
	if m.Rank == v.late {
		v.mu.Lock()
		v.lateOrders = append(v.lateOrders, o)
		v.mu.Unlock()
	} else {
		_ = v.fakeGroup.Order(ctx, m, o)
	}
	time.Sleep(time.Hour)
	return context.Canceled
}

// lateList returns the orders that are late.
func (v *staleView) lateList() []Order {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.lateOrders)
}

// TestSuspendedRollback suspends a successor in a rollback of a change whose hold its
// reports did not show. The next one must not complete that change, since a late order of
// the rollback would then disarm one rank.
func TestSuspendedRollback(t *testing.T) {
	for seq := range int64(5) {
		synctest.Test(t, func(t *testing.T) {
			const version = int64(1)<<tokenSeqBits | 1
			list := members(5)
			g := newFakeGroup(t, 1, len(list), 0)
			g.unfenced, g.pass = true, 6
			holder := roundHolder(list, version, nil).Rank
			for i := range g.ranks {
				g.ranks[i] = fakeRank{prepared: version, highestVersion: version, armed: version, armedPass: 7, heldPass: -1}
			}
			g.ranks[holder].heldPass = 7
			second, _ := newSwitcher(g, 2)
			*second.TokenSeq = seq
			view := &staleView{fakeGroup: g, holder: holder, unseen: (holder + 1) % 5, late: (holder + 2) % 5}
			second.Ranks = view
			ctx, cancel := context.WithCancel(context.Background())
			var running sync.WaitGroup
			running.Go(func() { _, _, _ = second.Recover(ctx, list) })
			time.Sleep(200 * time.Millisecond)
			late := view.lateList()
			if len(late) != 1 {
				t.Errorf("%d orders are late, want 1", len(late))
			}
			third, _ := newSwitcher(g, 3)
			third.OnTakeover = func(o Takeover) {
				if o.Completed {
					t.Error("change was completed while it is rolled back")
				}
			}
			if _, _, err := third.Recover(ctx, list); err != nil {
				t.Error(err)
			}
			for _, o := range late {
				_ = g.apply(list[view.late], o)
			}
			g.beginPass()
			cancel()
			running.Wait()
		})
	}
}

// refusingRanks implements Ranks; one rank refuses to be armed, and orders to go are counted.
type refusingRanks struct {
	*fakeGroup
	refusing int
	released atomic.Int64
}

// Order implements Ranks.Order.
func (r *refusingRanks) Order(ctx context.Context, m Member, o Order) error {
	if o.Op == Arm && m.Rank == r.refusing {
		return ErrConflict
	}
	if o.Op == Go {
		r.released.Add(1)
	}
	return r.fakeGroup.Order(ctx, m, o)
}

// TestCompleteNeedsAllArmed checks that a completion does not release the group if one rank
// could not be armed: its pass would begin with two maps.
func TestCompleteNeedsAllArmed(t *testing.T) {
	const version = int64(1)<<tokenSeqBits | 1
	list := members(5)
	holder := roundHolder(list, version, nil)
	for refusing := range list {
		g := newFakeGroup(t, 1, len(list), 0)
		g.pass = 6
		for i := range g.ranks {
			g.ranks[i].prepared, g.ranks[i].highestVersion = version, version
		}
		g.ranks[holder.Rank].heldPass = 7
		ranks := &refusingRanks{fakeGroup: g, refusing: refusing}
		s, _ := newSwitcher(g, 2)
		s.Ranks = ranks
		u := unfinished{Round: Round{Version: version, Pass: 7}, holder: holder}
		if err := s.complete(context.Background(), list, 1, u); err == nil || ranks.released.Load() != 0 || !g.isHeld() {
			t.Errorf("rank %d is not armed: error %v, %d releases, held %t", refusing, err, ranks.released.Load(), g.isHeld())
		}
	}
}

// failingRanks implements Ranks; every order with one of the ops fails.
type failingRanks struct {
	*fakeGroup
	ops []Op
}

// Order implements Ranks.Order.
func (f *failingRanks) Order(ctx context.Context, m Member, o Order) error {
	if slices.Contains(f.ops, o.Op) {
		return ErrFenced
	}
	return f.fakeGroup.Order(ctx, m, o)
}

// TestWatchTellsRelease checks that a watch ends as released only if the group was.
func TestWatchTellsRelease(t *testing.T) {
	tests := []struct {
		give string
		ops  []Op
		// want is whether the watches end as released, held whether the group is held.
		want, held bool
	}{
		{"change succeeds", nil, true, false},
		{"hold fails, may come late", []Op{Hold}, false, false},
		{"arm fails, rollback succeeds", []Op{Arm}, true, false},
		{"arm and rollback fail", []Op{Arm, Go}, false, true},
		{"release fails", []Op{Go}, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newFakeGroup(t, 1, 5, 0)
				s, _ := newSwitcher(g, 1)
				s.Ranks = &failingRanks{g, tt.ops}
				var released []bool
				s.Watch = func() func(bool) {
					return func(ok bool) { released = append(released, ok) }
				}
				_, _ = s.Switch(context.Background(), members(5), 1, nil, 0, 0, false)
				if len(released) == 0 || slices.Contains(released, !tt.want) {
					t.Errorf("watches ended as released: %v, want %t", released, tt.want)
				}
				if held := g.isHeld(); held != tt.held {
					t.Errorf("held afterwards: %t, want %t", held, tt.held)
				}
			})
		})
	}
}

// TestBlockedRollback checks that a group in which each rank may belong to the round of a
// change is not rolled back at once, but does not stand for good either.
func TestBlockedRollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const version = int64(1)<<tokenSeqBits | 1
		list := members(2)
		g := newFakeGroup(t, 1, len(list), 0)
		for i := range g.ranks {
			g.ranks[i] = fakeRank{prepared: version, highestVersion: version, heldPass: 1}
		}
		s, _ := newSwitcher(g, 2)
		begun := time.Now()
		for g.isHeld() {
			if _, _, err := s.Recover(context.Background(), list); err == nil && time.Since(begun) < blockedTime {
				t.Fatalf("group is rolled back after %v", time.Since(begun))
			}
			if time.Since(begun) > 2*blockedTime {
				t.Fatal("group stands for good")
			}
			time.Sleep(150 * time.Millisecond)
		}
	})
}
