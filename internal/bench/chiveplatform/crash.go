package chiveplatform

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// headerPromptParts holds the parts of a prompt.
const headerPromptParts = "Chiveyoke-Prefix-Hash"

const (
	// restartTime is how long a runner that has crashed is gone.
	restartTime = 800 * time.Millisecond
	// crashLimit is the number of crashes after which a part must be known, and
	// maxRequestsWithPart how many requests with it may reach runners from contactTime
	// after them on.
	crashLimit          = 5
	maxRequestsWithPart = 3
)

// crashLog lets a runner crash when it begins to answer a prompt with a certain part, and
// records what reached it. The zero value is the log of a runner that no prompt crashes. It
// is safe for concurrent use.
type crashLog struct {
	mu sync.Mutex
	// part is the ID of the part that crashes the runner, or empty.
	part string
	// onCrash ends the incarnation of the runner. It reports whether nothing else has.
	onCrash func() bool
	// arrivals holds the requests with the part, crashedAt when the runner crashed.
	arrivals  []arrival
	crashedAt []time.Time
}

// CrashOnPart makes the runners crash whenever they begin to answer a prompt with the given
// part. They start again as new incarnations. An empty part ends this.
func (s *Site) CrashOnPart(part string) {
	for i, r := range s.Runners {
		r.crashes.mu.Lock()
		r.crashes.part, r.crashes.onCrash = part, func() bool { return s.restartRunner(i) }
		r.crashes.mu.Unlock()
	}
}

// restartRunner lets a runner be gone for restartTime and then register as a new
// incarnation. It returns false if the runner is gone already.
func (s *Site) restartRunner(i int) bool {
	if s.Links[i].Shut(restartTime) != nil {
		return false
	}
	time.AfterFunc(restartTime, func() {
		s.Runners[i].notices.restart()
		// Only a store that is closed fails.
		_ = s.RegisterRunner(i, "ready")
	})
	return true
}

// holdsPart reports whether the value of the header holds a part.
func holdsPart(value, part string) bool {
	for p := range strings.SplitSeq(value, ",") {
		if id, _, _ := strings.Cut(p, ":"); id == part {
			return true
		}
	}
	return false
}

// arrive records a request with the part that crashes the runner.
func (c *crashLog) arrive(id, parts string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.part != "" && holdsPart(parts, c.part) {
		c.arrivals = append(c.arrivals, arrival{id: id, at: time.Now()})
	}
}

// begin reports whether an answer to a prompt crashes the runner.
func (c *crashLog) begin(parts string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.part != "" && holdsPart(parts, c.part)
}

// crash ends the incarnation of the runner.
func (c *crashLog) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onCrash() {
		c.crashedAt = append(c.crashedAt, time.Now())
	}
}

// crashTimes returns the requests with the part that reached the runners and the times of
// their crashes, in order.
func (s *Site) crashTimes() (arrivals []arrival, crashes []time.Time) {
	for _, r := range s.Runners {
		r.crashes.mu.Lock()
		arrivals, crashes = append(arrivals, r.crashes.arrivals...), append(crashes, r.crashes.crashedAt...)
		r.crashes.mu.Unlock()
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	slices.SortFunc(crashes, time.Time.Compare)
	return arrivals, crashes
}

// lateRequests counts the requests with the part that reached runners later than contactTime
// after the fifth crash and that counted accepts.
func (s *Site) lateRequests(counted func(arrival) bool) (late int) {
	arrivals, crashes := s.crashTimes()
	if len(crashes) < crashLimit {
		return 0
	}
	known := crashes[crashLimit-1].Add(contactTime)
	for _, a := range arrivals {
		if a.at.After(known) && counted(a) {
			late++
		}
	}
	return late
}
