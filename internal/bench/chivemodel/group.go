// Package chivemodel implements a model of the systems that the product serves: a
// group of model runners in lock-step under load, for experiments with policies
// that need no network.
package chivemodel

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivelimit"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivemap"
)

// A Group describes model runners that execute every pass together. Its zero
// values stand for the smaller of the users' fleets.
type Group struct {
	Ranks, RunningLimit, ExpertSlots int
	Layers, Experts                  int
	StepsPerPass                     int
	StepTime, SequenceTime           time.Duration
	PrefillRate                      float64
	PrefillChunk                     int
	ExpertFraction                   float64
	CopyTime                         time.Duration
	CopySlowdown                     float64
	MeanPromptTokens, MeanEvents     float64
}

// NewGroup returns the group of the smaller of the users' fleets.
func NewGroup() Group {
	return Group{
		Ranks: 16, RunningLimit: 12, ExpertSlots: 5, Layers: 4, Experts: 64, StepsPerPass: 4, StepTime: 4550 * time.Microsecond,
		SequenceTime: 905 * time.Microsecond, PrefillRate: 61400, PrefillChunk: 512, ExpertFraction: 0.85, CopyTime: 111 * time.Millisecond,
		CopySlowdown: 0.15, MeanPromptTokens: 835, MeanEvents: 24,
	}
}

// A Load is what callers ask of a group.
type Load struct {
	// Rate is the number of requests a second.
	Rate float64
	// Duration is how long requests come.
	Duration time.Duration
	// ShiftInterval is the time between two shifts of popularity, in which Part of it goes
	// to other experts; 0 means none.
	ShiftInterval time.Duration
	ShiftFraction float64
	// FirstEventTarget is the time to the first event, MaxPause the longest between two events,
	// for an answer that is on time.
	FirstEventTarget, MaxPause time.Duration
	Seed                       uint64
}

// A Policy is what is compared.
type Policy struct {
	// MaxNewExperts bounds the experts of a layer that one change of the map brings to a
	// rank; 0 keeps the first map.
	MaxNewExperts int
	// Tolerance is that of the planner.
	Tolerance float64
	// DetectionDelay is the time until a shift shows in the counts.
	DetectionDelay time.Duration
	// LimitByPauses limits requests by the pauses of streams.
	LimitByPauses bool
}

// An Outcome is what callers got.
type Outcome struct {
	Requests, OnTime, Late, Refused int
	// ExpertCopies counts experts that were copied, MapChanges changes of the map.
	ExpertCopies, MapChanges int
	// MeanSkew is the mean over all passes.
	MeanSkew float64
}

// Utility is the part of all worth that was earned, where a late answer earns half.
func (o *Outcome) Utility() float64 {
	return (float64(o.OnTime) + float64(o.Late)/2) / float64(max(1, o.Requests))
}

// request is a request at a rank.
type request struct {
	arrivedAt   time.Duration
	promptLeft  float64
	eventsLeft  int
	lastEventAt time.Duration
	late        bool
}

// simulation is one run.
type simulation struct {
	group  Group
	load   Load
	policy Policy
	rng    *rand.Rand
	now    time.Duration
	// queues holds the streams of each rank, those that run first.
	queues      [][]*request
	expertLoads chivemap.Loads
	currentMap  *chivemap.Map
	limiter     chivelimit.ConcurrencyLimiter
	outcome     Outcome
	// switchAt is when the next map is in use, and next that map.
	switchAt       time.Duration
	nextMap        *chivemap.Map
	planAfter      time.Duration
	limitUpdatedAt time.Duration
}

// Simulate runs a load on a group under a policy.
func Simulate(g Group, l Load, p Policy) Outcome {
	r := &simulation{group: g, load: l, policy: p, rng: rand.New(rand.NewPCG(l.Seed, 3)), queues: make([][]*request, g.Ranks)}
	r.currentMap = chivemap.NewRoundRobin(g.Ranks, g.ExpertSlots, g.Experts, g.Layers)
	for range g.Layers {
		r.expertLoads = append(r.expertLoads, r.drawPopularity())
	}
	arrival, shift := r.interarrival(), l.ShiftInterval
	passes := 0
	for r.now < l.Duration || r.inFlight() > 0 {
		for arrival <= r.now && arrival < l.Duration {
			r.admit(arrival)
			arrival += r.interarrival()
		}
		if l.ShiftInterval > 0 && r.now >= shift {
			r.shiftPopularity()
			r.planAfter, shift = r.now+p.DetectionDelay, shift+l.ShiftInterval
		}
		r.rebalance()
		if r.inFlight() == 0 {
			r.now = arrival
			continue
		}
		r.outcome.MeanSkew += r.runPass()
		passes++
	}
	r.outcome.MeanSkew /= float64(max(1, passes))
	return r.outcome
}

func (r *simulation) interarrival() time.Duration {
	return time.Duration(r.rng.ExpFloat64() / r.load.Rate * float64(time.Second))
}

// drawPopularity draws how much each expert of a layer is in demand.
func (r *simulation) drawPopularity() []float64 {
	list := make([]float64, r.group.Experts)
	for i, e := range r.rng.Perm(r.group.Experts) {
		list[e] = math.Pow(float64(i+1), -1.1)
	}
	return list
}

func (r *simulation) shiftPopularity() {
	for l := range r.expertLoads {
		other := r.drawPopularity()
		for e := range other {
			r.expertLoads[l][e] = (1-r.load.ShiftFraction)*r.expertLoads[l][e] + r.load.ShiftFraction*other[e]
		}
	}
}

func (r *simulation) inFlight() int {
	n := 0
	for _, list := range r.queues {
		n += len(list)
	}
	return n
}

// admit sends a request to the rank with the fewest, or refuses it.
func (r *simulation) admit(at time.Duration) {
	r.outcome.Requests++
	best := 0
	for k := range r.queues {
		if len(r.queues[k]) < len(r.queues[best]) {
			best = k
		}
	}
	limit := float64(r.group.RunningLimit)
	if r.policy.LimitByPauses {
		limit = math.Ceil(r.limiter.Limit(r.group.RunningLimit))
	}
	if float64(len(r.queues[best])) >= limit+1 {
		r.outcome.Refused++
		return
	}
	r.queues[best] = append(r.queues[best], &request{
		arrivedAt: at, promptLeft: 1 + r.rng.ExpFloat64()*r.group.MeanPromptTokens, eventsLeft: 1 + int(r.rng.ExpFloat64()*r.group.MeanEvents),
	})
}

// rebalance plans the next map and puts one that is ready in use.
func (r *simulation) rebalance() {
	if r.nextMap != nil && r.now >= r.switchAt {
		r.currentMap, r.nextMap = r.nextMap, nil
		r.outcome.MapChanges++
	}
	if r.nextMap != nil || r.policy.MaxNewExperts == 0 || r.now < r.planAfter {
		return
	}
	planner := chivemap.Planner{Tolerance: r.policy.Tolerance, MaxNewExperts: r.policy.MaxNewExperts, Horizon: 400, MoveCost: 0.25}
	next := planner.Plan(r.currentMap, r.expertLoads)
	if next == nil || next.StepSkew(r.expertLoads) > 0.85*r.currentMap.StepSkew(r.expertLoads) {
		return
	}
	most := 0
	for k := range r.group.Ranks {
		most = max(most, r.missingExperts(next, k))
	}
	r.outcome.ExpertCopies += r.currentMap.Moves(next)
	r.nextMap, r.switchAt = next, r.now+time.Duration(most)*r.group.CopyTime+100*time.Millisecond
}

// missingExperts returns the experts that a rank lacks of a map.
func (r *simulation) missingExperts(next *chivemap.Map, rank int) int {
	n := 0
	for l := range next.Layers {
		held := map[int]bool{}
		for _, e := range r.currentMap.RankExperts(l, rank) {
			held[e] = true
		}
		for _, e := range next.RankExperts(l, rank) {
			if !held[e] {
				n++
			}
		}
	}
	return n
}

// runPass carries one runPass out and returns the skew in it.
func (r *simulation) runPass() float64 {
	var sum, most float64
	for k := range r.queues {
		work := r.rankWork(k)
		sum += work
		most = max(most, work)
	}
	skew := r.currentMap.StepSkew(r.expertLoads)
	mean := sum / float64(r.group.Ranks)
	length := float64(r.group.StepsPerPass)*float64(r.group.StepTime) + (1-r.group.ExpertFraction)*most + r.group.ExpertFraction*mean*skew
	if r.nextMap != nil {
		length *= 1 + r.group.CopySlowdown
	}
	r.now += time.Duration(length)
	for k := range r.queues {
		r.advance(k)
	}
	if r.policy.LimitByPauses && r.now-r.limitUpdatedAt > 200*time.Millisecond {
		r.limitUpdatedAt = r.now
		floor := time.Duration(r.group.StepsPerPass) * r.group.StepTime
		r.limiter.EndInterval(r.load.MaxPause, floor, float64(r.inFlight())/float64(r.group.Ranks), r.group.RunningLimit)
	}
	return skew
}

// rankWork returns the time that a rank's own requests take in one pass, alone.
func (r *simulation) rankWork(rank int) float64 {
	var work float64
	left := float64(r.group.PrefillChunk * r.group.StepsPerPass)
	for i, s := range r.queues[rank] {
		switch {
		case i >= r.group.RunningLimit:
		case s.promptLeft > 0:
			read := min(s.promptLeft, left)
			left -= read
			work += read / r.group.PrefillRate * float64(time.Second)
		default:
			work += float64(r.group.StepsPerPass) * float64(r.group.SequenceTime)
		}
	}
	return work
}

// advance moves the requests of a rank on by one pass.
func (r *simulation) advance(rank int) {
	left := float64(r.group.PrefillChunk * r.group.StepsPerPass)
	kept := r.queues[rank][:0]
	for i, s := range r.queues[rank] {
		if i < r.group.RunningLimit && r.advanceRequest(s, &left) {
			r.finish(s)
			continue
		}
		kept = append(kept, s)
	}
	r.queues[rank] = kept
}

// advanceRequest reads a part of the prompt or writes one event, and reports whether that
// was the last.
func (r *simulation) advanceRequest(s *request, left *float64) bool {
	if s.promptLeft > 0 {
		read := min(s.promptLeft, *left)
		s.promptLeft -= read
		*left -= read
		return false
	}
	if s.lastEventAt == 0 {
		s.late = r.now-s.arrivedAt > r.load.FirstEventTarget
	} else {
		r.limiter.AddPause(r.now - s.lastEventAt)
		s.late = s.late || r.now-s.lastEventAt > r.load.MaxPause
	}
	s.lastEventAt = r.now
	s.eventsLeft--
	return s.eventsLeft == 0
}

func (r *simulation) finish(s *request) {
	if s.late {
		r.outcome.Late++
		return
	}
	r.outcome.OnTime++
}
