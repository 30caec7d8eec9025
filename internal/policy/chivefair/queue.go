// Package chivefair implements weighted fair queueing of requests by workspace.
// Service is fair across all agents, not only at each one.
package chivefair

import "time"

// Ticket is a queued request.
type Ticket[T any] struct {
	Item T
	// Cost is the expected cost of the request, above 0.
	Cost float64
	// Gateway is the name of the gateway that sent the request.
	Gateway string

	flow    *flow[T]
	removed bool
}

// Workspace returns the name of the workspace that queued the request.
func (t *Ticket[T]) Workspace() string {
	return t.flow.workspace
}

// Queue is the request queue of one agent. It serves the backlogged workspace
// with the lowest normalized rate, which is the recent rate of service at all
// agents divided by the share of the workspace. Each gateway reports with every
// request the rate at which the workspace was served through it; the queue adds
// the reports of all gateways and the service that it provided itself since.
//
// Without reports, and on time scales much shorter than DecayTime, this is
// start-time fair queueing: between two requests served from a backlogged
// workspace w, any other workspace v is served at most cost(w)·share(v)/share(w)
// plus the cost of one request. A workspace that was idle starts at the
// normalized rate of the workspace served last, so idling earns no credit.
//
// The zero value is an empty queue. It is not safe for concurrent use.
type Queue[T any] struct {
	// MaxLen is the maximum number of queued requests; 0 means no limit.
	MaxLen int

	flows   map[string]*flow[T]
	backlog []*flow[T]
	length  int
	// lastRate is the normalized rate of the workspace served last, at the time
	// lastPop; it decays like the rates of workspaces.
	lastRate float64
	lastPop  time.Time
}

// flow is the state of one workspace.
type flow[T any] struct {
	workspace string
	share     float64
	// queuedCost is the expected cost of all tickets.
	queuedCost float64
	tickets    []*Ticket[T]
	// usages holds the service through each gateway. The entry with the empty name
	// holds the service that was charged for idle time.
	usages map[string]*usage
}

// usage is the recent service of a workspace through one gateway: the rate that
// the gateway reported and the service by this queue since.
type usage struct {
	reported Meter
	local    Meter
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int {
	return q.length
}

// SetGatewayRate sets the rate of service of a workspace that a gateway reported,
// in cost per second. The report includes the requests of that gateway that this
// queue served before.
func (q *Queue[T]) SetGatewayRate(now time.Time, workspace, gateway string, rate float64) {
	u := q.flow(workspace).usage(gateway)
	u.reported = Meter{rate: rate, at: now}
	u.local = Meter{}
}

// Push queues a request and sets the share of its workspace, which must be above
// 0. If the queue exceeds MaxLen, Push drops and returns the newest request of the
// workspace that exceeds its share most, which may be the pushed request.
func (q *Queue[T]) Push(now time.Time, workspace string, share, cost float64, gateway string, item T) (ticket, dropped *Ticket[T]) {
	f := q.flow(workspace)
	f.share = share
	t := &Ticket[T]{Item: item, Cost: cost, Gateway: gateway, flow: f}
	if len(f.tickets) == 0 {
		q.backlog = append(q.backlog, f)
		q.chargeIdle(now, f)
	}
	f.tickets = append(f.tickets, t)
	f.queuedCost += cost
	q.length++
	if q.MaxLen > 0 && q.length > q.MaxLen {
		return t, q.dropNewest(now)
	}
	return t, nil
}

// chargeIdle raises the normalized rate of a workspace that was idle to that of
// the workspace served last.
func (q *Queue[T]) chargeIdle(now time.Time, f *flow[T]) {
	deficit := decay(q.lastRate, now.Sub(q.lastPop)) - f.normalizedRate(now)
	if deficit > 0 {
		f.usage("").local.Add(now, deficit*f.share*DecayTime.Seconds())
	}
}

// Pop removes and returns the next request, or returns nil if the queue is empty.
// It charges the expected cost to the workspace.
func (q *Queue[T]) Pop(now time.Time) *Ticket[T] {
	var next *flow[T]
	var lowest float64
	for _, f := range q.backlog {
		if r := f.normalizedRate(now); next == nil || r < lowest {
			next, lowest = f, r
		}
	}
	if next == nil {
		return nil
	}
	t := next.tickets[0]
	q.lastRate, q.lastPop = max(decay(q.lastRate, now.Sub(q.lastPop)), lowest), now
	next.usage(t.Gateway).local.Add(now, t.Cost)
	q.remove(t, 0)
	return t
}

// Remove removes an abandoned request. It reports whether the request was still
// queued.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t.removed {
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

// CorrectCost replaces the expected cost that Pop charged for a request by the
// actual cost.
func (q *Queue[T]) CorrectCost(now time.Time, t *Ticket[T], actual float64) {
	t.flow.usage(t.Gateway).local.Add(now, actual-t.Cost)
}

// QueuedCost returns the expected cost of all queued requests.
func (q *Queue[T]) QueuedCost() float64 {
	var sum float64
	for _, f := range q.backlog {
		sum += f.queuedCost
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
	f = &flow[T]{workspace: workspace, share: 1, usages: map[string]*usage{}}
	q.flows[workspace] = f
	return f
}

// dropNewest drops and returns the newest request of the workspace whose
// normalized rate would be highest if all its queued requests were served now.
func (q *Queue[T]) dropNewest(now time.Time) *Ticket[T] {
	var worst *flow[T]
	var highest float64
	for _, f := range q.backlog {
		if r := f.normalizedRate(now) + f.queuedCost/DecayTime.Seconds()/f.share; worst == nil || r > highest {
			worst, highest = f, r
		}
	}
	i := len(worst.tickets) - 1
	t := worst.tickets[i]
	q.remove(t, i)
	return t
}

// normalizedRate returns the recent rate of service of the workspace, divided by
// its share.
func (f *flow[T]) normalizedRate(now time.Time) float64 {
	var sum float64
	for _, u := range f.usages {
		sum += u.reported.Rate(now) + u.local.Rate(now)
	}
	return sum / f.share
}

func (f *flow[T]) usage(gateway string) *usage {
	u := f.usages[gateway]
	if u == nil {
		u = &usage{}
		f.usages[gateway] = u
	}
	return u
}

// remove removes the ticket at index i of its flow.
func (q *Queue[T]) remove(t *Ticket[T], i int) {
	f := t.flow
	t.removed = true
	copy(f.tickets[i:], f.tickets[i+1:])
	f.tickets[len(f.tickets)-1] = nil
	f.tickets = f.tickets[:len(f.tickets)-1]
	f.queuedCost -= t.Cost
	q.length--
	if len(f.tickets) > 0 {
		return
	}
	f.queuedCost = 0
	for j, other := range q.backlog {
		if other == f {
			q.backlog = append(q.backlog[:j], q.backlog[j+1:]...)
			return
		}
	}
}
