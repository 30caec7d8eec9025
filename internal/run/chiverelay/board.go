package chiverelay

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivelimit"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// suspectDuration is how long a runner that failed is passed over where another
	// has room.
	suspectDuration = 1500 * time.Millisecond
	// peerLoadMaxAge is how long the load that another entry VM reported counts.
	peerLoadMaxAge = 2500 * time.Millisecond
	// slowReportMaxAge is how long the news of a slow runner counts.
	slowReportMaxAge = 2500 * time.Millisecond
)

// RetryLimits bound what entry VMs send together.
type RetryLimits struct {
	// RetryRatio and RetrySlack bound the retries at a service in any
	// RetryWindow: a part of its requests, and a number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// A RunnerState keeps what is known of the load and the health of runners. It is safe
// for concurrent use.
type RunnerState struct {
	limits RetryLimits

	mu           sync.Mutex
	localLoad    map[string]int
	peerLoads    map[string]peerLoad
	slowReports  map[string]slowReport
	suspectUntil map[string]chiveclock.Moment
	slowStarts   map[string]*chivequota.ColdLimiter
	retryBudgets map[string]*chivequota.RetryBudget
	limiters     map[string]*concurrencyLimiter
	inflight     map[string]map[*inflightAttempt]bool
	ledgers      map[string]*chivefair.Ledger
	// self is the name of this entry VM among entries, which share the limits.
	self    string
	entries []string
}

// concurrencyLimiter limits the requests at the model runners of a service.
type concurrencyLimiter struct {
	chivelimit.ConcurrencyLimiter
	// targetPause is the shortest pause that a route of the service asks.
	targetPause time.Duration
}

// peerLoad is the number of requests that another entry VM has at each runner.
type peerLoad struct {
	receivedAt chiveclock.Moment
	busy       map[string]int
}

// slowReport is what a source knows of slow runners.
type slowReport struct {
	receivedAt chiveclock.Moment
	slowdowns  map[string]float64
}

// localSourcePrefix begins the names of sources on this entry VM.
const localSourcePrefix = "own/"

// NewRunnerState returns a new Board of the entry VM with a name.
func NewRunnerState(self string, limits RetryLimits) *RunnerState {
	return &RunnerState{
		limits: limits, localLoad: map[string]int{}, peerLoads: map[string]peerLoad{}, slowReports: map[string]slowReport{}, suspectUntil: map[string]chiveclock.Moment{},
		slowStarts: map[string]*chivequota.ColdLimiter{}, retryBudgets: map[string]*chivequota.RetryBudget{}, limiters: map[string]*concurrencyLimiter{}, inflight: map[string]map[*inflightAttempt]bool{}, ledgers: map[string]*chivefair.Ledger{},
		self: self, entries: []string{self},
	}
}

// SetEntries sets the names of the entry VMs that share the limits.
func (b *RunnerState) SetEntries(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = names
}

// SetPeerLoad notes the load that another entry VM reported.
func (b *RunnerState) SetPeerLoad(name string, busy map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerLoads[name] = peerLoad{receivedAt: chiveclock.Now(), busy: busy}
}

// SetSlowRunners notes the slow runners that a source found, with their paces, and has
// streams leave those that are very slow.
func (b *RunnerState) SetSlowRunners(source string, paces map[string]float64) {
	defer b.migrateStreams(paces)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(paces) == 0 {
		delete(b.slowReports, source)
		return
	}
	b.slowReports[source] = slowReport{receivedAt: chiveclock.Now(), slowdowns: paces}
}

// LocalSlowRunners returns the slow runners that the holder of the map duty on this entry
// VM found.
func (b *RunnerState) LocalSlowRunners() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]float64{}
	for source, s := range b.slowReports {
		if strings.HasPrefix(source, localSourcePrefix) && chiveclock.Since(s.receivedAt) < slowReportMaxAge {
			for id, pace := range s.slowdowns {
				list[id] = pace
			}
		}
	}
	return list
}

// LocalSource names a group of ranks as a source of this entry VM.
func LocalSource(group string) string {
	return localSourcePrefix + group
}

// slowdown returns how much slower than others a runner is.
func (b *RunnerState) slowdown(id string, now chiveclock.Moment) float64 {
	most := 1.0
	for _, s := range b.slowReports {
		if now.Sub(s.receivedAt) < slowReportMaxAge {
			most = max(most, s.slowdowns[id])
		}
	}
	return most
}

// fewSlowRunners reports whether the others can do the work of the runners that are much
// slower: at most one in maxSlow is.
func (b *RunnerState) fewSlowRunners(runners []*chivefleet.Runner, now chiveclock.Moment) bool {
	if len(b.slowReports) == 0 {
		return true
	}
	n := 0
	for _, r := range runners {
		if b.slowdown(r.ID, now) >= migrationSlowdown {
			n++
		}
	}
	return n*minRunnersPerSlow <= len(runners)
}

// LocalLoad returns the number of this entry VM's requests at each runner.
func (b *RunnerState) LocalLoad() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]int, len(b.localLoad))
	for id, n := range b.localLoad {
		list[id] = n
	}
	return list
}

// MarkSuspect passes a runner over for a while.
func (b *RunnerState) MarkSuspect(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectUntil[id] = chiveclock.Now().Add(suspectDuration)
}

// CountRequest counts a request for a service.
func (b *RunnerState) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retryBudget(service).AddRequest(time.Duration(chiveclock.Now()))
}

// TakeRetry takes one retry out of the budget of a service.
func (b *RunnerState) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.retryBudget(service).AllowRetry(time.Duration(chiveclock.Now()), len(b.entries))
}

func (b *RunnerState) retryBudget(service string) *chivequota.RetryBudget {
	r := b.retryBudgets[service]
	if r == nil {
		r = &chivequota.RetryBudget{Ratio: b.limits.RetryRatio, Slack: b.limits.RetrySlack, Span: b.limits.RetryWindow}
		b.retryBudgets[service] = r
	}
	return r
}

// RecordPause notes the pause between two events of a stream.
func (b *RunnerState) RecordPause(service string, pause, asked time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.limiter(service)
	p.AddPause(pause)
	if p.targetPause == 0 || asked < p.targetPause {
		p.targetPause = asked
	}
}

func (b *RunnerState) limiter(service string) *concurrencyLimiter {
	p := b.limiters[service]
	if p == nil {
		p = &concurrencyLimiter{}
		b.limiters[service] = p
	}
	return p
}

// AdjustLimits ends an interval of all limits that pauses set.
func (b *RunnerState) AdjustLimits(fleet *chivefleet.Fleet) {
	if fleet.Config == nil {
		return
	}
	now := chiveclock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.limiters {
		s, runners := fleet.Config.Services[name], fleet.UsableRunners(name)
		if s == nil || s.Engine == nil || len(runners) == 0 {
			continue
		}
		sum, slots := 0, 0
		for _, r := range runners {
			sum += min(b.load(r.ID, now), r.Slots)
			slots += r.Slots
		}
		n := len(runners)
		p.EndInterval(p.targetPause, s.Engine.IdlePassTime, float64(sum)/float64(n), slots/n)
	}
}

// A ReserveOptions is what a request asks of a runner.
type ReserveOptions struct {
	Service *chivefleet.Service
	// Zone is that of the entry VM.
	Zone string
	// Tried holds the runners that had the request before.
	Tried map[string]bool
	// Rand decides what is left to chance.
	Rand *rand.Rand
}

// Reserve picks a runner and counts the request there. It returns nil where none
// has room.
func (b *RunnerState) Reserve(runners []*chivefleet.Runner, c chivechoice.Chooser, w ReserveOptions) *chivefleet.Runner {
	now := chiveclock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var p *concurrencyLimiter
	if w.Service.Engine != nil {
		p = b.limiter(w.Service.Name)
	}
	few := b.fewSlowRunners(runners, now)
	list := make([]chivechoice.Candidate, 0, len(runners))
	sound := make([]*chivefleet.Runner, 0, len(runners))
	for _, r := range runners {
		slots := r.Slots
		if p != nil {
			slots = int(math.Ceil(p.Limit(slots)))
		}
		// A rank that is slow holds up its whole group with its own requests.
		if pace := b.slowdown(r.ID, now); pace > 1 {
			slots = int(float64(slots)/pace) - c.QueueLimit
			if pace >= migrationSlowdown && few {
				slots = -c.QueueLimit
			}
		}
		list = append(list, chivechoice.Candidate{
			InFlight: b.load(r.ID, now), Slots: slots, SameZone: r.Zone == w.Zone,
			Suspect: now < b.suspectUntil[r.ID], Tried: w.Tried[r.ID],
		})
		sound = append(sound, r)
	}
	for len(list) > 0 {
		i := c.Choose(list, w.Rand)
		if i < 0 {
			return nil
		}
		if b.admitSlowStart(sound[i], w.Service, now) {
			b.localLoad[sound[i].ID]++
			return sound[i]
		}
		list = append(list[:i], list[i+1:]...)
		sound = append(sound[:i], sound[i+1:]...)
	}
	return nil
}

// admitSlowStart reports whether a runner may take one more request while it is cold.
func (b *RunnerState) admitSlowStart(r *chivefleet.Runner, s *chivefleet.Service, now chiveclock.Moment) bool {
	if now >= r.ColdUntil || s.ColdRate == 0 {
		return true
	}
	c := b.slowStarts[r.ID]
	if c == nil {
		c = &chivequota.ColdLimiter{}
		b.slowStarts[r.ID] = c
	}
	return c.Allow(time.Duration(now), s.ColdRate, len(b.entries), chiveshard.Position(r.ID, b.self, b.entries))
}

// Release ends the count of a request at a runner.
func (b *RunnerState) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.localLoad[id]--; b.localLoad[id] <= 0 {
		delete(b.localLoad, id)
	}
}

// load returns the requests of all entry VMs at a runner.
func (b *RunnerState) load(id string, now chiveclock.Moment) int {
	n := b.localLoad[id]
	for _, p := range b.peerLoads {
		if now.Sub(p.receivedAt) < peerLoadMaxAge {
			n += p.busy[id]
		}
	}
	return n
}

// Prune forgets runners and entry VMs that are gone.
func (b *RunnerState) Prune(fleet *chivefleet.Fleet) {
	known := map[string]bool{}
	for _, list := range fleet.Runners {
		for _, r := range list {
			known[r.ID] = true
		}
	}
	now := chiveclock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.slowStarts {
		if !known[id] {
			delete(b.slowStarts, id)
		}
	}
	for id, until := range b.suspectUntil {
		if now >= until {
			delete(b.suspectUntil, id)
		}
	}
	for name, p := range b.peerLoads {
		if now.Sub(p.receivedAt) > peerLoadMaxAge {
			delete(b.peerLoads, name)
		}
	}
}
