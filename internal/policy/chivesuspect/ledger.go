package chivesuspect

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// evidenceLifetime is how long a crash is remembered.
	evidenceLifetime = time.Hour
	// exclusionTime is how long after the last crash under a part its requests are kept
	// from runners. One crash more excludes the part again while the earlier ones are
	// remembered.
	exclusionTime = 10 * time.Minute
	// breakLifetime is how long before and after the break of a request its runner may be
	// found to have ended: the time in which registrations lapse, and some more.
	breakLifetime = 15 * time.Second
	// incidentGap separates crashes that may have one cause of their own, such as the loss
	// of a zone. Ranks of a group that has lost one begin no answer for as long.
	incidentGap = 1500 * time.Millisecond
	// minCrashes and maxCrashes bound the number of crashes after which a part is excluded.
	// In between, that number is so high that requests which some other cause breaks at
	// random break as often in a row with the probability maxChance only.
	minCrashes = 3
	maxCrashes = 5
	maxChance  = 1e-6
	// The crashes are in minIncidents incidents, or minCrashesAtOnce or more once minRequests
	// were seen: before, no part was answered, and all runners may crash under any of them.
	minIncidents     = 2
	minCrashesAtOnce = 4
	minRequests      = 20
	// A part that was answered before is excluded after maxCrashes crashes since then, if at
	// most maxShare of all requests have it: others can't be told from the requests that any
	// runner happens to hold.
	maxShare = 0.05
	// priorRequests is added to the number of requests, so that the first ones of an entry
	// VM show no high rate of breaks.
	priorRequests = 50
	// clearedLifetime is how long a part without crashes is kept, so that other entry VMs
	// learn that it was answered: some periods of their reports.
	clearedLifetime = 10 * time.Second
	// answerSlack is the difference from which a later answer reported by another entry VM
	// is news. Reports that are passed on grow younger by the delay of the network.
	answerSlack = time.Second

	// maxRecords bounds the parts with crashes, maxRecordCrashes the crashes of each, and
	// maxRunners the runners with broken requests or a recent end.
	maxRecords       = 256
	maxRecordCrashes = 16
	maxRunners       = 256
	// maxSentFacts and maxSentCrashes bound what is sent to other entry VMs.
	maxSentFacts   = 16
	maxSentCrashes = 6
)

// Ledger holds the crashes of runners by the parts of the prompts that they held. Moments
// are durations since any fixed one. The zero value is empty.
//
// A runner that crashes breaks off all its requests, of which at most one is to blame. A
// part is to blame if runner after runner crashes under it and it is never answered. If
// several are, the rarest explains the crashes, and the others only those that are left.
type Ledger struct {
	history history
	records map[string]*record
	// broken holds the parts of requests that broke off unanswered at runners that are not
	// known to have ended, and ended the runners that have, by runner.
	broken map[string]*brokenRequests
	ended  map[string]time.Duration
	// excluded holds until when parts are excluded.
	excluded map[string]time.Duration
}

// record holds the crashes under a part.
type record struct {
	// crashes holds the moment of each crash since the part was last answered, by runner.
	crashes map[string]time.Duration
	// answeredAt is when a request with the part was last answered anywhere, or 0.
	answeredAt time.Duration
	// suspectedAt is when a crash was last seen or reported, also if the part was answered
	// since.
	suspectedAt time.Duration
	// requests is the largest number of requests that an entry VM had seen which reported a
	// crash.
	requests int
}

// addCrash adds a crash unless the part was answered later. It reports whether it is news.
func (r *record) addCrash(runner string, at, now time.Duration) bool {
	r.suspectedAt = now
	known, ok := r.crashes[runner]
	// The earliest report is closest to the truth.
	if at > r.answeredAt && (!ok || at < known) {
		r.crashes[runner] = at
	}
	return at > r.answeredAt && !ok
}

// addAnswer clears the part of all earlier crashes. It reports whether there were any.
func (r *record) addAnswer(at time.Duration) bool {
	before := len(r.crashes)
	r.answeredAt = at
	maps.DeleteFunc(r.crashes, func(_ string, crashedAt time.Duration) bool { return crashedAt <= at })
	return len(r.crashes) < before
}

// brokenRequests holds the parts of the requests that broke off at a runner.
type brokenRequests struct {
	at       time.Duration
	requests int
	// parts holds the number of the requests with each part.
	parts map[string]int
}

// AddRequest counts a request with the given parts.
func (l *Ledger) AddRequest(parts []string, now time.Duration) {
	l.history.addRequest(parts, now)
}

// AddAnswer records that a runner has answered a request without a crash.
func (l *Ledger) AddAnswer(parts []string, now time.Duration) {
	l.history.addAnswer(parts, now)
	cleared := false
	for _, p := range parts {
		if r := l.records[p]; r != nil {
			cleared = r.addAnswer(now) || cleared
		}
	}
	if cleared {
		l.update(now)
	}
}

// AddBreak records that a request broke off at a runner before it was answered. It reports
// whether the runner is known to have ended, which makes it a crash.
func (l *Ledger) AddBreak(runner string, parts []string, now time.Duration) bool {
	b := l.broken[runner]
	if b == nil {
		if l.broken == nil {
			l.broken = map[string]*brokenRequests{}
		}
		if len(l.broken) >= maxRunners {
			return false
		}
		b = &brokenRequests{at: now, parts: map[string]int{}}
		l.broken[runner] = b
	}
	b.requests++
	for _, p := range parts {
		b.parts[p]++
	}
	if at, ok := l.ended[runner]; ok && now-at < breakLifetime {
		return l.AddEnd(runner, now)
	}
	return false
}

// AddEnd records that a runner has ended other than by a planned stop. It reports whether
// that was a crash under an unanswered request.
func (l *Ledger) AddEnd(runner string, now time.Duration) bool {
	if l.ended == nil {
		l.ended = map[string]time.Duration{}
	}
	if _, known := l.ended[runner]; !known && len(l.ended) < maxRunners {
		l.ended[runner] = now
	}
	b := l.broken[runner]
	if b == nil || now-b.at > breakLifetime {
		return false
	}
	delete(l.broken, runner)
	for p := range b.parts {
		l.record(p).addCrash(runner, b.at, now)
	}
	l.history.addBreaks(b.requests, b.parts, now)
	l.update(now)
	return true
}

// AddSurvival records that a runner goes on, so that the requests which broke off there
// show nothing.
func (l *Ledger) AddSurvival(runner string) {
	delete(l.broken, runner)
}

// Broken returns the runners at which requests broke off and that are not known to have
// ended.
func (l *Ledger) Broken() []string {
	return slices.Collect(maps.Keys(l.broken))
}

// record returns the record of a part, created if it has none.
func (l *Ledger) record(part string) *record {
	r := l.records[part]
	if r == nil {
		if l.records == nil {
			l.records = map[string]*record{}
		}
		r = &record{crashes: map[string]time.Duration{}, answeredAt: l.history.answeredAt(part)}
		l.records[part] = r
	}
	return r
}

// Merge adds the facts that another entry VM stated the given time ago.
func (l *Ledger) Merge(facts []Fact, delay, now time.Duration) {
	news := false
	for _, f := range facts {
		if l.records[f.Part] == nil && len(f.Crashes) == 0 {
			continue
		}
		r := l.record(f.Part)
		if f.Answered > 0 {
			if at := now - delay - f.Answered; at > r.answeredAt+answerSlack {
				news = r.addAnswer(at) || news
			}
		}
		for _, c := range f.Crashes {
			news = r.addCrash(c.Runner, now-delay-c.Age, now) || news
		}
		if len(f.Crashes) > 0 && f.Requests > r.requests {
			news = news || r.requests < minRequests
			r.requests = f.Requests
		}
	}
	if news {
		l.update(now)
	}
}

// Facts returns what is to be sent to the other entry VMs: first the parts that are
// excluded, then those with the most crashes.
func (l *Ledger) Facts(now time.Duration) []Fact {
	if len(l.records) == 0 {
		return nil
	}
	l.update(now)
	parts := slices.SortedFunc(maps.Keys(l.records), func(a, b string) int {
		_, excludedA := l.excluded[a]
		_, excludedB := l.excluded[b]
		if excludedA != excludedB {
			if excludedA {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(l.records[b].crashes), len(l.records[a].crashes)), cmp.Compare(a, b))
	})
	parts = parts[:min(len(parts), maxSentFacts)]
	facts := make([]Fact, 0, len(parts))
	for _, p := range parts {
		r := l.records[p]
		f := Fact{Part: p, Requests: l.requests(r)}
		if r.answeredAt > 0 {
			f.Answered = max(1, now-r.answeredAt)
		}
		for runner, at := range r.crashes {
			f.Crashes = append(f.Crashes, Crash{Runner: runner, Age: max(0, now-at)})
		}
		slices.SortFunc(f.Crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Runner, b.Runner)) })
		f.Crashes = f.Crashes[:min(len(f.Crashes), maxSentCrashes)]
		facts = append(facts, f)
	}
	return facts
}

// Excluded returns the first of the parts whose requests are kept from runners and the time
// that this still lasts, or an empty string if there is none.
func (l *Ledger) Excluded(parts []string, now time.Duration) (part string, left time.Duration) {
	for _, p := range parts {
		if until, ok := l.excluded[p]; ok && now < until {
			return p, until - now
		}
	}
	return "", 0
}

// ExcludedParts returns the parts whose requests are kept from runners, with the number of
// crashes under each.
func (l *Ledger) ExcludedParts(now time.Duration) map[string]int {
	list := map[string]int{}
	for p, until := range l.excluded {
		if now < until {
			list[p] = len(l.records[p].crashes)
		}
	}
	return list
}

// update forgets what is too old or too much and determines anew which parts are excluded.
func (l *Ledger) update(now time.Duration) {
	l.prune(now)
	var suspects []string
	for p, r := range l.records {
		if len(r.crashes) >= minCrashes {
			suspects = append(suspects, p)
		}
	}
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(cmp.Compare(l.history.share(a), l.history.share(b)),
			cmp.Compare(len(l.records[b].crashes), len(l.records[a].crashes)), cmp.Compare(a, b))
	})
	l.excluded = map[string]time.Duration{}
	explained := map[string]bool{}
	for _, p := range suspects {
		r := l.records[p]
		left := maps.Clone(r.crashes)
		maps.DeleteFunc(left, func(runner string, _ time.Duration) bool { return explained[runner] })
		if !l.blames(p, left) {
			continue
		}
		for runner := range r.crashes {
			explained[runner] = true
		}
		if until := slices.Max(slices.Collect(maps.Values(left))) + exclusionTime; now < until {
			l.excluded[p] = until
		}
	}
}

// blames reports whether crashes that nothing else explains show that a part causes them.
func (l *Ledger) blames(part string, crashes map[string]time.Duration) bool {
	n, needed := len(crashes), l.neededCrashes(part)
	if l.records[part].answeredAt > 0 {
		if l.history.share(part) > maxShare {
			return false
		}
		needed = maxCrashes
	}
	return n >= needed && incidents(crashes) >= minIncidents || n >= max(needed, minCrashesAtOnce) && l.requests(l.records[part]) >= minRequests
}

// requests returns the largest number of requests that an entry VM has seen which knows of the
// crashes in a record.
func (l *Ledger) requests(r *record) int {
	return max(r.requests, l.history.requests())
}

// neededCrashes returns the number of crashes after which a part is excluded that was never
// answered. It grows with the fraction of other requests that break at runners which crash.
func (l *Ledger) neededCrashes(part string) int {
	rate := l.history.breakRate(part)
	if rate == 0 {
		return minCrashes
	}
	return min(max(minCrashes, int(math.Ceil(math.Log(maxChance)/math.Log(rate)))), maxCrashes)
}

// incidents returns the number of spans of incidentGap in which the crashes happened.
func incidents(crashes map[string]time.Duration) int {
	n, start := 0, time.Duration(0)
	for _, at := range slices.Sorted(maps.Values(crashes)) {
		if n == 0 || at-start >= incidentGap {
			n, start = n+1, at
		}
	}
	return n
}

// prune forgets what is too old or too much.
func (l *Ledger) prune(now time.Duration) {
	maps.DeleteFunc(l.broken, func(_ string, b *brokenRequests) bool { return now-b.at > breakLifetime })
	maps.DeleteFunc(l.ended, func(_ string, at time.Duration) bool { return now-at > breakLifetime })
	for p, r := range l.records {
		maps.DeleteFunc(r.crashes, func(_ string, at time.Duration) bool { return now-at > evidenceLifetime })
		for len(r.crashes) > maxRecordCrashes {
			delete(r.crashes, oldest(r.crashes))
		}
		if len(r.crashes) == 0 && now-r.suspectedAt > clearedLifetime {
			delete(l.records, p)
		}
	}
	for len(l.records) > maxRecords {
		delete(l.records, l.leastSuspect())
	}
}

// oldest returns the runner with the earliest crash.
func oldest(crashes map[string]time.Duration) string {
	return slices.MinFunc(slices.Collect(maps.Keys(crashes)), func(a, b string) int {
		return cmp.Or(cmp.Compare(crashes[a], crashes[b]), cmp.Compare(a, b))
	})
}

// leastSuspect returns the part with the fewest crashes.
func (l *Ledger) leastSuspect() string {
	return slices.MinFunc(slices.Collect(maps.Keys(l.records)), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(l.records[a].crashes), len(l.records[b].crashes)), cmp.Compare(a, b))
	})
}
