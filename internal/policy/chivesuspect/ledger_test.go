package chivesuspect

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// never is no span of time.
func never(time.Duration) bool { return false }

// TestPartIsExcluded checks, against the two naive blamers, that a part under which runner
// after runner crashes stops reaching them and that sound requests go on.
func TestPartIsExcluded(t *testing.T) {
	const begin, end = 5 * time.Second, 60 * time.Second
	bad := func(at time.Duration) bool { return at >= begin }
	for _, grouped := range []bool{false, true} {
		t.Run(fmt.Sprint("grouped ", grouped), func(t *testing.T) {
			for seed := range uint64(12) {
				ours := newFleetModel(seed, grouped, func() blamer { return &Ledger{} })
				ours.run(end, bad, never)
				if n := ours.lateBad(); n > 3 || len(ours.crashes) > 8 {
					t.Errorf("seed %d: %d requests with the part later than %v after the fifth crash, %d crashes", seed, n, contactTime, len(ours.crashes))
				}
				if ours.refused["sound"] > ours.answered["sound"]/100 {
					t.Errorf("seed %d: %d sound requests refused, %d answered", seed, ours.refused["sound"], ours.answered["sound"])
				}
				alone := newFleetModel(seed, grouped, func() blamer { return &loner{} })
				alone.run(end, bad, never)
				if alone.lateBad() <= 3 {
					t.Errorf("seed %d: entry VMs that tell each other nothing keep the rule, so that the model shows nothing", seed)
				}
				angry := newFleetModel(seed, grouped, func() blamer { return &avenger{blamed: map[string]bool{}} })
				angry.run(end, bad, never)
				if angry.refused["sound"] < ours.answered["sound"]/4 {
					t.Errorf("seed %d: blaming every part refuses %d sound requests only, so that the model shows nothing", seed, angry.refused["sound"])
				}
				if seed == 0 {
					t.Logf("crashes %d, alone %d; late requests with the part %d, alone %d; sound answered %d, alone %d, every part blamed %d",
						len(ours.crashes), len(alone.crashes), ours.lateBad(), alone.lateBad(), ours.answered["sound"], alone.answered["sound"], angry.answered["sound"])
				}
			}
		})
	}
}

// TestPartIsExcludedBesideTrouble checks that a part which crashes runners is found while
// runners crash for other reasons too, and again after all entry VMs have started anew.
func TestPartIsExcludedBesideTrouble(t *testing.T) {
	bad := func(at time.Duration) bool { return at >= 5*time.Second }
	tests := []struct {
		give      string
		crashAt   func(time.Duration) bool
		restartAt time.Duration
	}{
		{"a runner crashes every other second", func(at time.Duration) bool { return at%(2*time.Second) == 0 }, time.Hour},
		{"all entry VMs start anew", never, 25 * time.Second},
		{"both", func(at time.Duration) bool { return at%(2*time.Second) == 0 }, 25 * time.Second},
	}
	for _, tt := range tests {
		for _, grouped := range []bool{false, true} {
			for seed := range uint64(12) {
				m := newFleetModel(seed, grouped, func() blamer { return &Ledger{} })
				m.run(60*time.Second, bad, func(at time.Duration) bool {
					if at == tt.restartAt {
						for i := range m.blamers {
							m.blamers[i] = &Ledger{}
						}
					}
					return tt.crashAt(at)
				})
				if n := m.lateBad(); n > 3 {
					t.Errorf("%s, grouped %t, seed %d: %d requests with the part later than %v after the fifth crash of %d", tt.give, grouped, seed, n, contactTime, len(m.badCrashes))
				}
				if m.refused["sound"] > m.answered["sound"]/50 {
					t.Errorf("%s, grouped %t, seed %d: %d sound requests refused, %d answered", tt.give, grouped, seed, m.refused["sound"], m.answered["sound"])
				}
			}
		}
	}
}

// TestOtherCrashesExcludeNothing checks that runners which crash for other reasons exclude
// no part, also if they do so again and again.
func TestOtherCrashesExcludeNothing(t *testing.T) {
	every := func(d time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at > 2*time.Second && at%d == 0 }
	}
	tests := []struct {
		give    string
		crashAt func(time.Duration) bool
	}{
		{"one every second", every(time.Second)},
		{"four a second", every(250 * time.Millisecond)},
		{"many at once", func(at time.Duration) bool { return at > 2*time.Second && at%(5*time.Second) < 8*time.Millisecond }},
		{"each time the group has formed", every(formTime + 200*time.Millisecond)},
		{"many at once before anything was answered", func(at time.Duration) bool { return at > 150*time.Millisecond && at < 180*time.Millisecond }},
	}
	for _, tt := range tests {
		for _, grouped := range []bool{false, true} {
			for seed := range uint64(8) {
				m := newFleetModel(seed, grouped, func() blamer { return &Ledger{} })
				m.run(60*time.Second, never, tt.crashAt)
				if n := m.refused["sound"]; n > 0 {
					t.Errorf("%s, grouped %t, seed %d: %d sound requests refused after %d crashes", tt.give, grouped, seed, n, len(m.crashes))
				}
			}
		}
	}
}

// crashUnder records in a ledger that runners crashed under a part, one every gap.
func crashUnder(l *Ledger, part string, count int, gap, from time.Duration) (now time.Duration) {
	now = from
	for i := range count {
		runner := fmt.Sprintf("%s-%d-%d", part, from, i)
		l.AddRequest([]string{"route", part}, now)
		l.AddBreak(runner, []string{"route", part}, now)
		l.AddEnd(runner, now)
		now += gap
	}
	return now
}

// TestExclusionEnds checks that a part is let through again after some time without a
// crash, at once when it is answered, and is excluded by a single further crash.
func TestExclusionEnds(t *testing.T) {
	excluded := func(l *Ledger, now time.Duration) bool {
		part, _ := l.Excluded([]string{"route", "bad"}, now)
		return part == "bad"
	}
	sound := func() *Ledger {
		l := &Ledger{}
		for i := range 1000 {
			l.AddRequest([]string{"route"}, time.Duration(i))
			l.AddAnswer([]string{"route"}, time.Duration(i))
		}
		return l
	}
	l := sound()
	now := crashUnder(l, "bad", minCrashes-1, 2*time.Second, time.Minute)
	if excluded(l, now) {
		t.Error("excluded too soon")
	}
	now = crashUnder(l, "bad", 1, 2*time.Second, now)
	if !excluded(l, now) {
		t.Fatal("not excluded")
	}
	now += exclusionTime
	if excluded(l, now) {
		t.Error("still excluded")
	}
	now = crashUnder(l, "bad", 1, time.Second, now)
	if !excluded(l, now) {
		t.Error("not excluded by a further crash")
	}
	l.AddAnswer([]string{"route", "bad"}, now)
	if excluded(l, now) {
		t.Error("excluded although it was answered")
	}
	if now = crashUnder(l, "bad", maxCrashes-1, 2*time.Second, now+time.Second); excluded(l, now) {
		t.Error("a part that was answered before is excluded too soon")
	}
	if now = crashUnder(l, "bad", 1, 2*time.Second, now); !excluded(l, now) {
		t.Error("a part that was answered before is not excluded")
	}
	peer := sound()
	peer.Merge(l.Facts(now), 0, now)
	if !excluded(peer, now) {
		t.Error("not excluded by an entry VM that was told")
	}
	// The facts come back to an entry VM that has started anew by way of another.
	fresh := &Ledger{}
	fresh.Merge(peer.Facts(now+time.Second), time.Second, now+2*time.Second)
	if !excluded(fresh, now+2*time.Second) {
		t.Error("not excluded by an entry VM that has started anew")
	}
}

// TestAnswersClear checks that an entry VM which has answered a part clears it for those
// that suspect it.
func TestAnswersClear(t *testing.T) {
	suspecting, answering := &Ledger{}, &Ledger{}
	now := crashUnder(suspecting, "rare", minCrashes, 2*time.Second, time.Minute)
	answering.AddAnswer([]string{"rare"}, now)
	answering.Merge(suspecting.Facts(now), 0, now+time.Second)
	suspecting.Merge(answering.Facts(now+time.Second), 0, now+2*time.Second)
	if part, _ := suspecting.Excluded([]string{"rare"}, now+2*time.Second); part != "" {
		t.Error("a part that another entry VM has answered is excluded")
	}
}

// TestLedgerIsBounded checks that neither one's own crashes nor the reports of a confused
// peer make a ledger or its reports grow without bound, and that reports are valid.
func TestLedgerIsBounded(t *testing.T) {
	l := &Ledger{}
	now := time.Minute
	for i := range 3000 {
		now += time.Millisecond
		var parts []string
		for k := range 20 {
			parts = append(parts, fmt.Sprintf("%d-%d", i, k))
		}
		l.AddRequest(parts, now)
		l.AddBreak(fmt.Sprint("r", i), parts, now)
		if i%2 == 0 {
			l.AddEnd(fmt.Sprint("r", i), now)
		}
		l.Merge([]Fact{{Part: fmt.Sprint("told-", i), Crashes: []Crash{{Runner: "x", Age: time.Second}}}, {Part: "one", Crashes: []Crash{{Runner: fmt.Sprint(i)}}}}, 0, now)
	}
	if n := len(l.records); n > maxRecords {
		t.Errorf("%d records", n)
	}
	if n := len(l.records["one"].crashes); n > maxRecordCrashes {
		t.Errorf("%d crashes of a part", n)
	}
	if len(l.broken) > maxRunners || len(l.ended) > maxRunners || len(l.history.current.parts) > maxHistoryParts+20 {
		t.Errorf("%d runners with broken requests, %d that ended, %d parts", len(l.broken), len(l.ended), len(l.history.current.parts))
	}
	facts := l.Facts(now)
	if len(facts) > maxSentFacts {
		t.Errorf("%d facts", len(facts))
	}
	for _, f := range facts {
		if err := f.Validate(); err != nil {
			t.Errorf("%+v: %v", f, err)
		}
	}
}

// TestValidate checks that facts which no entry VM sends are rejected.
func TestValidate(t *testing.T) {
	tests := []struct {
		give string
		fact Fact
		ok   bool
	}{
		{"a crash", Fact{Part: "p", Crashes: []Crash{{Runner: "r", Age: time.Second}}}, true},
		{"an answer", Fact{Part: "p", Answered: time.Second}, true},
		{"no part", Fact{Crashes: []Crash{{Runner: "r"}}}, false},
		{"a long part", Fact{Part: string(make([]byte, maxNameLength+1))}, false},
		{"no runner", Fact{Part: "p", Crashes: []Crash{{}}}, false},
		{"a crash to come", Fact{Part: "p", Crashes: []Crash{{Runner: "r", Age: -1}}}, false},
		{"an answer to come", Fact{Part: "p", Answered: -1}, false},
		{"too many crashes", Fact{Part: "p", Crashes: slices.Repeat([]Crash{{Runner: "r"}}, maxSentCrashes+1)}, false},
	}
	for _, tt := range tests {
		if err := tt.fact.Validate(); (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.give, err)
		}
	}
}

// ExampleLedger shows that the part which runners crash under is told apart from the one
// that its requests share with sound ones.
func ExampleLedger() {
	var l Ledger
	for i := range 100 {
		now := time.Duration(i) * time.Second / 10
		l.AddRequest([]string{"shared"}, now)
		l.AddAnswer([]string{"shared"}, now)
	}
	for i := range 3 {
		now := time.Duration(30+10*i) * time.Second
		runner := fmt.Sprint("runner-", i)
		l.AddRequest([]string{"shared", "special"}, now)
		l.AddBreak(runner, []string{"shared", "special"}, now)
		l.AddEnd(runner, now)
	}
	part, _ := l.Excluded([]string{"shared", "special"}, time.Minute)
	fmt.Println(part)
	part, _ = l.Excluded([]string{"shared"}, time.Minute)
	fmt.Printf("%q\n", part)
	// Output:
	// special
	// ""
}
