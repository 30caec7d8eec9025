package chiverelay

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivechoice"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivefair"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivepace"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// suspectTime is how long a runner that failed is passed over where another
	// has room.
	suspectTime = 1500 * time.Millisecond
	// loadAge is how long the load that another entry VM reported counts.
	loadAge = 2500 * time.Millisecond
	// slowAge is how long the news of a slow runner counts.
	slowAge = 2500 * time.Millisecond
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

	mu       sync.Mutex
	own      map[string]int
	peers    map[string]peerLoad
	slow     map[string]peerSlow
	suspects map[string]chiveboot.Moment
	cold     map[string]*chivequota.Cold
	retries  map[string]*chivequota.Retries
	paces    map[string]*pace
	stays    map[string]map[*stay]bool
	ledgers  map[string]*chivefair.Ledger
	// self is the name of this entry VM among entries, which share the limits.
	self    string
	entries []string
}

// pace limits the requests at the model runners of a service.
type pace struct {
	chivepace.Pacer
	// asked is the shortest pause that a route of the service asks.
	asked time.Duration
}

// peerLoad is the number of requests that another entry VM has at each runner.
type peerLoad struct {
	at   chiveboot.Moment
	busy map[string]int
}

// peerSlow is what a source knows of slow runners.
type peerSlow struct {
	at    chiveboot.Moment
	paces map[string]float64
}

// ownSource begins the names of sources on this entry VM.
const ownSource = "own/"

// NewRunnerState returns a new Board of the entry VM with a name.
func NewRunnerState(self string, limits RetryLimits) *RunnerState {
	return &RunnerState{
		limits: limits, own: map[string]int{}, peers: map[string]peerLoad{}, slow: map[string]peerSlow{}, suspects: map[string]chiveboot.Moment{},
		cold: map[string]*chivequota.Cold{}, retries: map[string]*chivequota.Retries{}, paces: map[string]*pace{}, stays: map[string]map[*stay]bool{}, ledgers: map[string]*chivefair.Ledger{},
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
	b.peers[name] = peerLoad{at: chiveboot.Now(), busy: busy}
}

// SetSlowRunners notes the slow runners that a source found, with their paces, and has
// streams leave those that are very slow.
func (b *RunnerState) SetSlowRunners(source string, paces map[string]float64) {
	defer b.clear(paces)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(paces) == 0 {
		delete(b.slow, source)
		return
	}
	b.slow[source] = peerSlow{at: chiveboot.Now(), paces: paces}
}

// LocalSlowRunners returns the slow runners that the holder of the map duty on this entry
// VM found.
func (b *RunnerState) LocalSlowRunners() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]float64{}
	for source, s := range b.slow {
		if strings.HasPrefix(source, ownSource) && chiveboot.Since(s.at) < slowAge {
			for id, pace := range s.paces {
				list[id] = pace
			}
		}
	}
	return list
}

// LocalSource names a group of ranks as a source of this entry VM.
func LocalSource(group string) string {
	return ownSource + group
}

// slowFactor returns how much slower than others a runner is.
func (b *RunnerState) slowFactor(id string, now chiveboot.Moment) float64 {
	most := 1.0
	for _, s := range b.slow {
		if now.Sub(s.at) < slowAge {
			most = max(most, s.paces[id])
		}
	}
	return most
}

// fewSlow reports whether the others can do the work of the runners that are much
// slower: at most one in maxSlow is.
func (b *RunnerState) fewSlow(runners []*chivefleet.Runner, now chiveboot.Moment) bool {
	if len(b.slow) == 0 {
		return true
	}
	n := 0
	for _, r := range runners {
		if b.slowFactor(r.ID, now) >= movePace {
			n++
		}
	}
	return n*maxSlow <= len(runners)
}

// LocalLoad returns the number of this entry VM's requests at each runner.
func (b *RunnerState) LocalLoad() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]int, len(b.own))
	for id, n := range b.own {
		list[id] = n
	}
	return list
}

// MarkSuspect passes a runner over for a while.
func (b *RunnerState) MarkSuspect(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[id] = chiveboot.Now().Add(suspectTime)
}

// CountRequest counts a request for a service.
func (b *RunnerState) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Request(time.Duration(chiveboot.Now()))
}

// TakeRetry takes one retry out of the budget of a service.
func (b *RunnerState) TakeRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Take(time.Duration(chiveboot.Now()), len(b.entries))
}

func (b *RunnerState) budget(service string) *chivequota.Retries {
	r := b.retries[service]
	if r == nil {
		r = &chivequota.Retries{Ratio: b.limits.RetryRatio, Slack: b.limits.RetrySlack, Span: b.limits.RetryWindow}
		b.retries[service] = r
	}
	return r
}

// RecordPause notes the pause between two events of a stream.
func (b *RunnerState) RecordPause(service string, pause, asked time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pace(service)
	p.Add(pause)
	if p.asked == 0 || asked < p.asked {
		p.asked = asked
	}
}

func (b *RunnerState) pace(service string) *pace {
	p := b.paces[service]
	if p == nil {
		p = &pace{}
		b.paces[service] = p
	}
	return p
}

// AdjustLimits ends an interval of all limits that pauses set.
func (b *RunnerState) AdjustLimits(fleet *chivefleet.Fleet) {
	if fleet.Config == nil {
		return
	}
	now := chiveboot.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.paces {
		s, runners := fleet.Config.Services[name], fleet.Usable(name)
		if s == nil || s.Engine == nil || len(runners) == 0 {
			continue
		}
		sum, slots := 0, 0
		for _, r := range runners {
			sum += min(b.busy(r.ID, now), r.Slots)
			slots += r.Slots
		}
		n := len(runners)
		p.Step(p.asked, s.Engine.Pass, float64(sum)/float64(n), slots/n)
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
	now := chiveboot.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var p *pace
	if w.Service.Engine != nil {
		p = b.pace(w.Service.Name)
	}
	few := b.fewSlow(runners, now)
	list := make([]chivechoice.Candidate, 0, len(runners))
	sound := make([]*chivefleet.Runner, 0, len(runners))
	for _, r := range runners {
		slots := r.Slots
		if p != nil {
			slots = int(math.Ceil(p.Limit(slots)))
		}
		// A rank that is slow holds up its whole group with its own requests.
		if pace := b.slowFactor(r.ID, now); pace > 1 {
			slots = int(float64(slots)/pace) - c.Queue
			if pace >= movePace && few {
				slots = -c.Queue
			}
		}
		list = append(list, chivechoice.Candidate{
			Busy: b.busy(r.ID, now), Slots: slots, Near: r.Zone == w.Zone,
			Suspect: now < b.suspects[r.ID], Tried: w.Tried[r.ID],
		})
		sound = append(sound, r)
	}
	for len(list) > 0 {
		i := c.Choose(list, w.Rand)
		if i < 0 {
			return nil
		}
		if b.admitCold(sound[i], w.Service, now) {
			b.own[sound[i].ID]++
			return sound[i]
		}
		list = append(list[:i], list[i+1:]...)
		sound = append(sound[:i], sound[i+1:]...)
	}
	return nil
}

// admitCold reports whether a runner may take one more request while it is cold.
func (b *RunnerState) admitCold(r *chivefleet.Runner, s *chivefleet.Service, now chiveboot.Moment) bool {
	if now >= r.Cold || s.ColdRate == 0 {
		return true
	}
	c := b.cold[r.ID]
	if c == nil {
		c = &chivequota.Cold{}
		b.cold[r.ID] = c
	}
	return c.Take(time.Duration(now), s.ColdRate, len(b.entries), chiveshard.Place(r.ID, b.self, b.entries))
}

// Release ends the count of a request at a runner.
func (b *RunnerState) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own[id]--; b.own[id] <= 0 {
		delete(b.own, id)
	}
}

// busy returns the requests of all entry VMs at a runner.
func (b *RunnerState) busy(id string, now chiveboot.Moment) int {
	n := b.own[id]
	for _, p := range b.peers {
		if now.Sub(p.at) < loadAge {
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
	now := chiveboot.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.cold {
		if !known[id] {
			delete(b.cold, id)
		}
	}
	for id, until := range b.suspects {
		if now >= until {
			delete(b.suspects, id)
		}
	}
	for name, p := range b.peers {
		if now.Sub(p.at) > loadAge {
			delete(b.peers, name)
		}
	}
}
