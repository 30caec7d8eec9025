package chiveplatform

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// HeaderPromptParts is the header field of the parts of a prompt.
const HeaderPromptParts = "Chiveyoke-Prefix-Hash"

const (
	// restartTime is how long a runner that has crashed is gone.
	restartTime = 800 * time.Millisecond
	// maxCrashesOfPart and maxCrashesOfRequest are the numbers of crashes after which a part
	// of prompts and a request must be known, and maxLateRequests how many requests with
	// either may reach runners from contactTime after them on.
	maxCrashesOfPart    = 5
	maxCrashesOfRequest = 3
	maxLateRequests     = 3
)

// crashTrigger is what makes a runner crash when it begins to answer a request. The zero
// value is nothing.
type crashTrigger struct {
	// part is the ID of a part of prompts, or empty.
	part string
	// body is the body of a request, or empty.
	body string
}

// matches reports whether a request with the given parts, as the value of the header, and
// body makes a runner crash.
func (c crashTrigger) matches(parts, body string) bool {
	return c.part != "" && holdsPart(parts, c.part) || c.body != "" && c.body == body
}

// crashLog lets a runner crash and records the requests to blame that reached it. The zero
// value is the log of a runner that no request crashes. It is safe for concurrent use.
type crashLog struct {
	mu      sync.Mutex
	trigger crashTrigger
	// onCrash ends the incarnation of the runner. It reports whether nothing else has.
	onCrash func() bool
	// arrivals holds the requests that match the trigger, crashedAt when the runner crashed.
	arrivals  []arrival
	crashedAt []time.Time
}

// CrashOnPart makes the runners crash whenever they begin to answer a prompt with the given
// part. They start again as new incarnations. An empty part ends this.
func (s *Site) CrashOnPart(part string) {
	s.crashOn(crashTrigger{part: part})
}

// CrashOnBody makes the runners crash whenever they begin to answer a request with the given
// body. They start again as new incarnations.
func (s *Site) CrashOnBody(body string) {
	s.crashOn(crashTrigger{body: body})
}

// crashOn replaces what makes the runners crash.
func (s *Site) crashOn(t crashTrigger) {
	for i, r := range s.Runners {
		r.crashes.mu.Lock()
		r.crashes.trigger, r.crashes.onCrash = t, func() bool { return s.restartRunner(i) }
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

// arrive records a request if it matches the trigger, and reports whether it does.
func (c *crashLog) arrive(id, parts, body string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.trigger.matches(parts, body) {
		return false
	}
	c.arrivals = append(c.arrivals, arrival{id: id, at: time.Now()})
	return true
}

// crash ends the incarnation of the runner.
func (c *crashLog) crash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.onCrash() {
		c.crashedAt = append(c.crashedAt, time.Now())
	}
}

// crashTimes returns the requests to blame that reached the runners and the times of their
// crashes, in order.
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

// lateRequests counts the requests to blame that reached runners later than contactTime after
// the given number of crashes and that counted accepts.
func (s *Site) lateRequests(crashLimit int, counted func(arrival) bool) (late int) {
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
