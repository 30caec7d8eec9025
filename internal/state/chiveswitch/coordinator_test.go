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

// fakeRank is a rank whose engine ignores fencing tokens.
type fakeRank struct {
	expertMap string
	held      bool
}

// message is an order in flight to an agent. Its reply channel is nil for a
// duplicate, for which no coordinator waits.
type message struct {
	from  int
	order Order
	reply chan *Reply
}

// switchFunc switches the map of a group.
type switchFunc func(ctx context.Context, c *Coordinator, body []byte) error

// fencedSwitch switches the map by the orders under test.
func fencedSwitch(ctx context.Context, c *Coordinator, body []byte) error {
	probe, err := c.Probe(ctx)
	if err != nil {
		return err
	}
	return c.Switch(ctx, probe, body)
}

// unheldSwitch sets the map on every rank without holding the group, as a
// two-phase protocol does.
func unheldSwitch(ctx context.Context, c *Coordinator, body []byte) error {
	_, err := c.broadcast(ctx, Order{Step: StepSet, Map: Digest(body)}, nil)
	return err
}

// simulation is a group with its agents, a network that delays, duplicates and
// loses orders, and coordinators that take the lease over from each other.
type simulation struct {
	t        *rapid.T
	noGates  bool
	ranks    []fakeRank
	gates    []Gate
	lastBoot uint64
	// inFlight holds the orders that deliver may choose from.
	inFlight []message
	// mu guards sent, the orders sent since the last call of quiesce.
	mu   sync.Mutex
	sent []message
	// holder is the coordinator that holds the lease, and fence its token.
	holder int
	fence  uint64
	// running holds the coordinators that are switching a map.
	running      map[int]bool
	coordinators map[int]*Coordinator
	finished     chan int
	// maps is the number of maps created, passes the number of forward passes that
	// the group ran.
	maps   int
	passes int
}

// lease is the lease as seen by the coordinator with the given id.
type lease struct {
	s  *simulation
	id int
}

func (l lease) Held() (uint64, bool) { return l.s.fence, l.s.holder == l.id }

// orderer sends the orders of the coordinator with the given id.
type orderer struct {
	s  *simulation
	id int
}

func (o orderer) Order(ctx context.Context, order *Order) (*Reply, error) {
	m := message{from: o.id, order: *order, reply: make(chan *Reply, 1)}
	o.s.mu.Lock()
	o.s.sent = append(o.s.sent, m)
	o.s.mu.Unlock()
	select {
	case r := <-m.reply:
		if r == nil {
			return nil, errors.New("order or reply was lost")
		}
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const simulatedRanks = 3

func newSimulation(t *rapid.T, noGates bool) *simulation {
	s := &simulation{t: t, noGates: noGates, fence: 1, running: map[int]bool{}, coordinators: map[int]*Coordinator{}, finished: make(chan int, 16)}
	for range simulatedRanks {
		s.ranks = append(s.ranks, fakeRank{})
		s.lastBoot++
		s.gates = append(s.gates, Gate{Boot: s.lastBoot})
	}
	return s
}

func (s *simulation) coordinator(id int) *Coordinator {
	if c := s.coordinators[id]; c != nil {
		return c
	}
	c := &Coordinator{Group: "g", Orderer: orderer{s, id}, Lease: lease{s, id}}
	for i := range s.ranks {
		c.Endpoints = append(c.Endpoints, fmt.Sprint(i))
	}
	s.coordinators[id] = c
	return c
}

// begin starts a switch to a new map by the leaseholder, unless one is running.
func (s *simulation) begin(ctx context.Context, switchMap switchFunc) {
	id := s.holder
	if s.running[id] {
		return
	}
	s.running[id] = true
	s.maps++
	c := s.coordinator(id)
	body := fmt.Appendf(nil, "map %d", s.maps)
	go func() {
		_ = switchMap(ctx, c, body)
		s.finished <- id
	}()
}

// execute carries out an order as an agent and its rank do.
func (s *simulation) execute(o *Order) *Reply {
	var i int
	_, _ = fmt.Sscan(o.Endpoint, &i)
	g, r := &s.gates[i], &s.ranks[i]
	reply := &Reply{Boot: g.Boot}
	if err := s.admit(g, o); err != nil {
		reply.Refused = err.Error()
		return reply
	}
	switch o.Step {
	case StepHold:
		r.held = true
	case StepSet:
		r.expertMap = o.Map
	case StepRelease:
		if o.Map != "" && r.expertMap != o.Map {
			reply.Refused = "rank uses another map"
			return reply
		}
		r.held = false
	}
	reply.Map, reply.Held, reply.Token = r.expertMap, r.held, g.Token()
	return reply
}

// admit asks the agent's gate, unless the simulation has no gates.
func (s *simulation) admit(g *Gate, o *Order) error {
	if s.noGates {
		return nil
	}
	return g.Admit(o)
}

// runPass runs one forward pass of the group, unless a rank is held. It fails the
// test if the ranks use different maps.
func (s *simulation) runPass() {
	for _, r := range s.ranks {
		if r.held {
			return
		}
	}
	s.passes++
	for _, r := range s.ranks {
		if r.expertMap != s.ranks[0].expertMap {
			s.t.Fatalf("ranks use different maps in one forward pass: %+v", s.ranks)
		}
	}
}

// restartRank begins a new incarnation of a rank. It starts held if any rank uses
// a map, so that no forward pass runs without one.
func (s *simulation) restartRank(i int) {
	s.ranks[i] = fakeRank{}
	for _, r := range s.ranks {
		s.ranks[i].held = s.ranks[i].held || r.expertMap != ""
	}
}

// deliver delivers the order at index i of those in flight. Outcome 0 delivers
// the order and its reply, 1 loses the reply, 2 leaves a duplicate in flight, and
// 3 loses the order but leaves a duplicate in flight.
func (s *simulation) deliver(i, outcome int) {
	m := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
	var reply *Reply
	if outcome != 3 {
		reply = s.execute(&m.order)
	}
	if outcome >= 2 {
		s.inFlight = append(s.inFlight, message{from: m.from, order: m.order})
	}
	if outcome == 1 {
		reply = nil
	}
	if m.reply != nil {
		m.reply <- reply
	}
}

// quiesce waits until every coordinator is blocked, and then puts the sent orders
// in flight, sorted so that the result doesn't depend on the scheduler.
func (s *simulation) quiesce() {
	synctest.Wait()
	slices.SortFunc(s.sent, func(a, b message) int {
		return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.order.Endpoint, b.order.Endpoint))
	})
	s.inFlight = append(s.inFlight, s.sent...)
	s.sent = nil
	s.collect()
}

// collect marks the coordinators whose switch has ended as idle.
func (s *simulation) collect() {
	for {
		select {
		case id := <-s.finished:
			s.running[id] = false
		default:
			return
		}
	}
}

// act takes one random action: a new switch, a new leaseholder, the restart of an
// agent or of a rank, a forward pass, or a delivery.
func (s *simulation) act(ctx context.Context, switchMap switchFunc) {
	s.quiesce()
	t := s.t
	action := rapid.IntRange(0, 11).Draw(t, "action")
	switch {
	case action == 0:
		s.begin(ctx, switchMap)
	case action == 1:
		s.holder = rapid.IntRange(0, 1).Draw(t, "holder")
		s.fence++
	case action == 2:
		s.lastBoot++
		s.gates[rapid.IntRange(0, simulatedRanks-1).Draw(t, "agent")] = Gate{Boot: s.lastBoot}
	case action == 3:
		s.restartRank(rapid.IntRange(0, simulatedRanks-1).Draw(t, "rank"))
	case action <= 5 || len(s.inFlight) == 0:
		s.runPass()
	default:
		outcome := max(0, rapid.IntRange(-6, 3).Draw(t, "outcome"))
		s.deliver(rapid.IntRange(0, len(s.inFlight)-1).Draw(t, "message"), outcome)
		s.runPass()
	}
}

// explore takes random actions. With gates it then checks that the group recovers.
func explore(t *rapid.T, switchMap switchFunc, noGates bool, actions int) {
	s := newSimulation(t, noGates)
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		synctest.Wait()
	}()
	for range actions {
		s.act(ctx, switchMap)
	}
	if !noGates {
		s.settle(ctx, switchMap)
	}
}

// settle ends all faults: it delivers all orders in flight. Then one switch by a
// new leaseholder must let the group run a forward pass.
func (s *simulation) settle(ctx context.Context, switchMap switchFunc) {
	s.deliverAll()
	s.holder = 2
	s.fence++
	s.begin(ctx, switchMap)
	s.deliverAll()
	before := s.passes
	s.runPass()
	if s.passes == before {
		s.t.Fatalf("group runs no forward pass after a switch without faults: %+v", s.ranks)
	}
}

// deliverAll delivers all orders until none is in flight.
func (s *simulation) deliverAll() {
	s.quiesce()
	for len(s.inFlight) > 0 {
		s.deliver(0, 0)
		s.runPass()
		s.quiesce()
	}
}

const exploreActions = 150

// TestSwitchKeepsOneMapPerPass guards against forward passes in which ranks use
// different maps. They could arise when orders are lost, delayed or duplicated, when
// agents or ranks restart, or when the lease changes hands during a switch.
func TestSwitchKeepsOneMapPerPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chiveseed.Check(t, func(t *rapid.T) { explore(t, fencedSwitch, false, exploreActions) })
	})
}

// TestSwitchWithoutHoldMixesMaps checks that the simulation detects the fault that
// holding the group avoids: ranks that use different maps in one forward pass.
func TestSwitchWithoutHoldMixesMaps(t *testing.T) {
	mixed := false
	synctest.Test(t, func(*testing.T) {
		for seed := 0; seed < 50 && !mixed; seed++ {
			mixed = fails(func(t *rapid.T) { explore(t, unheldSwitch, true, exploreActions) }, seed)
		}
	})
	if !mixed {
		t.Fatal("switches without holding the group never mixed maps in 50 runs")
	}
}

// fails reports whether a property fails for the example with the given seed.
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

// deliverUntil delivers the orders that coordinators wait for until only the order
// of the given step to the last endpoint is left. It returns the index of that
// order.
func (s *simulation) deliverUntil(step Step) int {
	last := fmt.Sprint(simulatedRanks - 1)
	for {
		s.quiesce()
		next := -1
		for i, m := range s.inFlight {
			if m.reply != nil && (next < 0 || m.order.Step != step || m.order.Endpoint != last) {
				next = i
			}
		}
		if next < 0 {
			s.t.Fatalf("no %s order is in flight", step)
		}
		if o := s.inFlight[next].order; o.Step == step && o.Endpoint == last {
			return next
		}
		s.deliver(next, 0)
	}
}

// TestLateSetOfEarlierRound guards against accepting an order of an earlier round
// of the same leaseholder: an order to set a map is lost, and its duplicate
// arrives in the next round between reading back and releasing.
func TestLateSetOfEarlierRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chiveseed.Check(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				synctest.Wait()
			}()
			s := newSimulation(t, false)
			s.begin(ctx, fencedSwitch)
			const loseButDuplicate = 3
			s.deliver(s.deliverUntil(StepSet), loseButDuplicate)
			s.quiesce()
			s.begin(ctx, fencedSwitch)
			s.deliverUntil(StepRelease)
			for i, m := range s.inFlight {
				if m.reply == nil {
					s.deliver(i, 0)
					break
				}
			}
			s.deliverAll()
			s.runPass()
		})
	})
}

// TestRankRestartBeforeRelease guards against releasing a rank that has lost its
// map: a rank restarts after the map was read back from it, and starts held
// because its peers use a map, before the order to release it arrives.
func TestRankRestartBeforeRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chiveseed.Check(t, func(t *rapid.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer func() {
				cancel()
				synctest.Wait()
			}()
			s := newSimulation(t, false)
			s.begin(ctx, fencedSwitch)
			s.deliverUntil(StepRelease)
			s.restartRank(rapid.IntRange(0, simulatedRanks-1).Draw(t, "rank"))
			s.deliverAll()
			s.settle(ctx, fencedSwitch)
		})
	})
}
