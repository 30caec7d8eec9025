package chiverelay

import (
	"hash/fnv"
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveadmit"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// refusalLogInterval is the shortest time between two log lines on refusals at a service.
	refusalLogInterval = time.Second
	// reportDelay is the usual age of a load report's content when it arrives: digests sum up
	// reports of the last half second.
	reportDelay = 100 * time.Millisecond
)

// admissions decides which requests are let in at services whose requests differ in
// priority. It owns the gates of these services. Its lock is held for single decisions only.
type admissions struct {
	mu sync.Mutex
	// gates is keyed by service.
	gates map[string]*serviceGate
}

// serviceGate is the gate of a service with what limits it.
type serviceGate struct {
	chiveadmit.Gate
	fill chiveadmit.FillLimiter
	// refused counts the requests refused and offered counts all since loggedAt, by class.
	refused, offered map[requestClass]int
	loggedAt         chiveclock.Moment
	// byPauses is the limit by pauses, for logs.
	byPauses float64
}

// requestClass is what counts for the order of admission.
type requestClass struct {
	urgency   int
	overShare bool
}

// String returns the name of the class in logs.
func (c requestClass) String() string {
	if c.overShare {
		return strconv.Itoa(c.urgency) + "-over"
	}
	return strconv.Itoa(c.urgency)
}

// gate returns the gate of a service, created on first use. The caller must hold mu.
func (a *admissions) gate(service string) *serviceGate {
	g := a.gates[service]
	if g == nil {
		g = &serviceGate{}
		if a.gates == nil {
			a.gates = map[string]*serviceGate{}
		}
		a.gates[service] = g
	}
	return g
}

// admit decides on a request.
func (a *admissions) admit(service string, d chiveadmit.Demand) chiveadmit.Admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gate(service)
	admission := g.Admit(time.Duration(chiveclock.Now()), d)
	class := requestClass{d.Urgency, d.OverShare}
	if g.offered == nil {
		g.refused, g.offered = map[requestClass]int{}, map[requestClass]int{}
	}
	g.offered[class]++
	if !admission.Admitted {
		g.refused[class]++
	}
	return admission
}

// nameClasses returns counts by the names of their classes.
func nameClasses(counts map[requestClass]int) map[string]int {
	named := make(map[string]int, len(counts))
	for c, n := range counts {
		named[c.String()] = n
	}
	return named
}

// end counts the end of an admitted request.
func (a *admissions) end(service string, work float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate(service).End(time.Duration(chiveclock.Now()), work)
}

// returnTime returns when a request that was admitted but found no runner is to return.
func (a *admissions) returnTime(service string, timeLeft time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate(service).Return(time.Duration(chiveclock.Now()), timeLeft)
}

// recordFirst records how long a runner took for the first event of a stream.
func (a *admissions) recordFirst(service string, wait, target time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate(service).fill.AddFirst(wait, target)
}

// update sets what is known of a service. Its limit is the lesser of that by pauses and the
// part of the slots that is to be filled.
func (a *admissions) update(service string, now chiveclock.Moment, k chiveadmit.Known, byPauses, slots float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.gate(service)
	g.fill.EndInterval(time.Duration(now))
	g.byPauses = byPauses
	k.Limit = min(byPauses, slots*g.fill.Fill())
	g.Update(time.Duration(now), k)
}

// rooms returns the room of each service that has a gate.
func (a *admissions) rooms() map[string]chiveadmit.Room {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make(map[string]chiveadmit.Room, len(a.gates))
	for name, g := range a.gates {
		list[name] = g.Room()
	}
	return list
}

// logRefusals logs, at most once in refusalLogInterval, how many requests were refused and why
// there was no room.
func (a *admissions) logRefusals(logger *log.Logger) {
	now := chiveclock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, g := range a.gates {
		if len(g.refused) == 0 || now.Sub(g.loggedAt) < refusalLogInterval {
			continue
		}
		r := g.Room()
		logger.Info("Requests were not admitted.", "service", name, "refused", nameClasses(g.refused), "offered", nameClasses(g.offered), "limit", math.Round(r.Limit), "held", math.Round(r.Held),
			"ends", math.Round(r.Rate), "age", formatMillis(r.Age), "pauses", math.Round(g.byPauses), "fill", math.Round(100*g.fill.Fill())/100, "budget", math.Round(10*g.Budget())/10)
		g.refused, g.offered, g.loggedAt = nil, nil, now
	}
}

// LogRefusals logs how many requests were refused for their urgency or want of room, and what
// is known of the room.
func (rl *Relay) LogRefusals() {
	rl.State.admissions.logRefusals(rl.Log)
}

// Rooms returns what is known of the room of services whose requests differ in priority, by
// service.
func (rs *RunnerState) Rooms() map[string]chiveadmit.Room {
	return rs.admissions.rooms()
}

// updateAdmission sets what is known of a service for the admission of requests. The limit
// counts runners that take requests and whose group is open, each for as many requests as
// Reserve would give it. Without such runners there is no limit: requests are refused, or wait
// for a group that is being formed, as at other services.
func (rs *RunnerState) updateAdmission(s *chivefleet.Service, fleet *chivefleet.Fleet, runners []*chivefleet.Runner, now chiveclock.Moment) {
	states := fleet.GroupStates(s.Name)
	limiter, byPauses, slots := rs.limiter(s.Name), 0.0, 0.0
	for _, r := range runners {
		if !rs.accepts(r) || now < rs.pausedUntil(r.Incarnation()) || rs.slowdown(r.ID, now) >= migrationSlowdown {
			continue
		}
		if r.Membership != nil && states[r.Membership.Group] != chivefleet.GroupOpen {
			continue
		}
		byPauses += math.Ceil(limiter.Limit(r.Slots)) + engineQueueLimit
		slots += float64(r.Slots)
	}
	others, age := rs.loads.reported(runners, now)
	k := chiveadmit.Known{Others: others, Age: age + reportDelay, Entries: len(rs.entries), Phase: phaseOf(rs.self)}
	rs.admissions.update(s.Name, now, k, byPauses, slots)
}

// phaseOf returns a number in [0, 1) that differs between names.
func phaseOf(name string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return float64(h.Sum32()) / (1 << 32)
}

// reported returns the requests that others have at the runners, and the mean age of their
// reports. A report does not count for more requests at a runner than it can hold.
func (b *loadBook) reported(runners []*chivefleet.Runner, now chiveclock.Moment) (requests float64, age time.Duration) {
	var weighted float64
	for _, p := range b.peers {
		old := now.Sub(p.receivedAt)
		if old >= peerLoadMaxAge {
			continue
		}
		sum := 0.0
		for _, r := range runners {
			sum += float64(min(max(0, p.inFlight[r.ID]), r.Slots+engineQueueLimit))
		}
		requests += sum
		weighted += sum * old.Seconds()
	}
	if len(b.peers) == 0 {
		return 0, peerLoadMaxAge
	}
	if requests == 0 {
		return 0, 0
	}
	return requests, time.Duration(weighted / requests * float64(time.Second))
}

// enter reports whether the request is admitted to its service. If not, it has responded.
func (x *exchange) enter() bool {
	if !x.service.Ranked {
		return true
	}
	// Limits count requests, so that each counts as one here, too.
	const work = 1
	rs, service := x.relay.State, x.service.Name
	d := chiveadmit.Demand{Urgency: x.urgency(), Work: work, Resumed: x.lastEvent >= 0, TimeLeft: chiveclock.Until(x.deadline)}
	d.OverShare = x.workspace != nil && rs.overShare(service, x.workspace.Name)
	a := rs.admissions.admit(service, d)
	if !a.Admitted {
		x.notAdmitted, x.returnAfter = true, a.RetryAfter
		return x.refuse(a.Reason)
	}
	x.onEnd = append(x.onEnd, func() { rs.admissions.end(service, work) })
	return true
}

// urgency returns the place of the request among those of its service that differ in
// priority.
func (x *exchange) urgency() int {
	if x.service == nil || !x.service.Ranked {
		return 0
	}
	return x.service.Urgency(x.route, x.workspace)
}

// setReturn sets the time after which the request is to return if it found no runner with
// room although it was admitted.
func (x *exchange) setReturn() {
	if x.service != nil && x.service.Ranked && x.returnAfter == 0 {
		x.returnAfter = x.relay.State.admissions.returnTime(x.service.Name, chiveclock.Until(x.deadline))
	}
}

// recordFirst records how long a runner took for the first event of the request.
func (x *exchange) recordFirst() {
	if x.service.Ranked && x.attempts == 1 {
		x.relay.State.admissions.recordFirst(x.service.Name, chiveclock.Since(x.current.startedAt), x.route.FirstTarget)
	}
}
