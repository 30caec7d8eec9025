// Package chivecap shares out among all entry VMs the request rates that runners accept
// from them together.
package chivecap

import (
	"cmp"
	"errors"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveshard"
)

const (
	// usedFraction is the fraction of a named rate that entry VMs use. The rest covers the
	// moments at which they disagree on who is alive.
	usedFraction = 0.9
	// minSenderRate is the rate in requests per second below which a share is not divided
	// further: fewer entry VMs send then. A rate that was divided evenly could allow each
	// of them less than one request for seconds.
	minSenderRate = 1.0
	// minRate is the least rate at which a runner gets requests, in requests per second.
	// Only its answers can tell that it accepts more again.
	minRate = 0.1
	// burstTime is the time for which an entry VM may save up its share of a rate, at least
	// minBurst requests, so that requests which do not arrive evenly can use it.
	burstTime = 500 * time.Millisecond
	minBurst  = 2
	// capLifetime is how long a named rate is remembered after its last report.
	capLifetime = 10 * time.Minute
	// recoveryDoubling is the time in which the rate of a runner doubles after it has ceased to
	// name one, and recoveryTime that after which it is not limited: it was in need, and may
	// answer once without the rate that it goes on to name.
	recoveryDoubling = 2 * time.Second
	recoveryTime     = 10 * time.Second
	// maxRecords bounds the runners with a named rate, and maxNameLength the length in bytes
	// of the name of a runner.
	maxRecords    = 1024
	maxNameLength = 256
	// maxSentChanges bounds the latest changes in a report, and maxSentOthers the other facts,
	// which take turns.
	maxSentChanges = 16
	maxSentOthers  = 8
)

// Fact is the request rate that a runner has named last. It is sent to other entry VMs, with
// its age in place of its moment.
type Fact struct {
	// Runner names the incarnation of the runner.
	Runner string `cbor:"runner"`
	// Rate is in requests per second. It is not set if the runner has ceased to name one.
	Rate *float64 `cbor:"rate,omitempty"`
	// Version counts the changes of what the runner says. The highest one holds: ages grow
	// younger by the delay of the network each time that a fact is passed on.
	Version int64 `cbor:"version"`
	// Age is how long ago the runner answered so.
	Age time.Duration `cbor:"age"`
}

// Validate returns an error for a fact that no entry VM sends.
func (f *Fact) Validate() error {
	if f.Runner == "" || len(f.Runner) > maxNameLength || f.Age < 0 || f.Version < 1 || f.Rate != nil && !(*f.Rate >= 0) {
		return errors.New("fact of a rate has no or a long runner, no version, a negative age or a rate that is not a number")
	}
	return nil
}

// Sender is an entry VM that may send requests.
type Sender struct {
	Name string
	// Zone is its availability zone.
	Zone string
}

// Ledger holds the rates that runners have named, and counts what this entry VM has sent to
// them. Moments are durations since any fixed one. The zero value knows of no rate.
type Ledger struct {
	records map[string]*record
	self    string
	senders []Sender
	// sendersVersion counts the calls that changed senders.
	sendersVersion int
	// lastSent is the last runner of those that take turns in reports.
	lastSent string
}

// record is what is known of a runner.
type record struct {
	// limited reports whether the runner names a rate.
	limited bool
	// rate is what it names, or named last.
	rate    float64
	version int64
	// namedAt is when the runner last answered so, or first if it names no rate any more.
	namedAt time.Duration
	// changedAt is when this entry VM learned of the last change.
	changedAt time.Duration
	// tokens is the number of requests that may be sent as of filledAt.
	tokens   float64
	filledAt time.Duration
	// position is that of this entry VM among those that may send to the runner, for the
	// senders of positionVersion.
	position, positionVersion int
}

// SetSenders sets the entry VMs that share the rates, and which of them this one is. Before
// the first call nothing is allowed to runners with a rate.
func (l *Ledger) SetSenders(self string, senders []Sender) {
	if self == l.self && slices.Equal(senders, l.senders) {
		return
	}
	l.self, l.senders = self, senders
	l.sendersVersion++
}

// SetRate records that a runner has named a rate in an answer, in requests per second, or
// none if rate is nil. It reports whether that differs from before.
func (l *Ledger) SetRate(runner string, rate *float64, now time.Duration) bool {
	r := l.records[runner]
	if r == nil && rate == nil {
		return false
	}
	if r != nil && r.says(rate) {
		if r.limited {
			r.namedAt = now
		}
		return false
	}
	version := int64(1)
	if r != nil {
		version = r.version + 1
	}
	l.set(runner, rate, version, now, now)
	return true
}

// says reports whether the runner has last named a rate, or none if rate is nil.
func (r *record) says(rate *float64) bool {
	return r.limited == (rate != nil) && (rate == nil || r.rate == *rate)
}

// set records the rate that a runner named at a moment, as a version of what it says.
func (l *Ledger) set(runner string, rate *float64, version int64, namedAt, now time.Duration) {
	r := l.records[runner]
	if r == nil {
		if len(l.records) >= maxRecords {
			l.prune(now)
		}
		if l.records == nil {
			l.records = map[string]*record{}
		}
		r = &record{tokens: 1, filledAt: now}
		l.records[runner] = r
	}
	r.namedAt, r.changedAt, r.limited, r.version = namedAt, now, rate != nil, version
	if rate != nil {
		r.rate = *rate
	}
}

// Rate returns the rate that a runner names, and false if it names none.
func (l *Ledger) Rate(runner string, now time.Duration) (rate float64, ok bool) {
	r := l.records[runner]
	if r == nil || !r.limited || now-r.namedAt > capLifetime {
		return 0, false
	}
	return r.rate, true
}

// Allow reports whether this entry VM may send a request to a runner in a zone.
func (l *Ledger) Allow(runner, zone string, now time.Duration) bool {
	r := l.records[runner]
	if r == nil {
		return true
	}
	rate, ok := r.accepted(now)
	if !ok {
		return true
	}
	share := l.share(runner, zone, r, rate)
	r.tokens = min(max(minBurst, share*burstTime.Seconds()), r.tokens+share*(now-r.filledAt).Seconds())
	r.filledAt = now
	return share > 0 && r.tokens >= 1
}

// Take counts a request that Allow has allowed.
func (l *Ledger) Take(runner string) {
	if r := l.records[runner]; r != nil {
		r.tokens--
	}
}

// accepted returns the rate at which the runner gets requests, and false if it is not limited.
func (r *record) accepted(now time.Duration) (rate float64, ok bool) {
	rate = max(minRate, usedFraction*r.rate)
	since := now - r.namedAt
	if r.limited {
		return rate, since <= capLifetime
	}
	return rate * math.Exp2(since.Seconds()/recoveryDoubling.Seconds()), since < recoveryTime
}

// share returns the part of the rate of a runner that this entry VM may use. A rate is shared
// evenly by as many entry VMs as get minSenderRate each, those of the runner's zone first.
func (l *Ledger) share(runner, zone string, r *record, rate float64) float64 {
	if r.positionVersion != l.sendersVersion {
		r.position, r.positionVersion = l.position(runner, zone), l.sendersVersion
	}
	count := max(1, int(min(rate/minSenderRate, float64(len(l.senders)))))
	if r.position >= count || len(l.senders) == 0 {
		return 0
	}
	return rate / float64(count)
}

// position returns the position of this entry VM among those that may send to a runner: those
// of the runner's zone come first, and the order differs between runners.
func (l *Ledger) position(runner, zone string) int {
	var near, far []string
	nearby := false
	for _, s := range l.senders {
		if s.Zone == zone {
			near = append(near, s.Name)
			nearby = nearby || s.Name == l.self
		} else {
			far = append(far, s.Name)
		}
	}
	if nearby {
		return chiveshard.Position(runner, l.self, near)
	}
	return len(near) + chiveshard.Position(runner, l.self, far)
}

// Merge adds the facts that another entry VM stated the given time ago.
func (l *Ledger) Merge(facts []Fact, delay, now time.Duration) {
	for _, f := range facts {
		namedAt := now - delay - f.Age
		if now-namedAt > capLifetime {
			continue
		}
		r := l.records[f.Runner]
		switch {
		case r == nil && f.Rate == nil:
		case r == nil || r.precedes(&f):
			l.set(f.Runner, f.Rate, f.Version, namedAt, now)
		case r.version == f.Version && r.limited:
			r.namedAt = max(r.namedAt, namedAt)
		}
	}
}

// precedes reports whether a fact replaces the record. Of two changes that two entry VMs saw
// at the same time, the one with a rate and then the lower rate holds, until the next answer.
func (r *record) precedes(f *Fact) bool {
	if f.Version != r.version || f.Rate == nil {
		return f.Version > r.version
	}
	return !r.limited || *f.Rate < r.rate
}

// Facts returns what is to be sent to the other entry VMs: the latest changes, and some of the
// other facts in turn.
func (l *Ledger) Facts(now time.Duration) []Fact {
	if len(l.records) == 0 {
		return nil
	}
	l.prune(now)
	runners := slices.SortedFunc(maps.Keys(l.records), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.records[b].changedAt, l.records[a].changedAt), cmp.Compare(a, b))
	})
	latest := min(len(runners), maxSentChanges)
	others := runners[latest:]
	slices.Sort(others)
	next, _ := slices.BinarySearch(others, l.lastSent+"\x00")
	facts := make([]Fact, 0, maxSentChanges+maxSentOthers)
	for _, runner := range runners[:latest] {
		facts = append(facts, l.fact(runner, now))
	}
	for i := range min(len(others), maxSentOthers) {
		l.lastSent = others[(next+i)%len(others)]
		facts = append(facts, l.fact(l.lastSent, now))
	}
	return facts
}

// fact returns what is known of a runner.
func (l *Ledger) fact(runner string, now time.Duration) Fact {
	r := l.records[runner]
	f := Fact{Runner: runner, Version: r.version, Age: max(0, now-r.namedAt)}
	if r.limited {
		rate := r.rate
		f.Rate = &rate
	}
	return f
}

// Count returns the number of runners that name a rate.
func (l *Ledger) Count(now time.Duration) (n int) {
	for runner := range l.records {
		if _, ok := l.Rate(runner, now); ok {
			n++
		}
	}
	return n
}

// prune forgets what is too old, and the oldest record if there are too many.
func (l *Ledger) prune(now time.Duration) {
	maps.DeleteFunc(l.records, func(_ string, r *record) bool { return now-r.namedAt > capLifetime })
	for len(l.records) >= maxRecords {
		delete(l.records, slices.MinFunc(slices.Collect(maps.Keys(l.records)), func(a, b string) int {
			return cmp.Or(cmp.Compare(l.records[a].namedAt, l.records[b].namedAt), cmp.Compare(a, b))
		}))
	}
}
