package chivesuspect

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// blamer is a rule by which entry VMs keep requests from runners.
type blamer interface {
	AddRequest(parts []string, now time.Duration)
	AddAnswer(parts []string, now time.Duration)
	AddBreak(runner string, parts []string, now time.Duration) bool
	AddEnd(runner string, now time.Duration) bool
	Merge(facts []Fact, delay, now time.Duration)
	Facts(now time.Duration) []Fact
	Excluded(parts []string, now time.Duration) (string, time.Duration)
}

// loner is the naive blamer that knows only what its own entry VM has seen.
type loner struct{ Ledger }

func (*loner) Merge([]Fact, time.Duration, time.Duration) {}

// avenger is the naive blamer that blames every part of the requests that break off.
type avenger struct {
	Ledger
	blamed map[string]bool
}

func (a *avenger) AddBreak(runner string, parts []string, now time.Duration) bool {
	for _, p := range parts {
		a.blamed[p] = true
	}
	return a.Ledger.AddBreak(runner, parts, now)
}

func (a *avenger) Excluded(parts []string, _ time.Duration) (string, time.Duration) {
	for _, p := range parts {
		if a.blamed[p] {
			return p, exclusionTime
		}
	}
	return "", 0
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
	// contactTime is the time after the fifth crash from which at most three requests with
	// the part may reach runners.
	contactTime = 3 * time.Second
)

// fleetModel simulates runners, requests and reports in steps of a millisecond.
type fleetModel struct {
	rng     *rand.Rand
	blamers []blamer
	grouped bool
	// downUntil is the time until which runners take no requests, incarnation their number
	// of restarts.
	downUntil   [modelRunners]time.Duration
	incarnation [modelRunners]int
	waiting     []modelRequest
	reports     []modelReport

	// crashes and badCrashes hold when runners crashed, for any reason and under the part.
	crashes, badCrashes []time.Duration
	badSent             []time.Duration
	answered            map[string]int
	refused             map[string]int
}

// modelRequest is a request at a runner whose answer has not begun.
type modelRequest struct {
	entry, runner int
	beginsAt      time.Duration
	parts         []string
}

// modelReport is a report on its way to all other entry VMs.
type modelReport struct {
	from      int
	arrivesAt time.Duration
	facts     []Fact
}

func newFleetModel(seed uint64, grouped bool, create func() blamer) *fleetModel {
	m := &fleetModel{rng: rand.New(rand.NewPCG(seed, 3)), grouped: grouped, answered: map[string]int{}, refused: map[string]int{}}
	for range modelEntries {
		m.blamers = append(m.blamers, create())
	}
	return m
}

// kind names a request in the counts.
func kind(parts []string) string {
	if slices.Contains(parts, "bad") {
		return "bad"
	}
	return "sound"
}

// run simulates the time until end. bad reports whether requests with the part come at a
// time, and crashAt whether some runner crashes at a time for another reason.
func (m *fleetModel) run(end time.Duration, bad, crashAt func(time.Duration) bool) {
	for now := time.Second; now < time.Second+end; now += time.Millisecond {
		at := now - time.Second
		if m.rng.Float64() < float64(time.Millisecond)/float64(soundSpacing) {
			m.send(now, m.soundParts())
		}
		if bad(at) && m.rng.Float64() < float64(time.Millisecond)/float64(badSpacing) {
			m.send(now, append(m.soundParts(), "bad"))
		}
		if crashAt(at) {
			m.crash(now, m.rng.IntN(modelRunners))
		}
		m.begin(now)
		m.exchangeReports(now)
	}
}

// soundParts draws the parts of a sound prompt: one of its route, one of its subject.
func (m *fleetModel) soundParts() []string {
	subject := int(400 * m.rng.Float64() * m.rng.Float64())
	return []string{fmt.Sprint("route-", m.rng.IntN(3)), fmt.Sprint("subject-", subject)}
}

func (m *fleetModel) send(now time.Duration, parts []string) {
	entry, runner := m.rng.IntN(modelEntries), m.rng.IntN(modelRunners)
	b := m.blamers[entry]
	b.AddRequest(parts, now)
	if part, _ := b.Excluded(parts, now); part != "" {
		m.refused[kind(parts)]++
		return
	}
	if now < m.downUntil[runner] {
		return
	}
	if kind(parts) == "bad" {
		m.badSent = append(m.badSent, now)
	}
	m.waiting = append(m.waiting, modelRequest{entry, runner, now + prefillTime/2 + time.Duration(m.rng.Int64N(int64(prefillTime))), parts})
}

// begin lets answers begin.
func (m *fleetModel) begin(now time.Duration) {
	for i := 0; i < len(m.waiting); i++ {
		q := m.waiting[i]
		if now < q.beginsAt {
			continue
		}
		if kind(q.parts) == "bad" {
			m.badCrashes = append(m.badCrashes, now)
			m.crash(now, q.runner)
			i = -1
			continue
		}
		m.answered["sound"]++
		m.blamers[q.entry].AddAnswer(q.parts, now)
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
			m.blamers[q.entry].AddBreak(name, q.parts, now)
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

// lateBad returns how many requests with the part reached runners later than contactTime
// after the fifth crash.
func (m *fleetModel) lateBad() (n int) {
	if len(m.badCrashes) < 5 {
		return 0
	}
	for _, at := range m.badSent {
		if at > m.badCrashes[4]+contactTime {
			n++
		}
	}
	return n
}
