package chivecap

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// sharer is a rule by which entry VMs keep to the rates of runners.
type sharer interface {
	SetSenders(self string, senders []Sender)
	SetRate(runner string, rate *float64, now time.Duration) bool
	Allow(runner, zone string, now time.Duration) bool
	Take(runner string)
	Merge(facts []Fact, delay, now time.Duration)
	Facts(now time.Duration) []Fact
}

// loner is the naive sharer that takes a rate for its own.
type loner struct{ Ledger }

func (l *loner) SetSenders(self string, _ []Sender) {
	l.Ledger.SetSenders(self, []Sender{{Name: self}})
}

// divider is the naive sharer that divides a rate evenly, in whole requests per second.
type divider struct {
	Ledger
	sent map[string][]time.Duration
}

func (d *divider) Allow(runner, _ string, now time.Duration) bool {
	rate, ok := d.Rate(runner, now)
	if !ok {
		return true
	}
	recent := 0
	for _, at := range d.sent[runner] {
		if now-at < time.Second {
			recent++
		}
	}
	if float64(recent+1) > rate/float64(len(d.senders)) {
		return false
	}
	d.sent[runner] = append(d.sent[runner], now)
	return true
}

func (*divider) Take(string) {}

// deaf is the naive sharer that knows only what it was told itself.
type deaf struct{ Ledger }

func (*deaf) Merge([]Fact, time.Duration, time.Duration) {}

const (
	// window, overrun and slack bound what a runner may get: overrun times what its rate
	// allows in a window, and slack more.
	window  = 4 * time.Second
	overrun = 1.5
	slack   = 5
	// contactTime is the time after a runner has first named its rate from which it counts.
	contactTime = 3 * time.Second
	reportTime  = 250 * time.Millisecond
	reportDelay = 500 * time.Millisecond
)

// capModel simulates entry VMs that send as fast as they may to one runner.
type capModel struct {
	sharers []sharer
	rng     *rand.Rand
	alive   []bool
	// ceasesAt is when the runner ceases to name a rate.
	ceasesAt time.Duration
	// arrivals holds when requests arrived at the runner.
	arrivals []time.Duration
}

func newCapModel(seed uint64, entries int, create func() sharer) *capModel {
	m := &capModel{rng: rand.New(rand.NewPCG(seed, 5)), ceasesAt: time.Hour}
	for range entries {
		m.sharers, m.alive = append(m.sharers, create()), append(m.alive, true)
	}
	return m
}

// senders returns the entry VMs that are alive.
func (m *capModel) senders() (list []Sender) {
	for i, ok := range m.alive {
		if ok {
			list = append(list, Sender{Name: fmt.Sprint("vm-", i), Zone: fmt.Sprint("zone-", i%3)})
		}
	}
	return list
}

// run simulates 20 s, in which the runner names a rate. The entry VMs send a request each
// with the given mean spacing of each. change is called at 8 s and may end entry VMs, of
// which the others learn a second later.
func (m *capModel) run(rate float64, spacing time.Duration, change func(m *capModel)) {
	type report struct {
		from      int
		arrivesAt time.Duration
		facts     []Fact
	}
	var reports []report
	tellSenders := func() {
		for i, s := range m.sharers {
			s.SetSenders(fmt.Sprint("vm-", i), m.senders())
		}
	}
	tellSenders()
	for at := time.Duration(0); at < 20*time.Second; at += time.Millisecond {
		now := time.Hour + at
		switch at {
		case 8 * time.Second:
			change(m)
		case 9 * time.Second:
			tellSenders()
		}
		for i, s := range m.sharers {
			if !m.alive[i] {
				continue
			}
			if m.rng.Float64() < float64(time.Millisecond)/float64(spacing) && s.Allow("r", "zone-0", now) {
				s.Take("r")
				m.arrivals = append(m.arrivals, at)
				named := &rate
				if at >= m.ceasesAt {
					named = nil
				}
				s.SetRate("r", named, now)
			}
			if (at+time.Duration(i)*7*time.Millisecond)%reportTime == 0 {
				reports = append(reports, report{i, now + time.Duration(m.rng.Int64N(int64(reportDelay))), s.Facts(now)})
			}
		}
		kept := reports[:0]
		for _, r := range reports {
			if now < r.arrivesAt {
				kept = append(kept, r)
				continue
			}
			for i, s := range m.sharers {
				if i != r.from {
					s.Merge(r.facts, 0, now)
				}
			}
		}
		reports = kept
	}
}

// most returns the largest number of arrivals in a window later than contactTime, and total
// the number of all of them per second.
func (m *capModel) most() (most int, perSecond float64) {
	for i, at := range m.arrivals {
		if at < contactTime {
			continue
		}
		perSecond++
		n := 0
		for _, o := range m.arrivals[i:] {
			if o-at < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most, perSecond / (20*time.Second - contactTime).Seconds()
}

// TestRateIsShared checks that all entry VMs together keep to the rate that a runner names
// and use most of it, as one of them or a zone of them ends.
func TestRateIsShared(t *testing.T) {
	changes := []struct {
		give string
		do   func(m *capModel)
	}{
		{"nothing changes", func(*capModel) {}},
		{"one ends", func(m *capModel) { m.alive[0] = len(m.alive) == 1 }},
		{"a zone ends", func(m *capModel) {
			for i := range m.alive {
				m.alive[i] = len(m.alive) == 1 || i%3 != 0
			}
		}},
	}
	for _, entries := range []int{1, 8, 36, 150, 320} {
		for _, rate := range []float64{0, 0.5, 2.2, 15, 60} {
			for _, c := range changes {
				m := newCapModel(uint64(entries), entries, func() sharer { return &Ledger{} })
				m.run(rate, 60*time.Millisecond, c.do)
				most, perSecond := m.most()
				if allowed := overrun*rate*window.Seconds() + slack; float64(most) > allowed {
					t.Errorf("%d entry VMs, rate %v, %s: %d requests in %v, want at most %.0f", entries, rate, c.give, most, window, allowed)
				}
				if possible := min(rate, 16*float64(entries)); perSecond < 0.6*possible {
					t.Errorf("%d entry VMs, rate %v, %s: %.1f requests a second", entries, rate, c.give, perSecond)
				}
				if rate == 0 && perSecond > 0.2 {
					t.Errorf("%d entry VMs, %s: %.1f requests a second to a runner that accepts none", entries, c.give, perSecond)
				}
			}
		}
	}
}

// TestNaiveSharers shows what goes wrong where each entry VM takes the rate for its own,
// divides it evenly, or knows only what it was told itself.
func TestNaiveSharers(t *testing.T) {
	const entries, rate = 8, 2.2
	run := func(create func() sharer) (int, float64) {
		m := newCapModel(1, entries, create)
		m.run(rate, 100*time.Millisecond, func(*capModel) {})
		return m.most()
	}
	allowed := int(overrun*rate*window.Seconds() + slack)
	ours, ourRate := run(func() sharer { return &Ledger{} })
	alone, _ := run(func() sharer { return &loner{} })
	if alone <= allowed {
		t.Errorf("each for itself: %d requests in %v, no more than %d", alone, window, allowed)
	}
	_, divided := run(func() sharer { return &divider{sent: map[string][]time.Duration{}} })
	if divided > 0.5*rate {
		t.Errorf("divided evenly: %.1f requests a second", divided)
	}
	unaware, _ := run(func() sharer { return &deaf{} })
	t.Logf("allowed %d in %v: %d; each for itself %d; only its own knowledge %d; used of %v a second: %.1f, divided evenly %.1f", allowed, window, ours, alone, unaware, rate, ourRate, divided)
}

// TestRateEndsForAll checks that all entry VMs send again, step by step, once the runner names
// no rate any more, also those that do not send to it under the rate and are not told by it.
func TestRateEndsForAll(t *testing.T) {
	const ceasesAt = 6 * time.Second
	between := func(m *capModel, from, to time.Duration) (n int) {
		for _, at := range m.arrivals {
			if at >= from && at < to {
				n++
			}
		}
		return n
	}
	run := func(create func() sharer) *capModel {
		m := newCapModel(2, 8, create)
		m.ceasesAt = ceasesAt
		m.run(2.2, 100*time.Millisecond, func(*capModel) {})
		return m
	}
	ours := run(func() sharer { return &Ledger{} })
	// The rule may go on for a runner of which one answer has named no rate.
	allowed := int(overrun*2.2*window.Seconds() + slack)
	if n := between(ours, ceasesAt, ceasesAt+window); n > allowed {
		t.Errorf("%d requests in the first %v after the rate has ended, want at most %d", n, window, allowed)
	}
	// Eight entry VMs send ten requests a second each.
	from := ceasesAt + recoveryTime + time.Second
	all := 80 * int((20*time.Second - from).Seconds())
	if n := between(ours, from, 20*time.Second); n < all*9/10 {
		t.Errorf("%d requests after the rate has ended, want about %d", n, all)
	}
	alone := run(func() sharer { return &deaf{} })
	if n := between(alone, from, 20*time.Second); n > all/2 {
		t.Errorf("entry VMs that tell each other nothing send %d requests, so that the model shows nothing", n)
	}
}

// TestRateEnds checks that a rate ends when the runner names none, also for entry VMs that
// are told, and that an older report does not bring it back.
func TestRateEnds(t *testing.T) {
	rate, now := 2.0, time.Hour
	a, b := &Ledger{}, &Ledger{}
	a.SetRate("r", &rate, now)
	b.Merge(a.Facts(now), 0, now)
	older := b.Facts(now)
	if _, ok := b.Rate("r", now); !ok {
		t.Error("the entry VM that was told does not know the rate")
	}
	if b.Allow("r", "z", now) {
		t.Error("a request is allowed before the other entry VMs are known")
	}
	a.SetRate("r", nil, now+time.Second)
	b.Merge(a.Facts(now+time.Second), 0, now+time.Second)
	if _, ok := b.Rate("r", now+time.Second); ok {
		t.Error("the rate has not ended for the entry VM that was told")
	}
	b.Merge(older, time.Second+50*time.Millisecond, now+time.Second)
	if _, ok := b.Rate("r", now+time.Second); ok {
		t.Error("an older report brings the rate back")
	}
	if a.SetRate("other", &rate, now); len(a.Facts(now+capLifetime+2*time.Second)) != 0 {
		t.Error("a rate is kept for ever")
	}
}

// TestLedgerIsBounded checks that the reports of a confused peer do not make a ledger or its
// own reports grow without bound.
func TestLedgerIsBounded(t *testing.T) {
	l := &Ledger{}
	rate := 1.0
	for i := range 3 * maxRecords {
		l.Merge([]Fact{{Runner: fmt.Sprint("r", i), Rate: &rate, Version: 1, Age: time.Duration(i % 100)}}, 0, time.Hour)
	}
	if n, sent := len(l.records), len(l.Facts(time.Hour)); n > maxRecords || sent > maxSentChanges+maxSentOthers {
		t.Errorf("%d records, %d facts", n, sent)
	}
}

// TestFactsTakeTurns checks that all facts are sent within some reports, and changes at once.
func TestFactsTakeTurns(t *testing.T) {
	const runners = 200
	l := &Ledger{}
	rate := 2.0
	now := time.Hour
	for i := range runners {
		l.SetRate(fmt.Sprint("r", i), &rate, now)
		now += time.Millisecond
	}
	sent := map[string]bool{}
	for range runners/maxSentOthers + 1 {
		for _, f := range l.Facts(now) {
			sent[f.Runner] = true
		}
	}
	if len(sent) < runners {
		t.Errorf("%d of %d facts were sent", len(sent), runners)
	}
	l.SetRate("r77", nil, now)
	if facts := l.Facts(now); facts[0].Runner != "r77" || facts[0].Rate != nil {
		t.Errorf("the first fact is %+v, want the latest change", facts[0])
	}
}

// TestValidate checks that facts which no entry VM sends are rejected.
func TestValidate(t *testing.T) {
	number := func(f float64) *float64 { return &f }
	tests := []struct {
		give string
		fact Fact
		ok   bool
	}{
		{"a rate", Fact{Runner: "r", Version: 1, Rate: number(2.5)}, true},
		{"no rate any more", Fact{Runner: "r", Version: 2, Age: time.Second}, true},
		{"no runner", Fact{Version: 1, Rate: number(1)}, false},
		{"a long runner", Fact{Version: 1, Runner: string(make([]byte, maxNameLength+1))}, false},
		{"a negative rate", Fact{Runner: "r", Version: 1, Rate: number(-1)}, false},
		{"no number", Fact{Runner: "r", Version: 1, Rate: number(math.NaN())}, false},
		{"no version", Fact{Runner: "r", Rate: number(1)}, false},
		{"a negative age", Fact{Runner: "r", Version: 1, Age: -1}, false},
	}
	for _, tt := range tests {
		if err := tt.fact.Validate(); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.give, err)
		}
	}
}

// ExampleLedger shows that one of two entry VMs uses a small rate.
func ExampleLedger() {
	rate := 1.0
	senders := []Sender{{Name: "a", Zone: "north"}, {Name: "b", Zone: "south"}}
	for _, s := range senders {
		var l Ledger
		l.SetSenders(s.Name, senders)
		l.SetRate("runner", &rate, 0)
		count := 0
		for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
			if l.Allow("runner", "north", now) {
				l.Take("runner")
				count++
			}
		}
		fmt.Println(s.Name, count)
	}
	// Output:
	// a 9
	// b 0
}
