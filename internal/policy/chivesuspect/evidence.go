package chivesuspect

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// incidentGap separates crashes that may have one cause of their own, such as the loss
	// of a zone. Ranks of a group that has lost one begin no answer for as long.
	incidentGap = 1500 * time.Millisecond
	// minCrashes and maxCrashes bound the number of crashes after which a suspect is
	// excluded. In between, that number is so high that requests which some other cause
	// breaks at random break as often in a row with the probability maxChance only. It is
	// maxCrashes while at least maxOthers times as many runners crash under other requests.
	minCrashes = 3
	maxCrashes = 5
	maxChance  = 1e-6
	maxOthers  = 2
	// The crashes are in minIncidents incidents, or minCrashesAtOnce or more once minRequests
	// were seen: before, no suspect was answered, and all runners may crash under any of them.
	minIncidents     = 2
	minCrashesAtOnce = 4
	minRequests      = 20
	// A suspect that was answered before is excluded after maxCrashes crashes since then, if
	// at most maxShare of all requests have it: others can't be told from the requests that
	// any runner happens to hold.
	maxShare = 0.05
	// priorRequests is added to the number of requests, so that the first ones of an entry
	// VM show no high rate of breaks.
	priorRequests = 50
	// maxRecords bounds the suspects with crashes of each kind: several times what the head of a
	// request can name, so that a part which crashes runners is still known at its next crash.
	maxRecords = 16 << 10
)

// evidence holds what is known of the suspects of one kind. The zero value is empty.
type evidence struct {
	history history
	records map[string]*record
}

// record returns the record of a suspect, created if it has none.
func (e *evidence) record(id string) *record {
	r := e.records[id]
	if r == nil {
		if e.records == nil {
			e.records = map[string]*record{}
		}
		r = &record{crashes: map[string]time.Duration{}, answeredAt: e.history.answeredAt(id)}
		e.records[id] = r
	}
	return r
}

// addAnswer records that a request with the given suspects was answered. It reports whether
// that clears one of them.
func (e *evidence) addAnswer(ids []string, now time.Duration) (cleared bool) {
	e.history.addAnswer(ids, now)
	for _, id := range ids {
		if r := e.records[id]; r != nil {
			cleared = r.addAnswer(now) || cleared
		}
	}
	return cleared
}

// merge adds a fact that another entry VM stated the given time ago. It reports whether it is
// news.
func (e *evidence) merge(f *Fact, delay, now time.Duration) (news bool) {
	if e.records[f.ID] == nil && len(f.Crashes) == 0 {
		return false
	}
	r := e.record(f.ID)
	if f.Answered > 0 {
		if at := now - delay - f.Answered; at > r.answeredAt+answerSlack {
			news = r.addAnswer(at)
		}
	}
	for _, c := range f.Crashes {
		news = r.addCrash(c.Runner, now-delay-c.Age, now) || news
	}
	if len(f.Crashes) > 0 && f.Requests > r.requests {
		news = news || r.requests < minRequests
		r.requests = f.Requests
	}
	return news
}

// suspected returns the suspects of a kind with enough crashes to be excluded, in the order of
// compare.
func (e *evidence) suspected(k Kind, compare func(a, b weight) int) []string {
	var list []weight
	for id, r := range e.records {
		if len(r.crashes) >= minCrashes {
			list = append(list, e.weigh(k, id))
		}
	}
	slices.SortFunc(list, compare)
	ids := make([]string, 0, len(list))
	for _, w := range list {
		ids = append(ids, w.id)
	}
	return ids
}

// blames reports whether crashes that nothing else explains, among all that are known, show
// that a suspect causes them.
func (e *evidence) blames(id string, crashes, all map[string]time.Duration) bool {
	r, n, needed := e.records[id], len(crashes), e.neededCrashes(id)
	if r.answeredAt > 0 && e.history.share(id) > maxShare {
		return false
	}
	if r.answeredAt > 0 || othersSince(crashes, all) >= maxOthers*n {
		needed = maxCrashes
	}
	return n >= needed && incidents(crashes) >= minIncidents || n >= max(needed, minCrashesAtOnce) && e.requests(r) >= minRequests
}

// requests returns the largest number of requests that an entry VM has seen which knows of the
// crashes in a record.
func (e *evidence) requests(r *record) int {
	return max(r.requests, e.history.requests())
}

// neededCrashes returns the number of crashes after which a suspect is excluded that was never
// answered. It grows with the fraction of other requests that break at runners which crash.
func (e *evidence) neededCrashes(id string) int {
	rate := e.history.breakRate(id)
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

// othersSince returns how many of all crashes are not among the given ones but as late.
func othersSince(crashes, all map[string]time.Duration) (n int) {
	if len(crashes) == 0 {
		return 0
	}
	first := slices.Min(slices.Collect(maps.Values(crashes)))
	for runner, at := range all {
		if _, ok := crashes[runner]; !ok && at >= first {
			n++
		}
	}
	return n
}

// explains reports whether a suspect is to blame for the given crashes and maybe others.
func (e *evidence) explains(crashes, all map[string]time.Duration) bool {
	for id, r := range e.records {
		if len(r.crashes) >= max(minCrashes, len(crashes)) && includes(r.crashes, crashes) && e.blames(id, r.crashes, all) {
			return true
		}
	}
	return false
}

// includes reports whether some crashes include others.
func includes(some, others map[string]time.Duration) bool {
	for runner := range others {
		if _, ok := some[runner]; !ok {
			return false
		}
	}
	return true
}

// prune forgets suspects of a kind that are too old or too many.
func (e *evidence) prune(k Kind, now time.Duration) {
	maps.DeleteFunc(e.records, func(_ string, r *record) bool { return r.prune(now) })
	if len(e.records) <= maxRecords {
		return
	}
	list := make([]weight, 0, len(e.records))
	for id := range e.records {
		list = append(list, e.weigh(k, id))
	}
	slices.SortFunc(list, weight.compare)
	for _, w := range list[maxRecords:] {
		delete(e.records, w.id)
	}
}
