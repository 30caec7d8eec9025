package chivesuspect

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	// badPartCrashes and badRequestCrashes are the numbers of crashes after which a part and
	// a request must be known.
	badPartCrashes    = 5
	badRequestCrashes = 3
)

// parts returns the suspects of a request whose prompt has the given parts.
func parts(ids ...string) Suspects { return Suspects{Part: ids} }

// never is no span of time.
func never(time.Duration) bool { return false }

// TestPartIsExcluded checks, against the two naive blamers, that a part under which runner
// after runner crashes stops reaching them and that sound requests go on.
func TestPartIsExcluded(t *testing.T) {
	t.Parallel()
	const begin, end = 5 * time.Second, 60 * time.Second
	bad := func(at time.Duration) bool { return at >= begin }
	for _, grouped := range []bool{false, true} {
		t.Run(fmt.Sprint("grouped ", grouped), func(t *testing.T) {
			for seed := range uint64(12) {
				ours := newFleetModel(seed, grouped, func() blamer { return &Ledger{} })
				ours.run(end, bad, never)
				if n := ours.lateBad(badPartCrashes); n > 3 || len(ours.crashes) > 8 {
					t.Errorf("seed %d: %d requests with the part later than %v after the fifth crash, %d crashes", seed, n, contactTime, len(ours.crashes))
				}
				if ours.refused[false] > ours.answered[false]/100 {
					t.Errorf("seed %d: %d sound requests refused, %d answered", seed, ours.refused[false], ours.answered[false])
				}
				alone := newFleetModel(seed, grouped, func() blamer { return &loner{} })
				alone.run(end, bad, never)
				if alone.lateBad(badPartCrashes) <= 3 {
					t.Errorf("seed %d: entry VMs that tell each other nothing keep the rule, so that the model shows nothing", seed)
				}
				angry := newFleetModel(seed, grouped, newAvenger)
				angry.run(end, bad, never)
				if angry.refused[false] < ours.answered[false]/4 {
					t.Errorf("seed %d: blaming every part refuses %d sound requests only, so that the model shows nothing", seed, angry.refused[false])
				}
				if seed == 0 {
					t.Logf("crashes %d, alone %d; late requests with the part %d, alone %d; sound answered %d, alone %d, every part blamed %d",
						len(ours.crashes), len(alone.crashes), ours.lateBad(badPartCrashes), alone.lateBad(badPartCrashes), ours.answered[false], alone.answered[false], angry.answered[false])
				}
			}
		})
	}
}

// TestPartIsExcludedBesideTrouble checks that a part which crashes runners is found while
// runners crash for other reasons too, and again after all entry VMs have started anew.
func TestPartIsExcludedBesideTrouble(t *testing.T) {
	t.Parallel()
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
				if n := m.lateBad(badPartCrashes); n > 3 {
					t.Errorf("%s, grouped %t, seed %d: %d requests with the part later than %v after the fifth crash of %d", tt.give, grouped, seed, n, contactTime, len(m.badCrashes))
				}
				if m.refused[false] > m.answered[false]/50 {
					t.Errorf("%s, grouped %t, seed %d: %d sound requests refused, %d answered", tt.give, grouped, seed, m.refused[false], m.answered[false])
				}
			}
		}
	}
}

// TestOtherCrashesExcludeNothing checks that runners which crash for other reasons exclude
// no part, also if they do so again and again.
func TestOtherCrashesExcludeNothing(t *testing.T) {
	t.Parallel()
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
			for seed := range uint64(16) {
				m := newFleetModel(seed, grouped, func() blamer { return &Ledger{} })
				if seed >= 8 {
					m.plainShare = 0.5
				}
				m.run(60*time.Second, never, tt.crashAt)
				if n := m.refused[false]; n > 0 {
					t.Errorf("%s, grouped %t, seed %d: %d sound requests refused after %d crashes", tt.give, grouped, seed, n, len(m.crashes))
				}
			}
		}
	}
}

// TestRequestIsExcluded checks, against the naive blamers, that a request under which runner
// after runner crashes stops reaching them and that sound requests go on, also those of other
// callers that are alike, and also beside crashes for other reasons.
func TestRequestIsExcluded(t *testing.T) {
	t.Parallel()
	const begin, end = 5 * time.Second, 60 * time.Second
	bad := func(at time.Duration) bool { return at >= begin }
	otherCrash := func(at time.Duration) bool { return at%(2*time.Second) == 0 }
	tests := []struct {
		give    string
		draw    func(*fleetModel) Suspects
		crashAt func(time.Duration) bool
	}{
		{"without parts", drawBadRequest, never},
		{"with parts that others have too", drawBadPrompt, never},
		{"while a runner crashes every other second", drawBadRequest, otherCrash},
	}
	for _, tt := range tests {
		for _, grouped := range []bool{false, true} {
			t.Run(fmt.Sprint(tt.give, ", grouped ", grouped), func(t *testing.T) {
				for seed := range uint64(12) {
					run := func(create func() blamer) *fleetModel {
						m := newFleetModel(seed, grouped, create)
						m.drawBad, m.plainShare = tt.draw, 0.5
						m.run(end, bad, tt.crashAt)
						return m
					}
					ours := run(func() blamer { return &Ledger{} })
					if n := ours.lateBad(badRequestCrashes); n > 3 {
						t.Errorf("seed %d: %d bad requests later than %v after the third crash of %d", seed, n, contactTime, len(ours.badCrashes))
					}
					if ours.refused[false] > ours.answered[false]/100 {
						t.Errorf("seed %d: %d sound requests refused, %d answered", seed, ours.refused[false], ours.answered[false])
					}
					forgetful := run(func() blamer { return &partsOnly{} })
					if forgetful.lateBad(badRequestCrashes) <= 3 {
						t.Errorf("seed %d: not to follow requests keeps the rule, so that the model shows nothing", seed)
					}
					alone := run(func() blamer { return &loner{} })
					if alone.lateBad(badRequestCrashes) <= 3 {
						t.Errorf("seed %d: entry VMs that tell each other nothing keep the rule, so that the model shows nothing", seed)
					}
					if seed == 0 {
						t.Logf("crashes %d, alone %d, unfollowed %d; late bad requests %d, alone %d, unfollowed %d; sound answered %d, alone %d, unfollowed %d",
							len(ours.badCrashes), len(alone.badCrashes), len(forgetful.badCrashes), ours.lateBad(badRequestCrashes), alone.lateBad(badRequestCrashes), forgetful.lateBad(badRequestCrashes),
							ours.answered[false], alone.answered[false], forgetful.answered[false])
					}
				}
			})
		}
	}
}

// TestCallersAreToldApart checks, against the naive blamer that leaves callers out, that a
// caller whose request crashes runners cannot have the same request of others refused.
func TestCallersAreToldApart(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		run := func(create func() blamer) *fleetModel {
			m := newFleetModel(seed, false, create)
			m.drawBad = drawBadRequest
			// The other callers send theirs once, after the crashes.
			m.run(30*time.Second, func(time.Duration) bool { return true }, never)
			for caller := 1; caller <= 4; caller++ {
				m.send(32*time.Second, Suspects{Request: {fmt.Sprintf("caller-%d/list-bad", caller)}}, false)
			}
			return m
		}
		refused := func(m *fleetModel) (n int) {
			for caller := 1; caller <= 4; caller++ {
				n += m.refusedOf[fmt.Sprint("caller-", caller)]
			}
			return n
		}
		ours, naive := run(func() blamer { return &Ledger{} }), run(func() blamer { return &callerless{} })
		if n := refused(ours); n > 0 {
			t.Errorf("seed %d: %d requests of other callers refused", seed, n)
		}
		if refused(naive) < 4 {
			t.Errorf("seed %d: leaving callers out refuses only %d requests of others, so that the model shows nothing", seed, refused(naive))
		}
	}
}

// crashUnder records in a ledger that runners crashed under a part, one every gap.
func crashUnder(l *Ledger, part string, count int, gap, from time.Duration) (now time.Duration) {
	now = from
	for i := range count {
		runner := fmt.Sprintf("%s-%d-%d", part, from, i)
		l.AddRequest(parts("route", part), now)
		l.AddBreak(runner, parts("route", part), now)
		l.AddEnd(runner, now)
		now += gap
	}
	return now
}

// TestExclusionEnds checks that a part is let through again after some time without a
// crash, at once when it is answered, and is excluded by a single further crash.
func TestExclusionEnds(t *testing.T) {
	excluded := func(l *Ledger, now time.Duration) bool {
		part, _ := l.Excluded(parts("route", "bad"), now)
		return part.ID == "bad"
	}
	sound := func() *Ledger {
		l := &Ledger{}
		for i := range 1000 {
			l.AddRequest(parts("route"), time.Duration(i))
			l.AddAnswer(parts("route"), time.Duration(i))
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
	l.AddAnswer(parts("route", "bad"), now)
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
	answering.AddAnswer(parts("rare"), now)
	answering.Merge(suspecting.Facts(now), 0, now+time.Second)
	suspecting.Merge(answering.Facts(now+time.Second), 0, now+2*time.Second)
	if part, _ := suspecting.Excluded(parts("rare"), now+2*time.Second); part.ID != "" {
		t.Error("a part that another entry VM has answered is excluded")
	}
}

// TestLedgerIsBounded checks that neither one's own crashes nor the reports of a confused
// peer make a ledger or its reports grow without bound, and that reports are valid.
func TestLedgerIsBounded(t *testing.T) {
	t.Parallel()
	l := &Ledger{}
	now := time.Minute
	for i := range 3000 {
		now += time.Millisecond
		var ids []string
		for k := range 20 {
			ids = append(ids, fmt.Sprintf("%d-%d", i, k))
		}
		s := Suspects{Part: ids, Request: {fmt.Sprint("request-", i)}}
		l.AddRequest(s, now)
		l.AddBreak(fmt.Sprint("r", i), s, now)
		if i%2 == 0 {
			l.AddEnd(fmt.Sprint("r", i), now)
		}
		for k := range kindCount {
			told, one := Suspect{ID: fmt.Sprint("told-", i), Kind: k}, Suspect{ID: "one", Kind: k}
			l.Merge([]Fact{{Suspect: told, Crashes: []Crash{{Runner: "x", Age: time.Second}}}, {Suspect: one, Crashes: []Crash{{Runner: fmt.Sprint(i)}}}}, 0, now)
		}
	}
	for k := range kindCount {
		e := &l.evidence[k]
		if n := len(e.records); n > maxRecords {
			t.Errorf("%d records of a %v", n, k)
		}
		if n := len(e.records["one"].crashes); n > maxRecordCrashes {
			t.Errorf("%d crashes of a %v", n, k)
		}
		if n := len(e.history.current.suspects); n > maxHistorySuspects+20 {
			t.Errorf("%d suspects of kind %v are remembered", n, k)
		}
	}
	if len(l.broken) > maxRunners || len(l.ended) > maxRunners {
		t.Errorf("%d runners with broken requests, %d that ended", len(l.broken), len(l.ended))
	}
	facts := l.Facts(now)
	if len(facts) > int(kindCount)*maxSentFacts {
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
	part := Suspect{ID: "p"}
	tests := []struct {
		give string
		fact Fact
		ok   bool
	}{
		{"a crash", Fact{Suspect: part, Crashes: []Crash{{Runner: "r", Age: time.Second}}}, true},
		{"a crash under a request", Fact{Suspect: Suspect{ID: "q", Kind: Request}, Crashes: []Crash{{Runner: "r", Age: time.Second}}}, true},
		{"an answer", Fact{Suspect: part, Answered: time.Second}, true},
		{"no part", Fact{Crashes: []Crash{{Runner: "r"}}}, false},
		{"a long part", Fact{Suspect: Suspect{ID: string(make([]byte, maxNameLength+1))}}, false},
		{"an unknown kind", Fact{Suspect: Suspect{ID: "p", Kind: kindCount}}, false},
		{"no runner", Fact{Suspect: part, Crashes: []Crash{{}}}, false},
		{"a crash to come", Fact{Suspect: part, Crashes: []Crash{{Runner: "r", Age: -1}}}, false},
		{"an answer to come", Fact{Suspect: part, Answered: -1}, false},
		{"too many crashes", Fact{Suspect: part, Crashes: slices.Repeat([]Crash{{Runner: "r"}}, maxSentCrashes+1)}, false},
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
		l.AddRequest(parts("shared"), now)
		l.AddAnswer(parts("shared"), now)
	}
	for i := range 3 {
		now := time.Duration(30+10*i) * time.Second
		runner := fmt.Sprint("runner-", i)
		l.AddRequest(parts("shared", "special"), now)
		l.AddBreak(runner, parts("shared", "special"), now)
		l.AddEnd(runner, now)
	}
	part, _ := l.Excluded(parts("shared", "special"), time.Minute)
	fmt.Println(part.ID)
	part, _ = l.Excluded(parts("shared"), time.Minute)
	fmt.Printf("%q\n", part.ID)
	// Output:
	// special
	// ""
}

// TestNarrowerRequestIsBlamed guards against refusals of requests with other queries if only one query
// crashes runners, and against runners that crash under requests of which each has another query.
func TestNarrowerRequestIsBlamed(t *testing.T) {
	crash := func(query func(n int) string) *Ledger {
		l, now := &Ledger{}, time.Minute
		for n := range 4 {
			s := Suspects{Request: {query(n), "path"}}
			l.AddRequest(s, now)
			l.AddBreak(fmt.Sprint("r", n), s, now)
			l.AddEnd(fmt.Sprint("r", n), now)
			now += 2 * time.Second
		}
		return l
	}
	tests := []struct {
		give  string
		query func(n int) string
		want  string
	}{
		{"the same query", func(int) string { return "!query" }, "!query"},
		{"queries of their own", func(n int) string { return fmt.Sprint("!query-", n) }, "path"},
	}
	for _, tt := range tests {
		l := crash(tt.query)
		now := time.Minute + 8*time.Second
		if got := l.AllExcluded(now); len(got) != 1 || got[Suspect{ID: tt.want, Kind: Request}] == 0 {
			t.Errorf("%s: excluded %v, want %s", tt.give, got, tt.want)
		}
	}
}
