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
	Ranks, Slots, Places  int
	Layers, Experts       int
	Stride                int
	Step, PerSequence     time.Duration
	ReadRate              float64
	Chunk                 int
	ExpertShare           float64
	Copy                  time.Duration
	CopyDrag              float64
	MeanPrompt, MeanEvent float64
}

// NewGroup returns the group of the smaller of the users' fleets.
func NewGroup() Group {
	return Group{
		Ranks: 16, Slots: 12, Places: 5, Layers: 4, Experts: 64, Stride: 4, Step: 4550 * time.Microsecond,
		PerSequence: 905 * time.Microsecond, ReadRate: 61400, Chunk: 512, ExpertShare: 0.85, Copy: 111 * time.Millisecond,
		CopyDrag: 0.15, MeanPrompt: 835, MeanEvent: 24,
	}
}

// A Load is what callers ask of a group.
type Load struct {
	// Rate is the number of requests a second.
	Rate float64
	// Time is how long requests come.
	Time time.Duration
	// Shift is the time between two shifts of popularity, in which Part of it goes
	// to other experts; 0 means none.
	Shift time.Duration
	Part  float64
	// Goal is the time to the first event, Pause the longest between two events,
	// for an answer that is on time.
	Goal, Pause time.Duration
	Seed        uint64
}

// A Policy is what is compared.
type Policy struct {
	// MaxNew bounds the experts of a layer that one change of the map brings to a
	// rank; 0 keeps the first map.
	MaxNew int
	// Tolerance is that of the planner.
	Tolerance float64
	// Notice is the time until a shift shows in the counts.
	Notice time.Duration
	// Paced limits requests by the pauses of streams.
	Paced bool
}

// An Outcome is what callers got.
type Outcome struct {
	Asked, OnTime, Late, Refused int
	// Copies counts experts that were copied, Changes changes of the map.
	Copies, Changes int
	// Skew is the mean over all passes.
	Skew float64
}

// Worth is the part of all worth that was earned, where a late answer earns half.
func (o *Outcome) Worth() float64 {
	return (float64(o.OnTime) + float64(o.Late)/2) / float64(max(1, o.Asked))
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

// Play runs a load on a group under a policy.
func Play(g Group, l Load, p Policy) Outcome {
	r := &play{g: g, l: l, p: p, draw: rand.New(rand.NewPCG(l.Seed, 3)), at: make([][]*stream, g.Ranks)}
	r.table = chivemap.NewRoundRobin(g.Ranks, g.Places, g.Experts, g.Layers)
	for range g.Layers {
		r.loads = append(r.loads, r.popularity())
	}
	arrival, shift := r.gap(), l.Shift
	passes := 0
	for r.now < l.Time || r.busy() > 0 {
		for arrival <= r.now && arrival < l.Time {
			r.arrive(arrival)
			arrival += r.gap()
		}
		if l.Shift > 0 && r.now >= shift {
			r.shift()
			r.seen, shift = r.now+p.Notice, shift+l.Shift
		}
		r.balance()
		if r.busy() == 0 {
			r.now = arrival
			continue
		}
		r.out.Skew += r.pass()
		passes++
	}
	r.out.Skew /= float64(max(1, passes))
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
			r.loads[l][e] = (1-r.l.Part)*r.loads[l][e] + r.l.Part*other[e]
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
	r.out.Asked++
	best := 0
	for k := range r.at {
		if len(r.at[k]) < len(r.at[best]) {
			best = k
		}
	}
	limit := float64(r.g.Slots)
	if r.p.Paced {
		limit = math.Ceil(r.pacer.Limit(r.g.Slots))
	}
	if float64(len(r.at[best])) >= limit+1 {
		r.out.Refused++
		return
	}
	r.at[best] = append(r.at[best], &stream{
		asked: at, prompt: 1 + r.draw.ExpFloat64()*r.g.MeanPrompt, events: 1 + int(r.draw.ExpFloat64()*r.g.MeanEvent),
	})
}

// balance plans the next map and puts one that is ready in use.
func (r *play) balance() {
	if r.next != nil && r.now >= r.ready {
		r.table, r.next = r.next, nil
		r.out.Changes++
	}
	if r.next != nil || r.p.MaxNew == 0 || r.now < r.seen {
		return
	}
	planner := chivemap.Planner{Tolerance: r.p.Tolerance, MaxNewExperts: r.p.MaxNew, Horizon: 400, MoveCost: 0.25}
	next := planner.Plan(r.table, r.loads)
	if next == nil || next.StepSkew(r.loads) > 0.85*r.table.StepSkew(r.loads) {
		return
	}
	most := 0
	for k := range r.g.Ranks {
		most = max(most, r.copies(next, k))
	}
	r.out.Copies += r.table.Moves(next)
	r.next, r.ready = next, r.now+time.Duration(most)*r.g.Copy+100*time.Millisecond
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
	length := float64(r.g.Stride)*float64(r.g.Step) + (1-r.g.ExpertShare)*most + r.g.ExpertShare*mean*skew
	if r.next != nil {
		length *= 1 + r.g.CopyDrag
	}
	r.now += time.Duration(length)
	for k := range r.at {
		r.advance(k)
	}
	if r.p.Paced && r.now-r.paced > 200*time.Millisecond {
		r.paced = r.now
		floor := time.Duration(r.g.Stride) * r.g.Step
		r.pacer.EndInterval(r.l.Pause, floor, float64(r.busy())/float64(r.g.Ranks), r.g.Slots)
	}
	return skew
}

// work returns the time that a rank's own requests take in one pass, alone.
func (r *play) work(rank int) float64 {
	var work float64
	left := float64(r.g.Chunk * r.g.Stride)
	for i, s := range r.at[rank] {
		switch {
		case i >= r.g.Slots:
		case s.prompt > 0:
			read := min(s.prompt, left)
			left -= read
			work += read / r.g.ReadRate * float64(time.Second)
		default:
			work += float64(r.g.Stride) * float64(r.g.PerSequence)
		}
	}
	return work
}

// advance moves the requests of a rank on by one pass.
func (r *play) advance(rank int) {
	left := float64(r.g.Chunk * r.g.Stride)
	kept := r.at[rank][:0]
	for i, s := range r.at[rank] {
		if i < r.g.Slots && r.step(s, &left) {
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
		s.late = r.now-s.asked > r.l.Goal
	} else {
		r.pacer.AddPause(r.now - s.last)
		s.late = s.late || r.now-s.last > r.l.Pause
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
