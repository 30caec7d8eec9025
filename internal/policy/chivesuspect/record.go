package chivesuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// evidenceLifetime is how long a crash is remembered.
	evidenceLifetime = time.Hour
	// clearedLifetime is how long a suspect without crashes is kept, so that other entry VMs
	// learn that it was answered: some periods of their reports.
	clearedLifetime = 10 * time.Second
	// tellingTime is how long after its latest crash a suspect with too few crashes to be
	// excluded is told to other entry VMs.
	tellingTime = 30 * time.Second
	// maxRecordCrashes bounds the crashes of a suspect, and maxSentCrashes those that are sent
	// to other entry VMs.
	maxRecordCrashes = 16
	maxSentCrashes   = 6
)

// record holds the crashes under a suspect.
type record struct {
	// crashes holds the moment of each crash since the suspect was last answered, by runner.
	crashes map[string]time.Duration
	// first and last are the earliest and the latest of these moments, 0 if there is none.
	first, last time.Duration
	// answeredAt is when a request with the suspect was last answered anywhere, or 0.
	answeredAt time.Duration
	// suspectedAt is when a crash was last seen or reported, also if the suspect was answered
	// since.
	suspectedAt time.Duration
	// requests is the largest number of requests that an entry VM had seen which reported a
	// crash.
	requests int
}

// addCrash adds a crash unless the suspect was answered later. It reports whether it is news.
func (r *record) addCrash(runner string, at, now time.Duration) bool {
	r.suspectedAt = now
	known, ok := r.crashes[runner]
	// The earliest report is closest to the truth.
	if at > r.answeredAt && (!ok || at < known) {
		r.crashes[runner] = at
		r.setSpan()
	}
	return at > r.answeredAt && !ok
}

// addAnswer clears the suspect of all earlier crashes. It reports whether there were any.
func (r *record) addAnswer(at time.Duration) bool {
	r.answeredAt = at
	if len(r.crashes) == 0 || r.first > at {
		return false
	}
	maps.DeleteFunc(r.crashes, func(_ string, crashedAt time.Duration) bool { return crashedAt <= at })
	r.setSpan()
	return true
}

// setSpan sets first and last.
func (r *record) setSpan() {
	r.first, r.last = 0, 0
	for _, at := range r.crashes {
		if r.first == 0 || at < r.first {
			r.first = at
		}
		r.last = max(r.last, at)
	}
}

// isNews reports whether other entry VMs are to be told of the suspect.
func (r *record) isNews(now time.Duration) bool {
	return len(r.crashes) == 0 || len(r.crashes) >= minCrashes || now-r.last < tellingTime
}

// sentCrashes returns the crashes to send to other entry VMs.
func (r *record) sentCrashes(now time.Duration) []Crash {
	var list []Crash
	for runner, at := range r.crashes {
		list = append(list, Crash{Runner: runner, Age: max(0, now-at)})
	}
	slices.SortFunc(list, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Runner, b.Runner)) })
	return list[:min(len(list), maxSentCrashes)]
}

// prune forgets crashes that are too old or too many. It reports whether the record is of no
// more use.
func (r *record) prune(now time.Duration) (useless bool) {
	if len(r.crashes) > maxRecordCrashes || now-r.first > evidenceLifetime {
		r.pruneCrashes(now)
	}
	return len(r.crashes) == 0 && now-r.suspectedAt > clearedLifetime
}

// pruneCrashes forgets crashes that are too old or too many.
func (r *record) pruneCrashes(now time.Duration) {
	maps.DeleteFunc(r.crashes, func(_ string, at time.Duration) bool { return now-at > evidenceLifetime })
	for len(r.crashes) > maxRecordCrashes {
		delete(r.crashes, oldest(r.crashes))
	}
	r.setSpan()
}

// oldest returns the runner with the earliest crash.
func oldest(crashes map[string]time.Duration) string {
	return slices.MinFunc(slices.Collect(maps.Keys(crashes)), func(a, b string) int {
		return cmp.Or(cmp.Compare(crashes[a], crashes[b]), cmp.Compare(a, b))
	})
}
