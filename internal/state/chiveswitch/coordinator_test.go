package chiveswitch

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

// rank is a fake rank that ignores fencing tokens.
type rank struct {
	expertMap string
	held      bool
}

// message is an order on its way to an agent. Reply is nil for a copy whose
// coordinator no longer waits.
type message struct {
	from  int
	order Order
	reply chan *Reply
}

// switcher changes a group's map as a coordinator does.
type switcher func(ctx context.Context, c *Coordinator, body []byte) error

func fenced(ctx context.Context, c *Coordinator, body []byte) error {
	view, err := c.Probe(ctx)
	if err != nil {
		return err
	}
	return c.Switch(ctx, view, body)
}

// naive orders the map to every rank without holding the group, as two-phase
// orders do.
func naive(ctx context.Context, c *Coordinator, body []byte) error {
	_, err := c.all(ctx, Order{Step: StepSet, Map: Digest(body)}, nil)
	return err
}

// world is a group with its agents, a network that delays, doubles and loses
// orders, and coordinators that take the lease from each other.
type world struct {
	t        *rapid.T
	naive    bool
	ranks    []rank
	gates    []Gate
	boots    uint64
	pending  []message
	mu       sync.Mutex
	arrived  []message
	holder   int
	fence    uint64
	running  map[int]bool
	known    map[int]*Coordinator
	finished chan int
	maps     int
	steps    int
}

// lease is the lease as one coordinator sees it.
type lease struct {
	w  *world
	id int
}

func (l lease) Held() (uint64, bool) { return l.w.fence, l.w.holder == l.id }

// orderer sends the orders of one coordinator.
type orderer struct {
	w  *world
	id int
}

func (o orderer) Order(ctx context.Context, order *Order) (*Reply, error) {
	m := message{from: o.id, order: *order, reply: make(chan *Reply, 1)}
	o.w.mu.Lock()
	o.w.arrived = append(o.w.arrived, m)
	o.w.mu.Unlock()
	select {
	case r := <-m.reply:
		if r == nil {
			return nil, errors.New("no answer")
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const worldRanks = 3

func newWorld(t *rapid.T, isNaive bool) *world {
	w := &world{t: t, naive: isNaive, fence: 1, running: map[int]bool{}, known: map[int]*Coordinator{}, finished: make(chan int, 16)}
	for range worldRanks {
		w.ranks = append(w.ranks, rank{})
		w.boots++
		w.gates = append(w.gates, Gate{Boot: w.boots})
	}
	return w
}

func (w *world) coordinator(id int) *Coordinator {
	if c := w.known[id]; c != nil {
		return c
	}
	c := &Coordinator{Group: "g", Orderer: orderer{w, id}, Lease: lease{w, id}}
	for i := range w.ranks {
		c.Endpoints = append(c.Endpoints, fmt.Sprint(i))
	}
	w.known[id] = c
	return c
}

// begin starts a switch by the leaseholder.
func (w *world) begin(ctx context.Context, s switcher) {
	id := w.holder
	if w.running[id] {
		return
	}
	w.running[id] = true
	w.maps++
	c := w.coordinator(id)
	body := fmt.Appendf(nil, "map %d", w.maps)
	go func() {
		_ = s(ctx, c, body)
		w.finished <- id
	}()
}

// execute carries an order out as an agent and its rank do.
func (w *world) execute(o *Order) *Reply {
	var i int
	_, _ = fmt.Sscan(o.Endpoint, &i)
	g, r := &w.gates[i], &w.ranks[i]
	reply := &Reply{Boot: g.Boot}
	if err := w.pass(g, o); err != nil {
		reply.Refused = err.Error()
		return reply
	}
	switch o.Step {
	case StepHold:
		r.held = true
	case StepSet:
		r.expertMap = o.Map
	case StepRelease:
		r.held = false
	}
	reply.Map, reply.Held, reply.Token = r.expertMap, r.held, g.Token()
	return reply
}

func (w *world) pass(g *Gate, o *Order) error {
	if w.naive {
		return nil
	}
	return g.Admit(o)
}

// step advances the group by one step, unless a rank is held.
func (w *world) step() {
	for _, r := range w.ranks {
		if r.held {
			return
		}
	}
	w.steps++
	for _, r := range w.ranks {
		if r.expertMap != w.ranks[0].expertMap {
			w.t.Fatalf("ranks use different maps in one step: %+v", w.ranks)
		}
	}
}

// restartRank begins a new incarnation of a rank, which waits held beside
// others that use a map.
func (w *world) restartRank(i int) {
	w.ranks[i] = rank{}
	for _, r := range w.ranks {
		w.ranks[i].held = w.ranks[i].held || r.expertMap != ""
	}
}

// deliver carries out one pending order: 0 in order, 1 with a lost reply, 2
// with a copy that stays on its way, 3 lost with a copy that stays.
func (w *world) deliver(i, how int) {
	m := w.pending[i]
	w.pending = append(w.pending[:i], w.pending[i+1:]...)
	var reply *Reply
	if how != 3 {
		reply = w.execute(&m.order)
	}
	if how >= 2 {
		w.pending = append(w.pending, message{from: m.from, order: m.order})
	}
	if how == 1 {
		reply = nil
	}
	if m.reply != nil {
		m.reply <- reply
	}
}

// quiesce waits until every coordinator waits for replies, and takes their
// orders in an order that does not depend on the scheduler.
func (w *world) quiesce() {
	synctest.Wait()
	slices.SortFunc(w.arrived, func(a, b message) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.order.Endpoint, b.order.Endpoint))
	})
	w.pending = append(w.pending, w.arrived...)
	w.arrived = nil
	w.collect()
}

func (w *world) collect() {
	for {
		select {
		case id := <-w.finished:
			w.running[id] = false
		default:
			return
		}
	}
}

// act takes one random action.
func (w *world) act(ctx context.Context, s switcher) {
	w.quiesce()
	t := w.t
	action := rapid.IntRange(0, 11).Draw(t, "action")
	switch {
	case action == 0:
		w.begin(ctx, s)
	case action == 1:
		w.holder = rapid.IntRange(0, 1).Draw(t, "holder")
		w.fence++
	case action == 2:
		w.boots++
		w.gates[rapid.IntRange(0, worldRanks-1).Draw(t, "agent")] = Gate{Boot: w.boots}
	case action == 3:
		w.restartRank(rapid.IntRange(0, worldRanks-1).Draw(t, "rank"))
	case action <= 5 || len(w.pending) == 0:
		w.step()
	default:
		how := max(0, rapid.IntRange(-6, 3).Draw(t, "how"))
		w.deliver(rapid.IntRange(0, len(w.pending)-1).Draw(t, "message"), how)
		w.step()
	}
}

func explore(t *rapid.T, s switcher, isNaive bool, actions int) {
	w := newWorld(t, isNaive)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		synctest.Wait()
	}()
	for range actions {
		w.act(ctx, s)
	}
	if !isNaive {
		w.settle(ctx, s)
	}
}

// settle ends all faults: every late order arrives, then one switch by a new
// leaseholder must let the group step under one map.
func (w *world) settle(ctx context.Context, s switcher) {
	w.deliverAll()
	w.holder = 2
	w.fence++
	w.begin(ctx, s)
	w.deliverAll()
	before := w.steps
	w.step()
	if w.steps == before {
		w.t.Fatalf("group does not step after a clean switch: %+v", w.ranks)
	}
}

func (w *world) deliverAll() {
	w.quiesce()
	for len(w.pending) > 0 {
		w.deliver(0, 0)
		w.step()
		w.quiesce()
	}
}

const exploreActions = 150

func TestSwitchNeverSplitsAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chiveseed.Check(t, func(t *rapid.T) { explore(t, fenced, false, exploreActions) })
	})
}

// TestNaiveSwitchSplitsAGroup shows that the world finds the fault that holding
// avoids.
func TestNaiveSwitchSplitsAGroup(t *testing.T) {
	split := false
	synctest.Test(t, func(*testing.T) {
		for seed := 0; seed < 50 && !split; seed++ {
			split = fails(func(t *rapid.T) { explore(t, naive, true, exploreActions) }, seed)
		}
	})
	if !split {
		t.Fatal("two-phase orders without holding did not split the group in 50 runs")
	}
}

// fails reports whether a property fails under an example of that seed.
func fails(property func(t *rapid.T), seed int) (failed bool) {
	defer func() {
		if recover() != nil {
			failed = true
		}
	}()
	rapid.Custom(func(t *rapid.T) int {
		property(t)
		return 0
	}).Example(seed)
	return false
}

// deliverUntil delivers orders that a coordinator waits for until one of that
// step to the last endpoint is next, and returns its position.
func (w *world) deliverUntil(step Step) int {
	last := fmt.Sprint(worldRanks - 1)
	for {
		w.quiesce()
		next := -1
		for i, m := range w.pending {
			if m.reply != nil && (next < 0 || m.order.Step != step || m.order.Endpoint != last) {
				next = i
			}
		}
		if next < 0 {
			w.t.Fatalf("no %s is on its way", step)
		}
		if o := w.pending[next].order; o.Step == step && o.Endpoint == last {
			return next
		}
		w.deliver(next, 0)
	}
}

// TestLateSetOfAnEarlierRound has an order to set a map time out, and arrive in
// the same leaseholder's next round between reading back and releasing.
func TestLateSetOfAnEarlierRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chiveseed.Check(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				synctest.Wait()
			}()
			w := newWorld(t, false)
			w.begin(ctx, fenced)
			const lostWithLateCopy = 3
			w.deliver(w.deliverUntil(StepSet), lostWithLateCopy)
			w.quiesce()
			w.begin(ctx, fenced)
			w.deliverUntil(StepRelease)
			for i, m := range w.pending {
				if m.reply == nil {
					w.deliver(i, 0)
					break
				}
			}
			w.deliverAll()
			w.step()
		})
	})
}
