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
	// suspectDuration is how long other runners are preferred to one that failed.
	suspectDuration = 1500 * time.Millisecond
	// slowReportMaxAge is the age from which reports of slow runners are ignored.
	slowReportMaxAge = 2500 * time.Millisecond
	// coldWindow is the time over which requests to runners in slow start are counted.
	coldWindow = time.Second
)

// RetryLimits bounds the retries that all entry VMs together send to a service.
// In any RetryWindow there are at most RetryRatio retries per request, plus
// RetrySlack.
type RetryLimits struct {
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// RunnerState tracks the load, health and in-flight requests of runners, as well
// as the retry budgets, concurrency limits and workspace usage of services. It is
// safe for concurrent use.
type RunnerState struct {
	// admissions has its own lock, which may be taken while mu is held.
	admissions admissions

	mu sync.Mutex
	// loads counts the requests in flight at each runner.
	loads loadBook
	// retries holds the retry budgets.
	retries chivequota.RetryBudgets
	// suspectUntil, slowStarts and inflight are keyed by runner ID, limiters and ledgers
	// by service, and slowReports by the source of the report.
	slowReports  map[string]slowReport
	suspectUntil map[string]chiveclock.Moment
	slowStarts   map[string]*chivequota.ColdLimiter
	limiters     map[string]*concurrencyLimiter
	inflight     map[string]map[*inflightAttempt]bool
	ledgers      map[string]*chivefair.Ledger
	// notices holds what incarnations of runners have said in their answers.
	notices map[chivefleet.Incarnation]notice
	// self is the name of this entry VM; entries names the registered entry VMs,
	// which share the limits. It is empty until they are known: an entry VM that has
	// just started would otherwise take the limits for its own.
	self    string
	entries []string
	// startedAt is when this process started.
	startedAt chiveclock.Moment
}

// concurrencyLimiter limits the concurrent requests per model runner of a
// service.
type concurrencyLimiter struct {
	chivelimit.ConcurrencyLimiter
	// targetPause is the shortest pause between events that any route of the
	// service asks for.
	targetPause time.Duration
}

// slowReport holds the slowdown of each slow runner that a source reported, by
// runner ID.
type slowReport struct {
	receivedAt chiveclock.Moment
	slowdowns  map[string]float64
}

// localSourcePrefix precedes the names of sources that belong to this entry VM itself.
const localSourcePrefix = "own/"

// NewRunnerState returns the empty state of the entry VM named self.
func NewRunnerState(self string, limits RetryLimits) *RunnerState {
	now := chiveclock.Now()
	return &RunnerState{
		retries:   chivequota.RetryBudgets{Ratio: limits.RetryRatio, Slack: limits.RetrySlack, Span: limits.RetryWindow, Started: time.Duration(now)},
		startedAt: now,
		loads:     newLoadBook(), slowReports: map[string]slowReport{}, suspectUntil: map[string]chiveclock.Moment{},
		slowStarts: map[string]*chivequota.ColdLimiter{}, limiters: map[string]*concurrencyLimiter{}, inflight: map[string]map[*inflightAttempt]bool{}, ledgers: map[string]*chivefair.Ledger{},
		notices: map[chivefleet.Incarnation]notice{}, self: self,
	}
}

// SetEntries sets the names of the registered entry VMs, which share the limits. Before
// the first call, no retries are sent, and no requests to runners in slow start.
func (rs *RunnerState) SetEntries(names []string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.entries = names
	rs.retries.SetEntries(names, time.Duration(chiveclock.Now()))
}

// SetPeerLoad replaces the load reported by another entry VM or availability zone:
// its in-flight requests by runner ID and the work left of them, nil if it does not report
// work.
func (rs *RunnerState) SetPeerLoad(source string, inFlight map[string]int, work map[string]float64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.loads.setPeer(source, inFlight, work, chiveclock.Now())
}

// SetSlowRunners replaces the slow runners reported by a source, given as
// slowdown by runner ID, and migrates streams away from those that reach
// migrationSlowdown.
func (rs *RunnerState) SetSlowRunners(source string, slowdowns map[string]float64) {
	defer rs.migrateStreams(slowdowns)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if len(slowdowns) == 0 {
		delete(rs.slowReports, source)
		return
	}
	rs.slowReports[source] = slowReport{receivedAt: chiveclock.Now(), slowdowns: slowdowns}
}

// LocalSlowRunners returns the slowdown, by runner ID, of the slow runners that
// this entry VM found itself while it balanced expert maps.
func (rs *RunnerState) LocalSlowRunners() map[string]float64 {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	list := map[string]float64{}
	for source, s := range rs.slowReports {
		if strings.HasPrefix(source, localSourcePrefix) && chiveclock.Since(s.receivedAt) < slowReportMaxAge {
			for id, slowdown := range s.slowdowns {
				list[id] = slowdown
			}
		}
	}
	return list
}

// LocalSource returns the name under which this entry VM reports slow runners of a
// group of ranks to SetSlowRunners.
func LocalSource(group string) string {
	return localSourcePrefix + group
}

// slowdown returns the largest recently reported slowdown of a runner; 1 means
// that it is as fast as the others. The caller must hold mu.
func (rs *RunnerState) slowdown(id string, now chiveclock.Moment) float64 {
	slowdown := 1.0
	for _, s := range rs.slowReports {
		if now.Sub(s.receivedAt) < slowReportMaxAge {
			slowdown = max(slowdown, s.slowdowns[id])
		}
	}
	return slowdown
}

// fewSlowRunners reports whether the other runners can take over the work of the
// very slow ones: at most one runner in minRunnersPerSlow is very slow. The caller
// must hold mu.
func (rs *RunnerState) fewSlowRunners(runners []*chivefleet.Runner, now chiveclock.Moment) bool {
	if len(rs.slowReports) == 0 {
		return true
	}
	n := 0
	for _, r := range runners {
		if rs.slowdown(r.ID, now) >= migrationSlowdown {
			n++
		}
	}
	return n*minRunnersPerSlow <= len(runners)
}

// LocalLoad returns the number of requests that this entry VM has in flight at each
// runner, by runner ID.
func (rs *RunnerState) LocalLoad() map[string]int {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.loads.locals()
}

// MarkSuspect deprioritizes a runner for suspectDuration.
func (rs *RunnerState) MarkSuspect(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.suspectUntil[id] = chiveclock.Now().Add(suspectDuration)
}

// CountRequest adds a request to the retry budget of a service.
func (rs *RunnerState) CountRequest(service string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.retries.AddRequest(service, time.Duration(chiveclock.Now()))
}

// TakeRetry reports whether the budget of a service allows a retry, and charges
// the retry if so.
func (rs *RunnerState) TakeRetry(service string) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.retries.AllowRetry(service, time.Duration(chiveclock.Now()))
}

// RetryUse returns what this entry VM has used of the retry budgets, or nil if it does not know
// yet what the process before has used.
func (rs *RunnerState) RetryUse() *chivequota.RetryUse {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.retries.Use(time.Duration(chiveclock.Now()))
}

// SetFormerRetries sets what another entry VM remembers of the process before. It reports whether
// that was the first it heard of it.
func (rs *RunnerState) SetFormerRetries(f *chivequota.FormerUse) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.retries.SetFormer(f, time.Duration(chiveclock.Now()))
}

// RetryCounts returns the number of retries in the window and their limit, by service.
func (rs *RunnerState) RetryCounts() (spent, limit map[string]float64) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.retries.Spent(time.Duration(chiveclock.Now()))
}

// RecordPause adds a pause between two events of a stream to the limiter of a
// service. target is the pause that the route of the stream asks for.
func (rs *RunnerState) RecordPause(service string, pause, target time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	l := rs.limiter(service)
	l.AddPause(pause)
	if l.targetPause == 0 || target < l.targetPause {
		l.targetPause = target
	}
}

// RecentPause returns a high quantile of the recent pauses between events of the streams of a
// service through this entry VM, or 0 if there were too few.
func (rs *RunnerState) RecentPause(service string) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.limiter(service).RecentPause()
}

// limiter returns the concurrency limiter of a service, created on first use. The
// caller must hold mu.
func (rs *RunnerState) limiter(service string) *concurrencyLimiter {
	l := rs.limiters[service]
	if l == nil {
		l = &concurrencyLimiter{}
		rs.limiters[service] = l
	}
	return l
}

// AdjustLimits recomputes the concurrency limit of each service from the pauses
// recorded since the last call and from the mean load of its runners.
func (rs *RunnerState) AdjustLimits(fleet *chivefleet.Fleet) {
	if fleet.Config == nil {
		return
	}
	now := chiveclock.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for name, l := range rs.limiters {
		s, runners := fleet.Config.Services[name], fleet.UsableRunners(name)
		if s == nil || s.Engine == nil || len(runners) == 0 {
			continue
		}
		load, slots := 0, 0
		for _, r := range runners {
			load += min(rs.loads.total(r.ID, now), r.Slots)
			slots += r.Slots
		}
		n := len(runners)
		// Streams without events tell nothing: their group may stand still.
		if s.Ranked && l.Sparse() && load > n {
			l.Discard()
			continue
		}
		l.EndInterval(l.targetPause, s.Engine.IdlePassTime, float64(load)/float64(n), slots/n)
	}
	for name, s := range fleet.Config.Services {
		if s.Ranked {
			rs.updateAdmission(s, fleet, fleet.UsableRunners(name), now)
		}
	}
}

// ReserveOptions describes the request for which Reserve picks a runner.
type ReserveOptions struct {
	Service *chivefleet.Service
	// Zone is the availability zone of this entry VM; its runners are preferred.
	Zone string
	// Tried holds the IDs of the runners to which the request was already sent.
	Tried map[string]bool
	// Rates limits the requests to runners that name a rate; nil limits none.
	Rates *RateCaps
	// Choice receives the runner that is picked as it was weighed, unless it is nil.
	Choice *chivechoice.Candidate
	// Rand is the source of random choices between runners.
	Rand *rand.Rand
}

// Reserve picks one of the runners and counts the request against its load. It
// returns nil if none has room. The caller must call Release when the request
// ends.
func (rs *RunnerState) Reserve(runners []*chivefleet.Runner, c chivechoice.Chooser, o ReserveOptions) *chivefleet.Runner {
	now := chiveclock.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	var l *concurrencyLimiter
	if o.Service.Engine != nil {
		l = rs.limiter(o.Service.Name)
	}
	fewSlow := rs.fewSlowRunners(runners, now)
	candidates := make([]chivechoice.Candidate, 0, len(runners))
	remaining := make([]*chivefleet.Runner, 0, len(runners))
	for _, r := range runners {
		if !rs.accepts(r) || o.Rates != nil && !o.Rates.allows(r) {
			continue
		}
		slots := r.Slots
		if l != nil {
			slots = int(math.Ceil(l.Limit(slots)))
		}
		if limit, ok := rs.limitAfterPause(r, now); ok {
			slots = min(slots, limit-c.QueueLimit)
		}
		// Every request at a slow rank delays all ranks of its group.
		if slowdown := rs.slowdown(r.ID, now); slowdown > 1 {
			slots = int(float64(slots)/slowdown) - c.QueueLimit
			if slowdown >= migrationSlowdown && fewSlow {
				slots = -c.QueueLimit
			}
		}
		work := 0.0
		if c.WorkWeight > 0 {
			work = rs.workLeft(r.ID) + rs.loads.peerWork(r.ID, now)
		}
		candidates = append(candidates, chivechoice.Candidate{
			Work:     work,
			InFlight: rs.loads.total(r.ID, now), Slots: slots, SameZone: r.Zone == o.Zone,
			Suspect: now < rs.suspectUntil[r.ID], Tried: o.Tried[r.ID],
		})
		remaining = append(remaining, r)
	}
	for len(candidates) > 0 {
		i := c.Choose(candidates, o.Rand)
		if i < 0 {
			return nil
		}
		if rs.admitSlowStart(remaining[i], o.Service, now) {
			rs.loads.reserve(remaining[i].ID)
			if o.Choice != nil {
				*o.Choice = candidates[i]
			}
			if o.Rates != nil {
				o.Rates.take(remaining[i])
			}
			return remaining[i]
		}
		candidates = append(candidates[:i], candidates[i+1:]...)
		remaining = append(remaining[:i], remaining[i+1:]...)
	}
	return nil
}

// admitSlowStart reports whether a runner may take one more request: always after
// its slow start, and up to this entry VM's share of the service's ColdRate during
// it. It charges an admitted request to that share. The caller must hold mu.
func (rs *RunnerState) admitSlowStart(r *chivefleet.Runner, s *chivefleet.Service, now chiveclock.Moment) bool {
	if now >= r.ColdUntil || s.ColdRate == 0 {
		return true
	}
	// What the process before has sent in the last second is not known.
	if len(rs.entries) == 0 || now.Sub(rs.startedAt) < coldWindow {
		return false
	}
	c := rs.slowStarts[r.ID]
	if c == nil {
		c = &chivequota.ColdLimiter{}
		rs.slowStarts[r.ID] = c
	}
	return c.Allow(time.Duration(now), s.ColdRate, len(rs.entries), chiveshard.Position(r.ID, rs.self, rs.entries))
}

// Release removes a request that Reserve counted from the load of a runner.
func (rs *RunnerState) Release(id string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.loads.release(id)
}

// Prune drops slow-start limiters of runners that are not in the fleet, expired
// suspicions, outdated load reports of peers and old notices.
func (rs *RunnerState) Prune(fleet *chivefleet.Fleet) {
	known, incarnations := map[string]bool{}, map[chivefleet.Incarnation]bool{}
	for _, list := range fleet.Runners {
		for _, r := range list {
			known[r.ID], incarnations[r.Incarnation()] = true, true
		}
	}
	now := chiveclock.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pruneNotices(incarnations, now)
	for id := range rs.slowStarts {
		if !known[id] {
			delete(rs.slowStarts, id)
		}
	}
	for id, until := range rs.suspectUntil {
		if now >= until {
			delete(rs.suspectUntil, id)
		}
	}
	rs.loads.prune(now)
}
