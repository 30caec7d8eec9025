package chivesuspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// blamer is a rule by which entry VMs keep requests from runners.
type blamer interface {
	AddRequest(s Suspects, now time.Duration)
	AddAnswer(s Suspects, now time.Duration)
	AddBreak(runner string, s Suspects, now time.Duration) bool
	AddEnd(runner string, now time.Duration) bool
	Merge(facts []Fact, delay, now time.Duration)
	Facts(now time.Duration) []Fact
	Excluded(s Suspects, now time.Duration) (Suspect, time.Duration)
}

// loner is the naive blamer that knows only what its own entry VM has seen.
type loner struct{ Ledger }

func (*loner) Merge([]Fact, time.Duration, time.Duration) {}

// avenger is the naive blamer that blames every suspect of the requests that break off.
type avenger struct {
	Ledger
	blamed map[Suspect]bool
}

func newAvenger() blamer { return &avenger{blamed: map[Suspect]bool{}} }

func (a *avenger) AddBreak(runner string, s Suspects, now time.Duration) bool {
	for suspect := range s.all() {
		a.blamed[suspect] = true
	}
	return a.Ledger.AddBreak(runner, s, now)
}

func (a *avenger) Excluded(s Suspects, _ time.Duration) (Suspect, time.Duration) {
	for suspect := range s.all() {
		if a.blamed[suspect] {
			return suspect, exclusionTime
		}
	}
	return Suspect{}, 0
}

// partsOnly is the naive blamer that does not follow requests.
type partsOnly struct{ Ledger }

func (p *partsOnly) AddBreak(runner string, s Suspects, now time.Duration) bool {
	return p.Ledger.AddBreak(runner, Suspects{Part: s[Part]}, now)
}

// callerless is the naive blamer to which requests of different callers are alike.
type callerless struct{ Ledger }

// strip leaves the caller out of the names of requests.
func (*callerless) strip(s Suspects) Suspects {
	var requests []string
	for _, id := range s[Request] {
		_, id, _ = strings.Cut(id, "/")
		requests = append(requests, id)
	}
	return Suspects{Part: s[Part], Request: requests}
}

func (c *callerless) AddRequest(s Suspects, now time.Duration) { c.Ledger.AddRequest(c.strip(s), now) }

func (c *callerless) AddAnswer(s Suspects, now time.Duration) { c.Ledger.AddAnswer(c.strip(s), now) }

func (c *callerless) AddBreak(runner string, s Suspects, now time.Duration) bool {
	return c.Ledger.AddBreak(runner, c.strip(s), now)
}

func (c *callerless) Excluded(s Suspects, now time.Duration) (Suspect, time.Duration) {
	return c.Ledger.Excluded(c.strip(s), now)
}

// The load of the model: a fleet of model runners as a group of ranks or each by itself.
const (
	modelEntries, modelRunners = 8, 16
	// soundSpacing and badSpacing are the mean times between two requests of a kind.
	soundSpacing, badSpacing = 14 * time.Millisecond, 500 * time.Millisecond
	// prefillTime is the time until an answer begins; restartTime that of a runner and
	// formTime that until a group is whole again after a crash.
	prefillTime, restartTime, formTime = 250 * time.Millisecond, 1300 * time.Millisecond, 4200 * time.Millisecond
	reportPeriod, reportDelay          = 250 * time.Millisecond, 500 * time.Millisecond
	// contactTime is the time after the last crash that may happen from which at most three
	// bad requests may reach runners.
	contactTime = 3 * time.Second
)

// fleetModel simulates runners, requests and reports in steps of a millisecond.
type fleetModel struct {
	rng *rand.Rand
	// drawBad draws the suspects of a request that crashes its runner. plainShare is the
	// fraction of sound requests without parts.
	drawBad    func(m *fleetModel) Suspects
	plainShare float64
	blamers    []blamer
	grouped    bool
	// downUntil is the time until which runners take no requests, incarnation their number
	// of restarts.
	downUntil   [modelRunners]time.Duration
	incarnation [modelRunners]int
	waiting     []modelRequest
	reports     []modelReport
	// drawn counts the sound requests that were drawn.
	drawn int

	// crashes and badCrashes hold when runners crashed, for any reason and under a bad request.
	crashes, badCrashes []time.Duration
	badSent             []time.Duration
	// answered and refused count requests by whether they are bad, and refusedOf the sound
	// ones that were refused by caller.
	answered, refused map[bool]int
	refusedOf         map[string]int
}

// modelRequest is a request at a runner whose answer has not begun.
type modelRequest struct {
	entry, runner int
	beginsAt      time.Duration
	suspects      Suspects
	bad           bool
}

// modelReport is a report on its way to all other entry VMs.
type modelReport struct {
	from      int
	arrivesAt time.Duration
	facts     []Fact
}

func newFleetModel(seed uint64, grouped bool, create func() blamer) *fleetModel {
	m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 3)), drawBad: drawBadPart, grouped: grouped, answered: map[bool]int{}, refused: map[bool]int{}, refusedOf: map[string]int{}}
	for range modelEntries {
		m.blamers = append(m.blamers, create())
	}
	return m
}

// run simulates the time until end. bad reports whether bad requests come at a time, and
// crashAt whether some runner crashes at a time for another reason.
func (m *fleetModel) run(end time.Duration, bad, crashAt func(time.Duration) bool) {
	for now := time.Second; now < time.Second+end; now += time.Millisecond {
		at := now - time.Second
		if m.rng.Float64() < float64(time.Millisecond)/float64(soundSpacing) {
			m.send(now, m.drawSound(), false)
		}
		if bad(at) && m.rng.Float64() < float64(time.Millisecond)/float64(badSpacing) {
			m.send(now, m.drawBad(m), true)
		}
		if crashAt(at) {
			m.crash(now, m.rng.IntN(modelRunners))
		}
		m.begin(now)
		m.exchangeReports(now)
	}
}

// drawSound draws a sound request of some caller: with the parts of its route and of its
// subject, or without parts. Many of those without come again.
func (m *fleetModel) drawSound() Suspects {
	m.drawn++
	request := fmt.Sprintf("caller-%d/%d", m.rng.IntN(4), m.drawn)
	if m.rng.Float64() >= m.plainShare {
		subject := int(400 * m.rng.Float64() * m.rng.Float64())
		return Suspects{Part: {fmt.Sprint("route-", m.rng.IntN(3)), fmt.Sprint("subject-", subject)}, Request: {request}}
	}
	if m.rng.IntN(2) == 0 {
		request = fmt.Sprintf("caller-%d/list-%d", m.rng.IntN(4), m.rng.IntN(20))
	}
	return Suspects{Request: {request}}
}

// drawBadPart draws a request with the part that crashes runners. Each differs.
func drawBadPart(m *fleetModel) Suspects {
	s := m.drawSound()
	return Suspects{Part: append(slices.Clone(s[Part]), "bad"), Request: s[Request]}
}

// drawBadRequest draws the one request that crashes runners, which is alike to that of other
// callers.
func drawBadRequest(*fleetModel) Suspects {
	return Suspects{Request: {"caller-0/list-bad"}}
}

// drawBadPrompt draws the one request that crashes runners, which has parts that others have
// too.
func drawBadPrompt(*fleetModel) Suspects {
	return Suspects{Part: {"route-0", "subject-0"}, Request: {"caller-0/prompt"}}
}

func (m *fleetModel) send(now time.Duration, s Suspects, bad bool) {
	entry, runner := m.rng.IntN(modelEntries), m.rng.IntN(modelRunners)
	b := m.blamers[entry]
	b.AddRequest(s, now)
	if _, left := b.Excluded(s, now); left > 0 {
		m.refused[bad]++
		if caller, _, _ := strings.Cut(s[Request][0], "/"); !bad {
			m.refusedOf[caller]++
		}
		return
	}
	if now < m.downUntil[runner] {
		return
	}
	if bad {
		m.badSent = append(m.badSent, now)
	}
	beginsAt := now + prefillTime/2 + time.Duration(m.rng.Int64N(int64(prefillTime)))
	m.waiting = append(m.waiting, modelRequest{entry, runner, beginsAt, s, bad})
}

// begin lets answers begin.
func (m *fleetModel) begin(now time.Duration) {
	for i := 0; i < len(m.waiting); i++ {
		q := m.waiting[i]
		if now < q.beginsAt {
			continue
		}
		if q.bad {
			m.badCrashes = append(m.badCrashes, now)
			m.crash(now, q.runner)
			i = -1
			continue
		}
		m.answered[false]++
		m.blamers[q.entry].AddAnswer(q.suspects, now)
		m.waiting = slices.Delete(m.waiting, i, i+1)
		i--
	}
}

// crash ends a runner. The ranks of its group drop the requests that they have not begun.
func (m *fleetModel) crash(now time.Duration, runner int) {
	if now < m.downUntil[runner] {
		return
	}
	m.crashes = append(m.crashes, now)
	name := fmt.Sprintf("runner-%d@%d", runner, m.incarnation[runner])
	m.incarnation[runner]++
	for _, q := range m.waiting {
		if q.runner == runner {
			m.blamers[q.entry].AddBreak(name, q.suspects, now)
		}
	}
	for _, b := range m.blamers {
		b.AddEnd(name, now)
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(q modelRequest) bool { return m.grouped || q.runner == runner })
	for r := range m.downUntil {
		switch {
		case m.grouped:
			m.downUntil[r] = now + formTime
		case r == runner:
			m.downUntil[r] = now + restartTime
		}
	}
}

// exchangeReports sends and delivers the reports of all entry VMs.
func (m *fleetModel) exchangeReports(now time.Duration) {
	if now%reportPeriod == 0 {
		for i, b := range m.blamers {
			m.reports = append(m.reports, modelReport{i, now + time.Duration(m.rng.Int64N(int64(reportDelay))), b.Facts(now)})
		}
	}
	m.reports = slices.DeleteFunc(m.reports, func(r modelReport) bool {
		if now < r.arrivesAt {
			return false
		}
		for i, b := range m.blamers {
			if i != r.from {
				b.Merge(r.facts, 0, now)
			}
		}
		return true
	})
}

// lateBad returns how many bad requests reached runners later than contactTime after the given
// number of crashes.
func (m *fleetModel) lateBad(crashes int) (n int) {
	if len(m.badCrashes) < crashes {
		return 0
	}
	for _, at := range m.badSent {
		if at > m.badCrashes[crashes-1]+contactTime {
			n++
		}
	}
	return n
}
