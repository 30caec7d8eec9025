package chivesuspect

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// exclusionTime is how long after the last crash under a suspect its requests are kept
	// from runners. One crash more excludes it again while the earlier ones are remembered.
	exclusionTime = 10 * time.Minute
	// breakLifetime is how long before and after the break of a request its runner may be
	// found to have ended: the time in which registrations lapse, and some more.
	breakLifetime = 15 * time.Second
	// answerSlack is the difference from which a later answer reported by another entry VM
	// is news. Reports that are passed on grow younger by the delay of the network.
	answerSlack = time.Second
	// maxRunners bounds the runners with broken requests or a recent end, and maxBroken the
	// suspects of the broken requests, in which the oldest give way.
	maxRunners = 256
	maxBroken  = 32 << 10
	// updateInterval is the time after which what is too old is forgotten without another event.
	updateInterval = time.Second
	// maxSentFacts bounds the suspects of each kind that are sent to other entry VMs.
	maxSentFacts = 16
)

// Ledger holds the crashes of runners by the suspects that they held: the parts of prompts and
// the requests. Moments are durations since any fixed one. The zero value is empty.
//
// A runner that crashes breaks off all its requests, of which at most one is to blame. A
// suspect is to blame if runner after runner crashes under it and it is never answered. If
// several are, the rarest part explains the crashes, and the others only those that are left.
// A request explains those that no part does, and all crashes of a part under which no other
// request has crashed a runner.
type Ledger struct {
	evidence [kindCount]evidence
	// broken holds the suspects of requests that broke off unanswered at runners that are not
	// known to have ended, and ended the runners that have, by runner.
	broken map[string]*brokenRequests
	ended  map[string]time.Duration
	// excluded holds until when suspects are excluded, as of updatedAt.
	excluded  map[Suspect]time.Duration
	updatedAt time.Duration
}

// brokenRequests holds the suspects of the requests that broke off at a runner.
type brokenRequests struct {
	at time.Duration
	// requests holds the number of the requests with suspects of each kind, and counts that
	// of those with each suspect.
	requests [kindCount]int
	counts   [kindCount]map[string]*brokenCount
}

// brokenCount is the number of broken requests with a suspect, and the number of the latest of them.
type brokenCount struct {
	requests, latest int
}

// add counts a request.
func (b *brokenRequests) add(s Suspects) {
	for k, ids := range s {
		if len(ids) == 0 {
			continue
		}
		b.requests[k]++
		if b.counts[k] == nil {
			b.counts[k] = map[string]*brokenCount{}
		}
		for _, id := range ids {
			c := b.counts[k][id]
			switch {
			case c == nil:
				// The ID may refer to the memory of a whole head.
				b.counts[k][strings.Clone(id)] = &brokenCount{1, b.requests[k]}
			case c.latest < b.requests[k]:
				c.requests, c.latest = c.requests+1, b.requests[k]
			}
		}
	}
}

// size returns the number of suspects.
func (b *brokenRequests) size() (n int) {
	for _, counts := range b.counts {
		n += len(counts)
	}
	return n
}

// AddRequest counts a request with the given suspects.
func (l *Ledger) AddRequest(s Suspects, now time.Duration) {
	for k, ids := range s {
		l.evidence[k].history.addRequest(ids, now)
	}
}

// AddAnswer records that a runner has answered a request without a crash.
func (l *Ledger) AddAnswer(s Suspects, now time.Duration) {
	cleared := false
	for k, ids := range s {
		cleared = l.evidence[k].addAnswer(ids, now) || cleared
	}
	if cleared {
		l.update(now)
	}
}

// AddBreak records that a request broke off at a runner before it was answered. It reports
// whether the runner is known to have ended, which makes it a crash.
func (l *Ledger) AddBreak(runner string, s Suspects, now time.Duration) bool {
	b := l.broken[runner]
	if b == nil {
		if l.broken == nil {
			l.broken = map[string]*brokenRequests{}
		}
		if len(l.broken) >= maxRunners {
			return false
		}
		b = &brokenRequests{at: now}
		l.broken[runner] = b
	}
	if b.size() < maxBroken {
		b.add(s)
	}
	l.trimBroken()
	if at, ok := l.ended[runner]; ok && now-at < breakLifetime {
		return l.AddEnd(runner, now)
	}
	return false
}

// trimBroken forgets the runners whose first request broke off longest ago while there are more
// than maxBroken suspects of broken requests.
func (l *Ledger) trimBroken() {
	size := 0
	for _, b := range l.broken {
		size += b.size()
	}
	for size > maxBroken && len(l.broken) > 1 {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(l.broken)), func(a, b string) int {
			return cmp.Or(cmp.Compare(l.broken[a].at, l.broken[b].at), cmp.Compare(a, b))
		})
		size -= l.broken[oldest].size()
		delete(l.broken, oldest)
	}
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
	for k := range l.evidence {
		for id := range b.counts[k] {
			l.evidence[k].record(id).addCrash(runner, b.at, now)
		}
		l.evidence[k].history.addBreaks(b.requests[k], b.counts[k], now)
	}
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

// Breaks returns the number of runners that have crashed under a suspect since it was last
// answered, or have broken it off and are not known to go on.
func (l *Ledger) Breaks(s Suspect) int {
	n := 0
	if r := l.evidence[s.Kind].records[s.ID]; r != nil {
		n = len(r.crashes)
	}
	for _, b := range l.broken {
		if b.counts[s.Kind][s.ID] != nil {
			n++
		}
	}
	return n
}

// Merge adds the facts that another entry VM stated the given time ago.
func (l *Ledger) Merge(facts []Fact, delay, now time.Duration) {
	news := false
	for i := range facts {
		news = l.evidence[facts[i].Kind].merge(&facts[i], delay, now) || news
	}
	if news {
		l.update(now)
	}
}

// Facts returns what is to be sent to the other entry VMs.
func (l *Ledger) Facts(now time.Duration) []Fact {
	known := false
	for k := range l.evidence {
		known = known || len(l.evidence[k].records) > 0
	}
	if !known {
		return nil
	}
	if now-l.updatedAt >= updateInterval {
		l.update(now)
	}
	var facts []Fact
	for k := range l.evidence {
		e := &l.evidence[k]
		for _, id := range l.sentSuspects(Kind(k), now) {
			r := e.records[id]
			f := Fact{Suspect: Suspect{ID: id, Kind: Kind(k)}, Crashes: r.sentCrashes(now), Requests: e.requests(r)}
			if r.answeredAt > 0 {
				f.Answered = max(1, now-r.answeredAt)
			}
			facts = append(facts, f)
		}
	}
	return facts
}

// sentSuspects returns the suspects of a kind that other entry VMs are to be told of.
func (l *Ledger) sentSuspects(k Kind, now time.Duration) []string {
	e := &l.evidence[k]
	first := make(heaviest, 0, maxSentFacts)
	for id, r := range e.records {
		if !r.isNews(now) {
			continue
		}
		w := e.weigh(k, id)
		_, w.excluded = l.excluded[Suspect{ID: id, Kind: k}]
		first.add(w)
	}
	list := make([]string, 0, len(first))
	for _, w := range first {
		list = append(list, w.id)
	}
	return list
}

// Excluded returns the first of the suspects whose requests are kept from runners and the
// time that this still lasts, or 0 if there is none.
func (l *Ledger) Excluded(s Suspects, now time.Duration) (first Suspect, left time.Duration) {
	if len(l.excluded) == 0 {
		return Suspect{}, 0
	}
	for suspect := range s.all() {
		if until, ok := l.excluded[suspect]; ok && now < until {
			return suspect, until - now
		}
	}
	return Suspect{}, 0
}

// AllExcluded returns the suspects whose requests are kept from runners, with the number of
// crashes under each.
func (l *Ledger) AllExcluded(now time.Duration) map[Suspect]int {
	list := map[Suspect]int{}
	for s, until := range l.excluded {
		if now < until {
			list[s] = len(l.evidence[s.Kind].records[s.ID].crashes)
		}
	}
	return list
}

// update forgets what is too old or too much and determines anew which suspects are excluded.
func (l *Ledger) update(now time.Duration) {
	l.prune(now)
	l.updatedAt = now
	l.excluded = map[Suspect]time.Duration{}
	parts, requests := &l.evidence[Part], &l.evidence[Request]
	badParts, badRequests := parts.suspected(Part, weight.compareRarity), requests.suspected(Request, weight.compare)
	if len(badParts) == 0 && len(badRequests) == 0 {
		return
	}
	all, explained := l.allCrashes(), map[string]bool{}
	for _, id := range badParts {
		left := unexplained(parts.records[id].crashes, explained)
		if len(left) > 0 && !requests.explains(parts.records[id].crashes, all) {
			l.exclude(Suspect{ID: id, Kind: Part}, left, all, explained, now)
		}
	}
	for _, id := range badRequests {
		if left := unexplained(requests.records[id].crashes, explained); len(left) > 0 {
			l.exclude(Suspect{ID: id, Kind: Request}, left, all, explained, now)
		}
	}
}

// allCrashes returns the moments of all crashes that are remembered, by runner.
func (l *Ledger) allCrashes() map[string]time.Duration {
	all := map[string]time.Duration{}
	for k := range l.evidence {
		for _, r := range l.evidence[k].records {
			maps.Copy(all, r.crashes)
		}
	}
	return all
}

// unexplained returns the moments of those crashes that are not explained, by runner.
func unexplained(crashes map[string]time.Duration, explained map[string]bool) map[string]time.Duration {
	var left map[string]time.Duration
	for runner, at := range crashes {
		if explained[runner] {
			continue
		}
		if left == nil {
			left = map[string]time.Duration{}
		}
		left[runner] = at
	}
	return left
}

// exclude excludes a suspect if it is to blame for those of all crashes that are left, which nothing
// else explains, and adds its crashes to the explained ones.
func (l *Ledger) exclude(s Suspect, left, all map[string]time.Duration, explained map[string]bool, now time.Duration) {
	e := &l.evidence[s.Kind]
	if !e.blames(s.ID, left, all) {
		return
	}
	for runner := range e.records[s.ID].crashes {
		explained[runner] = true
	}
	if until := slices.Max(slices.Collect(maps.Values(left))) + exclusionTime; now < until {
		l.excluded[s] = until
	}
}

// prune forgets what is too old or too much.
func (l *Ledger) prune(now time.Duration) {
	maps.DeleteFunc(l.broken, func(_ string, b *brokenRequests) bool { return now-b.at > breakLifetime })
	maps.DeleteFunc(l.ended, func(_ string, at time.Duration) bool { return now-at > breakLifetime })
	for k := range l.evidence {
		l.evidence[k].prune(Kind(k), now)
	}
}
