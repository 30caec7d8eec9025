package chiveplatform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// troubleRunners lets one runner after the other leave and start again, ask for pauses, name a
// limit or answer without an end, until the context ends.
func (p *soakRun) troubleRunners(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.Seed, 5))
	for sleep(ctx, time.Duration(200+rng.IntN(800))*time.Millisecond) {
		i := rng.IntN(len(p.site.Runners))
		r := p.site.Runners[i]
		switch rng.IntN(4) {
		case 3:
			p.countFault("runner names a limit")
			r.notices.nameLimit(0.5 + 4*rng.Float64())
			sleep(ctx, time.Duration(rng.IntN(8000))*time.Millisecond)
			r.notices.nameLimit(0)
		case 0:
			p.countFault("runner leaves")
			p.leaveAndRestart(ctx, rng, i)
		case 1:
			p.countFault("runner asks for pauses")
			r.notices.askForPause(time.Duration(500+rng.IntN(3000))*time.Millisecond, time.Duration(rng.IntN(1000))*time.Millisecond)
		case 2:
			p.countFault("answers without an end")
			r.SetEndless(true)
			sleep(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
			r.SetEndless(false)
		}
	}
}

// leaveAndRestart lets a runner say that it is leaving. It reports that to the store
// later, or has its row removed, or does neither, and starts again after some seconds.
func (p *soakRun) leaveAndRestart(ctx context.Context, rng *rand.Rand, i int) {
	r := p.site.Runners[i]
	r.notices.leave()
	sleep(ctx, time.Duration(rng.IntN(1000))*time.Millisecond)
	switch rng.IntN(3) {
	case 0:
		p.noteError(p.site.RegisterRunner(i, "draining"))
	case 1:
		p.site.UnregisterRunner(i)
	}
	sleep(ctx, time.Duration(2000+rng.IntN(2500))*time.Millisecond)
	r.notices.restart()
	p.noteError(p.site.RegisterRunner(i, "ready"))
}

// stopInSeries sends signals in series that overlap with each other and with changes of
// the configuration, until the context ends: a change right as the first entry VM of a
// zone stops, which reads the store for the zone, SIGHUP meanwhile, and a restart of the
// next one before the first has ended.
func (p *soakRun) stopInSeries(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.Seed, 6))
	for sleep(ctx, time.Duration(500+rng.IntN(2500))*time.Millisecond) {
		p.countFault("stops in series")
		first := rng.IntN(len(Zones))
		for i := first; i < len(p.site.EntryVMs); i += len(Zones) {
			e := p.site.EntryVMs[i]
			signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[rng.IntN(2)]
			p.restarts.Go(func() { p.restart(e, signal) })
			p.noteError(p.site.ChangeRoutes())
			for _, o := range p.site.EntryVMs {
				o.Signal(syscall.SIGHUP)
			}
			sleep(ctx, time.Duration(rng.IntN(400))*time.Millisecond)
			p.noteError(p.site.ChangeRoutes())
			if i >= first+2*len(Zones) {
				break
			}
		}
	}
	p.restarts.Wait()
}

// gatherCrowds has crowds visit one entry VM after the other, until the context ends.
func (p *soakRun) gatherCrowds(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.Seed, 7))
	for sleep(ctx, time.Duration(rng.IntN(400))*time.Millisecond) {
		p.countFault("crowd")
		p.noteError(p.Crowd(ctx, p.site.EntryVMs[rng.IntN(len(p.site.EntryVMs))], p.site.MemoryMB, rng))
	}
}

// countFault counts an injected fault.
func (p *soakRun) countFault(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Faults[name]++
}

// noteError records an error of the stand-in as a violation.
func (p *soakRun) noteError(err error) {
	if err != nil {
		p.addViolation("%v", err)
	}
}

// recordSending records which entry VM gets a request.
func (p *soakRun) recordSending(id, entry string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent[id] = sending{entry: entry, at: time.Now()}
}

// recordLeaving records an answer in which a runner says that it is leaving.
func (p *soakRun) recordLeaving(entry string, a Answer) {
	if a.Header.Get(headerLeaving) == "" {
		return
	}
	// The stand-in's runners send a number.
	incarnation, _ := strconv.Atoi(a.Header.Get(headerIncarnation))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = append(p.leaving, leavingAnswer{entry: entry, runner: a.Header.Get("Chiveyoke-Instance-Id"), incarnation: incarnation, at: time.Now()})
}

// crashRunners sends prompts with a part that crashes runners, or calls with a body that does,
// to random entry VMs, until the context ends.
func (p *soakRun) crashRunners(ctx context.Context) {
	rng := rand.New(rand.NewPCG(p.Seed, 7))
	if !sleep(ctx, time.Duration(rng.IntN(3000))*time.Millisecond) {
		return
	}
	bad := CallerRequest{Route: []string{"any", "once"}[rng.IntN(2)], Path: "x", Key: "key", Body: "bad"}
	fault, trigger := "request crashes runners", crashTrigger{body: bad.Body}
	if p.crashesOnPart() {
		bad.Route, bad.Body = "stream", ""
		fault, trigger = "part crashes runners", crashTrigger{part: "bad"}
	}
	p.countFault(fault)
	p.site.crashOn(trigger)
	defer p.site.crashOn(crashTrigger{})
	client := &http.Client{Timeout: 6 * time.Second}
	defer client.CloseIdleConnections()
	var senders sync.WaitGroup
	defer senders.Wait()
	for n := 0; sleep(ctx, time.Duration(50+rng.IntN(400))*time.Millisecond); n++ {
		e, id := p.site.EntryVMs[rng.IntN(len(p.site.EntryVMs))], fmt.Sprint("bad-", n)
		p.recordSending(id, e.Name)
		r := bad
		r.ID = id
		if trigger.part != "" {
			r.Body, r.Parts = "body of "+id, fmt.Sprintf("aa:40,bad:60,own-%d:20", n)
		}
		senders.Go(func() { SendRequest(ctx, client, e.CallerAddress(), r) })
	}
}

// crashesOnPart reports whether the run has a part of prompts that crashes runners, or else a
// request.
func (p *soakRun) crashesOnPart() bool {
	return p.Seed%2 == 0
}

// checkCrashes checks how many requests that crash runners reached them from entry VMs without
// a fault.
func (p *soakRun) checkCrashes() {
	limit := maxCrashesOfRequest
	if p.crashesOnPart() {
		limit = maxCrashesOfPart
	}
	late := p.site.lateRequests(limit, func(a arrival) bool {
		entry := p.sent[a.id].entry
		return !p.site.history.hadFault(entry, a.at.Add(-2*contactTime), a.at)
	})
	if late > maxLateRequests {
		p.addViolation("%d requests that crash runners reached them later than %v after crash %d", late, contactTime, limit)
	}
}

// checkNotices adds the violations of noticeViolations at each runner.
func (p *soakRun) checkNotices() {
	for i, r := range p.site.Runners {
		excused := func(entry string, from, to time.Time) bool {
			return p.site.history.hadFault(entry, from, to) || p.site.history.hadFault(linkName(i), from, to)
		}
		p.result.Violations = append(p.result.Violations, noticeViolations(r.ID, r.notices.list(), p.leaving, p.sent, excused)...)
	}
}
