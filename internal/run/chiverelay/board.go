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
	// suspectTime is how long a runner that failed is passed over where another
	// has room.
	suspectTime = 1500 * time.Millisecond
	// loadAge is how long the load that another entry VM reported counts.
	loadAge = 2500 * time.Millisecond
	// slowAge is how long the news of a slow runner counts.
	slowAge = 2500 * time.Millisecond
)

// Limits bound what entry VMs send together.
type Limits struct {
	// RetryRatio and RetrySlack bound the retries at a service in any
	// RetryWindow: a part of its requests, and a number.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// A Board keeps what is known of the load and the health of runners. It is safe
// for concurrent use.
type Board struct {
	limits Limits

	mu       sync.Mutex
	own      map[string]int
	peers    map[string]peerLoad
	slow     map[string]peerSlow
	suspects map[string]chiveclock.Moment
	cold     map[string]*chivequota.ColdLimiter
	retries  map[string]*chivequota.RetryBudget
	paces    map[string]*pace
	stays    map[string]map[*stay]bool
	ledgers  map[string]*chivefair.Ledger
	// self is the name of this entry VM among entries, which share the limits.
	self    string
	entries []string
}

// pace limits the requests at the model runners of a service.
type pace struct {
	chivelimit.ConcurrencyLimiter
	// asked is the shortest pause that a route of the service asks.
	asked time.Duration
}

// peerLoad is the number of requests that another entry VM has at each runner.
type peerLoad struct {
	at   chiveclock.Moment
	busy map[string]int
}

// peerSlow is what a source knows of slow runners.
type peerSlow struct {
	at    chiveclock.Moment
	paces map[string]float64
}

// ownSource begins the names of sources on this entry VM.
const ownSource = "own/"

// NewBoard returns a new Board of the entry VM with a name.
func NewBoard(self string, limits Limits) *Board {
	return &Board{
		limits: limits, own: map[string]int{}, peers: map[string]peerLoad{}, slow: map[string]peerSlow{}, suspects: map[string]chiveclock.Moment{},
		cold: map[string]*chivequota.ColdLimiter{}, retries: map[string]*chivequota.RetryBudget{}, paces: map[string]*pace{}, stays: map[string]map[*stay]bool{}, ledgers: map[string]*chivefair.Ledger{},
		self: self, entries: []string{self},
	}
}

// SetEntries sets the names of the entry VMs that share the limits.
func (b *Board) SetEntries(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = names
}

// Peer notes the load that another entry VM reported.
func (b *Board) Peer(name string, busy map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[name] = peerLoad{at: chiveclock.Now(), busy: busy}
}

// Slow notes the slow runners that a source found, with their paces, and has
// streams leave those that are very slow.
func (b *Board) Slow(source string, paces map[string]float64) {
	defer b.clear(paces)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(paces) == 0 {
		delete(b.slow, source)
		return
	}
	b.slow[source] = peerSlow{at: chiveclock.Now(), paces: paces}
}

// OwnSlow returns the slow runners that the holder of the map duty on this entry
// VM found.
func (b *Board) OwnSlow() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := map[string]float64{}
	for source, s := range b.slow {
		if strings.HasPrefix(source, ownSource) && chiveclock.Since(s.at) < slowAge {
			for id, pace := range s.paces {
				list[id] = pace
			}
		}
	}
	return list
}

// OwnSource names a group of ranks as a source of this entry VM.
func OwnSource(group string) string {
	return ownSource + group
}

// slowFactor returns how much slower than others a runner is.
func (b *Board) slowFactor(id string, now chiveclock.Moment) float64 {
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
func (b *Board) fewSlow(runners []*chivefleet.Runner, now chiveclock.Moment) bool {
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

// Own returns the number of this entry VM's requests at each runner.
func (b *Board) Own() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make(map[string]int, len(b.own))
	for id, n := range b.own {
		list[id] = n
	}
	return list
}

// Suspect passes a runner over for a while.
func (b *Board) Suspect(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects[id] = chiveclock.Now().Add(suspectTime)
}

// Request counts a request for a service.
func (b *Board) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).AddRequest(time.Duration(chiveclock.Now()))
}

// Retry takes one retry out of the budget of a service.
func (b *Board) Retry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).AllowRetry(time.Duration(chiveclock.Now()), len(b.entries))
}

func (b *Board) budget(service string) *chivequota.RetryBudget {
	r := b.retries[service]
	if r == nil {
		r = &chivequota.RetryBudget{Ratio: b.limits.RetryRatio, Slack: b.limits.RetrySlack, Span: b.limits.RetryWindow}
		b.retries[service] = r
	}
	return r
}

// Pause notes the pause between two events of a stream.
func (b *Board) Pause(service string, pause, asked time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pace(service)
	p.AddPause(pause)
	if p.asked == 0 || asked < p.asked {
		p.asked = asked
	}
}

func (b *Board) pace(service string) *pace {
	p := b.paces[service]
	if p == nil {
		p = &pace{}
		b.paces[service] = p
	}
	return p
}

// StepPaces ends an interval of all limits that pauses set.
func (b *Board) StepPaces(fleet *chivefleet.Fleet) {
	if fleet.Config == nil {
		return
	}
	now := chiveclock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.paces {
		s, runners := fleet.Config.Services[name], fleet.UsableRunners(name)
		if s == nil || s.Engine == nil || len(runners) == 0 {
			continue
		}
		sum, slots := 0, 0
		for _, r := range runners {
			sum += min(b.busy(r.ID, now), r.Slots)
			slots += r.Slots
		}
		n := len(runners)
		p.EndInterval(p.asked, s.Engine.IdlePassTime, float64(sum)/float64(n), slots/n)
	}
}

// A Want is what a request asks of a runner.
type Want struct {
	Service *chivefleet.Service
	// Zone is that of the entry VM.
	Zone string
	// Tried holds the runners that had the request before.
	Tried map[string]bool
	// Draw decides what is left to chance.
	Draw *rand.Rand
}

// Reserve picks a runner and counts the request there. It returns nil where none
// has room.
func (b *Board) Reserve(runners []*chivefleet.Runner, c chivechoice.Chooser, w Want) *chivefleet.Runner {
	now := chiveclock.Now()
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
			slots = int(float64(slots)/pace) - c.QueueLimit
			if pace >= movePace && few {
				slots = -c.QueueLimit
			}
		}
		list = append(list, chivechoice.Candidate{
			InFlight: b.busy(r.ID, now), Slots: slots, SameZone: r.Zone == w.Zone,
			Suspect: now < b.suspects[r.ID], Tried: w.Tried[r.ID],
		})
		sound = append(sound, r)
	}
	for len(list) > 0 {
		i := c.Choose(list, w.Draw)
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
func (b *Board) admitCold(r *chivefleet.Runner, s *chivefleet.Service, now chiveclock.Moment) bool {
	if now >= r.ColdUntil || s.ColdRate == 0 {
		return true
	}
	c := b.cold[r.ID]
	if c == nil {
		c = &chivequota.ColdLimiter{}
		b.cold[r.ID] = c
	}
	return c.Allow(time.Duration(now), s.ColdRate, len(b.entries), chiveshard.Position(r.ID, b.self, b.entries))
}

// Release ends the count of a request at a runner.
func (b *Board) Release(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own[id]--; b.own[id] <= 0 {
		delete(b.own, id)
	}
}

// busy returns the requests of all entry VMs at a runner.
func (b *Board) busy(id string, now chiveclock.Moment) int {
	n := b.own[id]
	for _, p := range b.peers {
		if now.Sub(p.at) < loadAge {
			n += p.busy[id]
		}
	}
	return n
}

// Trim forgets runners and entry VMs that are gone.
func (b *Board) Trim(fleet *chivefleet.Fleet) {
	known := map[string]bool{}
	for _, list := range fleet.Runners {
		for _, r := range list {
			known[r.ID] = true
		}
	}
	now := chiveclock.Now()
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
