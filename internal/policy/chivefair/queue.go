// Package chivefair implements weighted fair queueing of requests by workspace,
// fair over all agents and not only at each.
package chivefair

import "time"

// A Ticket is a queued request.
type Ticket[T any] struct {
	Item T
	// Cost is the expected cost of the request, above 0.
	Cost float64
	// Gateway names the gateway that sent the request.
	Gateway string

	flow *flow[T]
	gone bool
}

// Workspace returns the workspace that queued the ticket.
func (t *Ticket[T]) Workspace() string {
	return t.flow.name
}

// A Queue is the queue of one agent. It takes next from the backlogged
// workspace whose level is least: its recent service anywhere in relation to its
// share. Each gateway states with every request how much service the workspace
// has had through it; the queue adds the statements of all gateways and what it
// has served itself since.
//
// While nothing is stated, and as long as service is remembered, this is
// start-time fair queueing: between two requests taken from a backlogged
// workspace w, any other workspace v is served at most cost(w)·share(v)/share(w)
// plus the cost of one request. A workspace that was idle begins at the level of
// the workspace served last, so that idling earns no credit.
//
// The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	// MaxLen is the number of requests that may be queued; 0 sets no limit.
	MaxLen int

	flows   map[string]*flow[T]
	backlog []*flow[T]
	length  int
	// virtual is the level of the workspace served last, as of a time.
	virtual float64
	at      time.Time
}

// flow is what the queue knows of one workspace.
type flow[T any] struct {
	name    string
	share   float64
	cost    float64
	tickets []*Ticket[T]
	// parts holds the service through each gateway; the part of the gateway ""
	// is what idling added.
	parts map[string]*part
}

// part is the recent service of a workspace through one gateway: what it stated
// and what was served here since.
type part struct {
	stated Meter
	local  Meter
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// SetGatewayRate notes how much service a gateway says that the workspace has had
// through it, which includes what was served here before.
func (q *Queue[T]) SetGatewayRate(now time.Time, workspace, gateway string, level float64) {
	p := q.flow(workspace).part(gateway)
	p.stated = Meter{level: level, at: now}
	p.local = Meter{}
}

// Push queues a request. Where the queue is full, the newest request of the
// workspace that is most over its share is dropped and returned, which may be
// the pushed one.
func (q *Queue[T]) Push(now time.Time, workspace string, share, cost float64, gateway string, item T) (ticket, dropped *Ticket[T]) {
	f := q.flow(workspace)
	f.share = share
	t := &Ticket[T]{Item: item, Cost: cost, Gateway: gateway, flow: f}
	if len(f.tickets) == 0 {
		q.backlog = append(q.backlog, f)
		q.lift(now, f)
	}
	f.tickets = append(f.tickets, t)
	f.cost += cost
	q.length++
	if q.MaxLen > 0 && q.length > q.MaxLen {
		return t, q.dropNewest(now)
	}
	return t, nil
}

// lift raises the level of a workspace that was idle to that of the workspace
// served last.
func (q *Queue[T]) lift(now time.Time, f *flow[T]) {
	lack := decay(q.virtual, now.Sub(q.at)) - f.level(now)
	if lack > 0 {
		f.part("").local.Add(now, lack*f.share*DecayTime.Seconds())
	}
}

// Pop takes the request whose turn it is, or returns nil where none is queued.
func (q *Queue[T]) Pop(now time.Time) *Ticket[T] {
	var first *flow[T]
	var least float64
	for _, f := range q.backlog {
		if l := f.level(now); first == nil || l < least {
			first, least = f, l
		}
	}
	if first == nil {
		return nil
	}
	t := first.tickets[0]
	q.virtual, q.at = max(decay(q.virtual, now.Sub(q.at)), least), now
	first.part(t.Gateway).local.Add(now, t.Cost)
	q.remove(t, 0)
	return t
}

// Remove takes a request out that is given up. It reports whether the request
// was still queued.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t.gone {
		return false
	}
	for i, other := range t.flow.tickets {
		if other == t {
			q.remove(t, i)
			return true
		}
	}
	return false
}

// CorrectCost corrects the charge of a request that was taken: the workspace pays
// the actual cost in place of the expected one.
func (q *Queue[T]) CorrectCost(now time.Time, t *Ticket[T], actual float64) {
	t.flow.part(t.Gateway).local.Add(now, actual-t.Cost)
}

// QueuedCost returns the expected cost of all queued requests.
func (q *Queue[T]) QueuedCost() float64 {
	var sum float64
	for _, f := range q.backlog {
		sum += f.cost
	}
	return sum
}

func (q *Queue[T]) flow(workspace string) *flow[T] {
	f := q.flows[workspace]
	if f != nil {
		return f
	}
	if q.flows == nil {
		q.flows = map[string]*flow[T]{}
	}
	f = &flow[T]{name: workspace, share: 1, parts: map[string]*part{}}
	q.flows[workspace] = f
	return f
}

// dropNewest drops the newest request of the workspace whose level would be
// highest once all its requests were served.
func (q *Queue[T]) dropNewest(now time.Time) *Ticket[T] {
	var worst *flow[T]
	var most float64
	for _, f := range q.backlog {
		if l := f.level(now) + f.cost/DecayTime.Seconds()/f.share; worst == nil || l > most {
			worst, most = f, l
		}
	}
	i := len(worst.tickets) - 1
	t := worst.tickets[i]
	q.remove(t, i)
	return t
}

// level returns the workspace's recent service in relation to its share.
func (f *flow[T]) level(now time.Time) float64 {
	var sum float64
	for _, p := range f.parts {
		sum += p.stated.Rate(now) + p.local.Rate(now)
	}
	return sum / f.share
}

func (f *flow[T]) part(gateway string) *part {
	p := f.parts[gateway]
	if p == nil {
		p = &part{}
		f.parts[gateway] = p
	}
	return p
}

func (q *Queue[T]) remove(t *Ticket[T], i int) {
	f := t.flow
	t.gone = true
	copy(f.tickets[i:], f.tickets[i+1:])
	f.tickets[len(f.tickets)-1] = nil
	f.tickets = f.tickets[:len(f.tickets)-1]
	f.cost -= t.Cost
	q.length--
	if len(f.tickets) > 0 {
		return
	}
	f.cost = 0
	for j, other := range q.backlog {
		if other == f {
			q.backlog = append(q.backlog[:j], q.backlog[j+1:]...)
			return
		}
	}
}
