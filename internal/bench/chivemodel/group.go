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

// stream is a request at a rank.
type stream struct {
	asked  time.Duration
	prompt float64
	events int
	last   time.Duration
	late   bool
}

// play is one run.
type play struct {
	g    Group
	l    Load
	p    Policy
	draw *rand.Rand
	now  time.Duration
	// at holds the streams of each rank, those that run first.
	at    [][]*stream
	loads chivemap.Loads
	table *chivemap.Map
	pacer chivelimit.ConcurrencyLimiter
	out   Outcome
	// ready is when the next map is in use, and next that map.
	ready time.Duration
	next  *chivemap.Map
	seen  time.Duration
	paced time.Duration
}

// Simulate runs a load on a group under a policy.
func Simulate(g Group, l Load, p Policy) Outcome {
	r := &play{g: g, l: l, p: p, draw: rand.New(rand.NewPCG(l.Seed, 3)), at: make([][]*stream, g.Ranks)}
	r.table = chivemap.NewRoundRobin(g.Ranks, g.ExpertSlots, g.Experts, g.Layers)
	for range g.Layers {
		r.loads = append(r.loads, r.popularity())
	}
	arrival, shift := r.gap(), l.ShiftInterval
	passes := 0
	for r.now < l.Duration || r.busy() > 0 {
		for arrival <= r.now && arrival < l.Duration {
			r.arrive(arrival)
			arrival += r.gap()
		}
		if l.ShiftInterval > 0 && r.now >= shift {
			r.shift()
			r.seen, shift = r.now+p.DetectionDelay, shift+l.ShiftInterval
		}
		r.balance()
		if r.busy() == 0 {
			r.now = arrival
			continue
		}
		r.out.MeanSkew += r.pass()
		passes++
	}
	r.out.MeanSkew /= float64(max(1, passes))
	return r.out
}

func (r *play) gap() time.Duration {
	return time.Duration(r.draw.ExpFloat64() / r.l.Rate * float64(time.Second))
}

// popularity draws how much each expert of a layer is in demand.
func (r *play) popularity() []float64 {
	list := make([]float64, r.g.Experts)
	for i, e := range r.draw.Perm(r.g.Experts) {
		list[e] = math.Pow(float64(i+1), -1.1)
	}
	return list
}

func (r *play) shift() {
	for l := range r.loads {
		other := r.popularity()
		for e := range other {
			r.loads[l][e] = (1-r.l.ShiftFraction)*r.loads[l][e] + r.l.ShiftFraction*other[e]
		}
	}
}

func (r *play) busy() int {
	n := 0
	for _, list := range r.at {
		n += len(list)
	}
	return n
}

// arrive sends a request to the rank with the fewest, or refuses it.
func (r *play) arrive(at time.Duration) {
	r.out.Requests++
	best := 0
	for k := range r.at {
		if len(r.at[k]) < len(r.at[best]) {
			best = k
		}
	}
	limit := float64(r.g.RunningLimit)
	if r.p.LimitByPauses {
		limit = math.Ceil(r.pacer.Limit(r.g.RunningLimit))
	}
	if float64(len(r.at[best])) >= limit+1 {
		r.out.Refused++
		return
	}
	r.at[best] = append(r.at[best], &stream{
		asked: at, prompt: 1 + r.draw.ExpFloat64()*r.g.MeanPromptTokens, events: 1 + int(r.draw.ExpFloat64()*r.g.MeanEvents),
	})
}

// balance plans the next map and puts one that is ready in use.
func (r *play) balance() {
	if r.next != nil && r.now >= r.ready {
		r.table, r.next = r.next, nil
		r.out.MapChanges++
	}
	if r.next != nil || r.p.MaxNewExperts == 0 || r.now < r.seen {
		return
	}
	planner := chivemap.Planner{Tolerance: r.p.Tolerance, MaxNewExperts: r.p.MaxNewExperts, Horizon: 400, MoveCost: 0.25}
	next := planner.Plan(r.table, r.loads)
	if next == nil || next.StepSkew(r.loads) > 0.85*r.table.StepSkew(r.loads) {
		return
	}
	most := 0
	for k := range r.g.Ranks {
		most = max(most, r.copies(next, k))
	}
	r.out.ExpertCopies += r.table.Moves(next)
	r.next, r.ready = next, r.now+time.Duration(most)*r.g.CopyTime+100*time.Millisecond
}

// copies returns the experts that a rank lacks of a map.
func (r *play) copies(next *chivemap.Map, rank int) int {
	n := 0
	for l := range next.Layers {
		held := map[int]bool{}
		for _, e := range r.table.RankExperts(l, rank) {
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

// pass carries one pass out and returns the skew in it.
func (r *play) pass() float64 {
	var sum, most float64
	for k := range r.at {
		work := r.work(k)
		sum += work
		most = max(most, work)
	}
	skew := r.table.StepSkew(r.loads)
	mean := sum / float64(r.g.Ranks)
	length := float64(r.g.StepsPerPass)*float64(r.g.StepTime) + (1-r.g.ExpertFraction)*most + r.g.ExpertFraction*mean*skew
	if r.next != nil {
		length *= 1 + r.g.CopySlowdown
	}
	r.now += time.Duration(length)
	for k := range r.at {
		r.advance(k)
	}
	if r.p.LimitByPauses && r.now-r.paced > 200*time.Millisecond {
		r.paced = r.now
		floor := time.Duration(r.g.StepsPerPass) * r.g.StepTime
		r.pacer.EndInterval(r.l.MaxPause, floor, float64(r.busy())/float64(r.g.Ranks), r.g.RunningLimit)
	}
	return skew
}

// work returns the time that a rank's own requests take in one pass, alone.
func (r *play) work(rank int) float64 {
	var work float64
	left := float64(r.g.PrefillChunk * r.g.StepsPerPass)
	for i, s := range r.at[rank] {
		switch {
		case i >= r.g.RunningLimit:
		case s.prompt > 0:
			read := min(s.prompt, left)
			left -= read
			work += read / r.g.PrefillRate * float64(time.Second)
		default:
			work += float64(r.g.StepsPerPass) * float64(r.g.SequenceTime)
		}
	}
	return work
}

// advance moves the requests of a rank on by one pass.
func (r *play) advance(rank int) {
	left := float64(r.g.PrefillChunk * r.g.StepsPerPass)
	kept := r.at[rank][:0]
	for i, s := range r.at[rank] {
		if i < r.g.RunningLimit && r.step(s, &left) {
			r.end(s)
			continue
		}
		kept = append(kept, s)
	}
	r.at[rank] = kept
}

// step reads a part of the prompt or writes one event, and reports whether that
// was the last.
func (r *play) step(s *stream, left *float64) bool {
	if s.prompt > 0 {
		read := min(s.prompt, *left)
		s.prompt -= read
		*left -= read
		return false
	}
	if s.last == 0 {
		s.late = r.now-s.asked > r.l.FirstEventTarget
	} else {
		r.pacer.AddPause(r.now - s.last)
		s.late = s.late || r.now-s.last > r.l.MaxPause
	}
	s.last = r.now
	s.events--
	return s.events == 0
}

func (r *play) end(s *stream) {
	if s.late {
		r.out.Late++
		return
	}
	r.out.OnTime++
}
