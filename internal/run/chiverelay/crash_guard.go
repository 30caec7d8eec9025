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

// CrashGuard keeps requests from runners whose prompts have a part under which runner after
// runner has crashed. The zero value has seen no crash. It is safe for concurrent use.
type CrashGuard struct {
	// OnCrash is called when a crash was seen that other entry VMs should learn of. It may
	// be nil.
	OnCrash func()

	mu     sync.Mutex
	ledger chivesuspect.Ledger
	// probing holds the runners that are being probed.
	probing map[chivefleet.Incarnation]bool
	// reported holds the excluded parts that ExclusionChanges has returned.
	reported map[string]int
}

// moment returns the present as the ledger counts it.
func moment() time.Duration {
	return time.Duration(chiveclock.Now())
}

// runnerName returns the name of an incarnation in the ledgers of all entry VMs.
func runnerName(i chivefleet.Incarnation) string {
	return fmt.Sprintf("%s@%d", i.ID, i.StartedAtMillis)
}

// CountRequest counts a request whose prompt has the given parts.
func (g *CrashGuard) CountRequest(parts []string) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.AddRequest(parts, moment())
}

// Excluded returns the first of the parts whose requests are kept from runners and for how
// long, or an empty string if there is none.
func (g *CrashGuard) Excluded(parts []string) (string, time.Duration) {
	if len(parts) == 0 {
		return "", 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.Excluded(parts, moment())
}

// noteAnswer records that a runner has answered a request without a crash.
func (g *CrashGuard) noteAnswer(parts []string) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.AddAnswer(parts, moment())
}

// noteBreak records that a request broke off unanswered at a runner. It reports whether the
// runner is to be probed.
func (g *CrashGuard) noteBreak(i chivefleet.Incarnation, parts []string) (probe bool) {
	g.mu.Lock()
	crashed := g.ledger.AddBreak(runnerName(i), parts, moment())
	probe = !crashed && !g.probing[i]
	if probe {
		if g.probing == nil {
			g.probing = map[chivefleet.Incarnation]bool{}
		}
		g.probing[i] = true
	}
	g.mu.Unlock()
	g.tell(crashed)
	return probe
}

// endProbe records the result of the probe of a runner.
func (g *CrashGuard) endProbe(i chivefleet.Incarnation, result chiverunner.ProbeResult) {
	g.mu.Lock()
	delete(g.probing, i)
	if result == chiverunner.Listening {
		g.ledger.AddSurvival(runnerName(i))
	}
	g.mu.Unlock()
	if result == chiverunner.Refused {
		g.noteEnd(i)
	}
}

// noteEnd records that a runner has ended other than by a planned stop.
func (g *CrashGuard) noteEnd(i chivefleet.Incarnation) {
	g.mu.Lock()
	crashed := g.ledger.AddEnd(runnerName(i), moment())
	g.mu.Unlock()
	g.tell(crashed)
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
	g.mu.Lock()
	broken := g.ledger.Broken()
	g.mu.Unlock()
	if len(broken) == 0 {
		return
	}
	known := map[string]bool{}
	for _, list := range fleet.Runners {
		for _, r := range list {
			known[runnerName(r.Incarnation())] = true
		}
	}
	crashed := false
	g.mu.Lock()
	for _, name := range broken {
		if !known[name] {
			crashed = g.ledger.AddEnd(name, moment()) || crashed
		}
	}
	g.mu.Unlock()
	g.tell(crashed)
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

// ExcludedCount returns the number of parts whose requests are kept from runners.
func (g *CrashGuard) ExcludedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.ledger.ExcludedParts(moment()))
}

// ExclusionChanges returns the parts whose requests are kept from runners since the last
// call, with the number of crashes under each, and those that no longer are.
func (g *CrashGuard) ExclusionChanges() (began map[string]int, ended []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ledger.ExcludedParts(moment())
	for p := range g.reported {
		if _, ok := now[p]; !ok {
			ended = append(ended, p)
		}
	}
	began = maps.Clone(now)
	maps.DeleteFunc(began, func(p string, _ int) bool { _, ok := g.reported[p]; return ok })
	g.reported = now
	return began, ended
}

// partExcluded reports whether a part of the request's prompt crashes runners, and sets the
// cause if so.
func (x *exchange) partExcluded() bool {
	part, left := x.relay.Crashes.Excluded(x.request.Parts)
	if part == "" {
		return false
	}
	x.excludedFor = left
	x.cause = "part " + part + " of the prompt crashes runners"
	return true
}

// noteBreak records that the request broke off unanswered at a runner, and finds out whether
// that has crashed. Runners that are leaving end as planned.
func (x *exchange) noteBreak(ctx context.Context, runner *chivefleet.Runner) {
	if ctx.Err() != nil || len(x.request.Parts) == 0 || runner.Leaving || x.relay.State.SaysLeaving(runner) {
		return
	}
	guard, pool := &x.relay.Crashes, x.relay.Pool
	if !guard.noteBreak(runner.Incarnation(), x.request.Parts) {
		return
	}
	time.AfterFunc(probeDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		guard.endProbe(runner.Incarnation(), pool.Probe(ctx, runner.Address))
	})
}
