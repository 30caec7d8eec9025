package chiverelay

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

const (
	// provenEvents is the number of events from which a stream counts as answered: a
	// runner that a prompt crashes does so as it begins to write.
	provenEvents = 2
	// probeDelay is the time after the break of a request at which its runner is probed.
	// The process may close its connections before it ends.
	probeDelay = 100 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 500 * time.Millisecond
)

// CrashGuard keeps requests from runners under which, or under a part of whose prompts, runner
// after runner has crashed. The zero value has seen no crash. It is safe for concurrent use.
type CrashGuard struct {
	// OnCrash is called when a crash was seen that other entry VMs should learn of. It may
	// be nil.
	OnCrash func()

	mu     sync.Mutex
	ledger chivesuspect.Ledger
	// probing holds the runners that are being probed.
	probing map[chivefleet.Incarnation]bool
	// reported holds the excluded suspects that ExclusionChanges has returned.
	reported map[chivesuspect.Suspect]int
}

// moment returns the present as the ledger counts it.
func moment() time.Duration {
	return time.Duration(chiveclock.Now())
}

// runnerName returns the name of an incarnation in the ledgers of all entry VMs.
func runnerName(i chivefleet.Incarnation) string {
	return fmt.Sprintf("%s@%d", i.ID, i.StartedAtMillis)
}

// countRequest counts a request with the given suspects.
func (g *CrashGuard) countRequest(s chivesuspect.Suspects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.AddRequest(s, moment())
}

// excluded returns the first of the suspects whose requests are kept from runners and for how
// long, or 0 if there is none.
func (g *CrashGuard) excluded(s chivesuspect.Suspects) (chivesuspect.Suspect, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Excluded(s, moment())
}

// breaks returns the number of runners that have crashed under a suspect, or have broken it
// off and are not known to go on.
func (g *CrashGuard) breaks(s chivesuspect.Suspect) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Breaks(s)
}

// noteAnswer records that a runner has answered a request without a crash.
func (g *CrashGuard) noteAnswer(s chivesuspect.Suspects) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.AddAnswer(s, moment())
}

// noteBreak records that a request broke off unanswered at a runner. It reports whether the
// runner is to be probed.
func (g *CrashGuard) noteBreak(i chivefleet.Incarnation, s chivesuspect.Suspects) (probe bool) {
	crashed := g.change(func(l *chivesuspect.Ledger) (crashed bool) {
		crashed = l.AddBreak(runnerName(i), s, moment())
		probe = !crashed && !g.probing[i]
		if probe {
			if g.probing == nil {
				g.probing = map[chivefleet.Incarnation]bool{}
			}
			g.probing[i] = true
		}
		return crashed
	})
	g.tell(crashed)
	return probe
}

// change calls f with the ledger under the lock, and returns its result.
func (g *CrashGuard) change(f func(*chivesuspect.Ledger) bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(&g.ledger)
}

// endProbe records the result of the probe of a runner.
func (g *CrashGuard) endProbe(i chivefleet.Incarnation, result chiverunner.ProbeResult) {
	g.change(func(l *chivesuspect.Ledger) bool {
		delete(g.probing, i)
		if result == chiverunner.Listening {
			l.AddSurvival(runnerName(i))
		}
		return false
	})
	if result == chiverunner.Refused {
		g.noteEnd(i)
	}
}

// noteEnd records that a runner has ended other than by a planned stop.
func (g *CrashGuard) noteEnd(i chivefleet.Incarnation) {
	g.tell(g.change(func(l *chivesuspect.Ledger) bool { return l.AddEnd(runnerName(i), moment()) }))
}

// tell calls OnCrash if a crash was seen.
func (g *CrashGuard) tell(crashed bool) {
	if crashed && g.OnCrash != nil {
		g.OnCrash()
	}
}

// CheckFleet records the end of those runners with broken requests that are not registered
// any more.
func (g *CrashGuard) CheckFleet(fleet *chivefleet.Fleet) {
	var broken []string
	g.change(func(l *chivesuspect.Ledger) bool {
		broken = l.Broken()
		return false
	})
	if len(broken) == 0 {
		return
	}
	known := map[string]bool{}
	for _, list := range fleet.Runners {
		for _, r := range list {
			known[runnerName(r.Incarnation())] = true
		}
	}
	g.tell(g.change(func(l *chivesuspect.Ledger) (crashed bool) {
		for _, name := range broken {
			if !known[name] {
				crashed = l.AddEnd(name, moment()) || crashed
			}
		}
		return crashed
	}))
}

// Facts returns what other entry VMs are to be told.
func (g *CrashGuard) Facts() []chivesuspect.Fact {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Facts(moment())
}

// Merge adds the facts that another entry VM stated the given time ago.
func (g *CrashGuard) Merge(facts []chivesuspect.Fact, delay time.Duration) {
	if len(facts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.Merge(facts, delay, moment())
}

// ExcludedCount returns the number of suspects of a kind whose requests are kept from runners.
func (g *CrashGuard) ExcludedCount(k chivesuspect.Kind) (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for s := range g.ledger.AllExcluded(moment()) {
		if s.Kind == k {
			n++
		}
	}
	return n
}

// ExclusionChanges returns the suspects whose requests are kept from runners since the last
// call, with the number of crashes under each, and those that no longer are.
func (g *CrashGuard) ExclusionChanges() (began map[chivesuspect.Suspect]int, ended []chivesuspect.Suspect) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ledger.AllExcluded(moment())
	for s := range g.reported {
		if _, ok := now[s]; !ok {
			ended = append(ended, s)
		}
	}
	began = maps.Clone(now)
	maps.DeleteFunc(began, func(s chivesuspect.Suspect, _ int) bool { _, ok := g.reported[s]; return ok })
	g.reported = now
	return began, ended
}

// suspects returns what may crash the runners that the request reaches.
func (x *exchange) suspects() chivesuspect.Suspects {
	return chivesuspect.Suspects{chivesuspect.Part: x.request.Parts, chivesuspect.Request: x.fingerprints}
}

// isExcluded reports whether the request or a part of its prompt crashes runners, and sets the
// cause if so.
func (x *exchange) isExcluded() bool {
	suspect, left := x.relay.Crashes.excluded(x.suspects())
	if left == 0 {
		return false
	}
	x.excludedFor = left
	x.cause = "the request crashes runners"
	if suspect.Kind == chivesuspect.Part {
		x.cause = "part " + suspect.ID + " of the prompt crashes runners"
	}
	return true
}

// mayCrashNext reports whether the request, whose latest attempt has broken off unanswered, may
// crash the next runner too: it has broken off at more than one.
func (x *exchange) mayCrashNext() bool {
	return x.brokeOff && x.relay.Crashes.breaks(chivesuspect.Suspect{ID: x.fingerprints[0], Kind: chivesuspect.Request}) > 1
}

// noteBreak records that the request broke off unanswered at a runner, and finds out whether
// that has crashed. Runners that are leaving end as planned.
func (x *exchange) noteBreak(ctx context.Context, runner *chivefleet.Runner) {
	if ctx.Err() != nil || runner.Leaving || x.relay.State.SaysLeaving(runner) {
		return
	}
	x.brokeOff = true
	guard, pool := &x.relay.Crashes, x.relay.Pool
	if !guard.noteBreak(runner.Incarnation(), x.suspects()) {
		return
	}
	time.AfterFunc(probeDelay, func() {
		chiveguard.Do(x.relay.Log, "probe of a runner", func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			guard.endProbe(runner.Incarnation(), pool.Probe(ctx, runner.Address))
		})
	})
}
