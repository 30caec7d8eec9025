package chiveplatform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chiveyoke/chiveyoke/platform"
)

const (
	// callerCount is the number of callerCount, each with connections of its own.
	callerCount = 16
	// meanThinkTime is the mean time between two requests of a caller.
	meanThinkTime = 60 * time.Millisecond
	// maxActiveFaults is the number of faults that may overlap.
	maxActiveFaults = 3
	// settleTime is the time without faults at the end, before recovery is checked.
	settleTime = 9 * time.Second
	// recoveryWindow is the time over which recovery is recoveryWindow, and recovered the part
	// of its requests that must be served.
	recoveryWindow    = 2 * time.Second
	minServedFraction = 0.9
	// startTimeout bounds the start of all processes.
	startTimeout = 20 * time.Second
)

// A Soak plays random faults on a site under load.
type Soak struct {
	Program       string
	Seed          uint64
	FaultDuration time.Duration
	EntryVMs      int
	Runners       int
	// Dir takes settings and logs.
	Dir string
	// Net is the second byte of the addresses.
	Net byte
}

// A Result is what a soak saw.
type Result struct {
	Requests, Served, Refused, Failed int
	// Faults counts the faults that were played, by name.
	Faults map[string]int
	// Violations lists the promises that were broken.
	Violations []string
}

// soakRun is a soak that runs.
type soakRun struct {
	*Soak
	site    *Site
	mu      sync.Mutex
	result  Result
	answers map[string]Answer
	keys    map[string]string
	sentAt  map[string]time.Time
	// revokedAt is when the key "old" was revokedAt away.
	revokedAt time.Time
}

// Run plays the soak.
func (s *Soak) Run(ctx context.Context) (*Result, error) {
	site, err := NewSite(s.Dir, s.Program, s.Net, s.EntryVMs, s.Runners)
	if err != nil {
		return nil, err
	}
	p := &soakRun{
		Soak: s, site: site, result: Result{Faults: map[string]int{}}, answers: map[string]Answer{}, keys: map[string]string{},
		sentAt: map[string]time.Time{},
	}
	err = p.run(ctx)
	return &p.result, errors.Join(err, site.Close())
}

func (p *soakRun) run(ctx context.Context) error {
	if err := p.site.Configure("key", "old"); err != nil {
		return err
	}
	for _, e := range p.site.EntryVMs {
		if err := e.Start(); err != nil {
			return err
		}
	}
	if err := p.site.WaitReady(startTimeout); err != nil {
		return err
	}
	load, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for i := range callerCount {
		running.Go(func() { p.runCaller(load, i) })
	}
	p.injectFaults(ctx)
	time.Sleep(settleTime)
	began := time.Now()
	time.Sleep(recoveryWindow)
	stop()
	running.Wait()
	p.check(began)
	return ctx.Err()
}

// runCaller sends requests to addresses of the directory, over connections that it
// keeps.
func (p *soakRun) runCaller(ctx context.Context, n int) {
	draw := rand.New(rand.NewPCG(p.Seed, uint64(n)+1000))
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	var list []string
	var until time.Time
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(draw.ExpFloat64() * float64(meanThinkTime)))
		if time.Now().After(until) {
			if found := p.resolve(ctx, draw); len(found) > 0 {
				list, until = found, time.Now().Add(time.Second)
			}
		}
		if len(list) == 0 {
			continue
		}
		kind := []string{"stream", "once", "any"}[draw.IntN(3)]
		key := []string{"key", "key", "key", "old"}[draw.IntN(4)]
		id := fmt.Sprintf("%s-%d-%d", kind, n, i)
		p.record(id, key, Answer{}, true)
		p.record(id, key, Send(context.WithoutCancel(ctx), client, list[draw.IntN(len(list))], kind, id, key), false)
	}
}

func (p *soakRun) resolve(ctx context.Context, draw *rand.Rand) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	e := p.site.EntryVMs[draw.IntN(len(p.site.EntryVMs))]
	// A caller that gets no answer keeps the one that it has.
	list, _ := e.Resolve(ctx, Zones[draw.IntN(len(Zones))])
	return list
}

func (p *soakRun) record(id, key string, a Answer, asked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asked {
		p.sentAt[id], p.keys[id] = time.Now(), key
		return
	}
	p.answers[id] = a
}

// injectFaults plays faults in series and overlapping until the time is over.
func (p *soakRun) injectFaults(ctx context.Context) {
	draw := rand.New(rand.NewPCG(p.Seed, 1))
	slots := make(chan struct{}, maxActiveFaults)
	until := time.Now().Add(p.FaultDuration)
	var playing sync.WaitGroup
	for time.Now().Before(until) && ctx.Err() == nil {
		name, play := p.drawFault(draw)
		length := time.Duration(300+draw.IntN(3000)) * time.Millisecond
		slots <- struct{}{}
		p.mu.Lock()
		p.result.Faults[name]++
		p.mu.Unlock()
		playing.Go(func() {
			defer func() { <-slots }()
			play(length)
		})
		time.Sleep(time.Duration(draw.IntN(900)) * time.Millisecond)
	}
	playing.Wait()
	p.site.Store.SetFault(StoreHealthy)
}

// drawFault draws a drawFault.
func (p *soakRun) drawFault(draw *rand.Rand) (string, func(time.Duration)) {
	e := p.site.EntryVMs[draw.IntN(len(p.site.EntryVMs))]
	i := draw.IntN(len(p.site.Runners))
	switch draw.IntN(10) {
	case 0:
		return "kill", func(time.Duration) { p.restart(e, syscall.SIGKILL) }
	case 1:
		return "stop", func(time.Duration) { p.restart(e, syscall.SIGTERM) }
	case 2:
		return "freeze", func(d time.Duration) {
			e.Signal(syscall.SIGSTOP)
			time.Sleep(d)
			e.Signal(syscall.SIGCONT)
		}
	case 3, 4:
		f := StoreFault(1 + draw.IntN(int(StoreSlow)))
		return fmt.Sprint("store ", f), func(d time.Duration) {
			p.site.Store.SetFault(f)
			time.Sleep(d)
			p.site.Store.SetFault(StoreHealthy)
		}
	case 5:
		return "forget", func(time.Duration) { p.site.Store.DropHistory() }
	case 6:
		return "answers lost", func(d time.Duration) {
			p.site.Runners[i].SetFailureRate(0.5)
			time.Sleep(d)
			p.site.Runners[i].SetFailureRate(0)
		}
	case 7:
		f := LinkFault(1 + draw.IntN(int(numLinkFaults)-1))
		return fmt.Sprint("link ", f), func(d time.Duration) {
			p.site.Links[i].SetFault(f)
			time.Sleep(d)
			p.site.Links[i].SetFault(LinkHealthy)
		}
	}
	if zone := Zones[draw.IntN(len(Zones))]; draw.IntN(2) == 0 {
		return "zone out", func(d time.Duration) {
			err := p.site.SetZoneOut(zone, true)
			time.Sleep(d)
			if err = errors.Join(err, p.site.SetZoneOut(zone, false)); err != nil {
				p.addViolation("zone %s: %v", zone, err)
			}
		}
	}
	return "key taken", func(time.Duration) { p.revokeKey() }
}

// restart ends a process and starts it again.
func (p *soakRun) restart(e *EntryVM, sig syscall.Signal) {
	// One fault at a time ends a process; another that comes meanwhile has none.
	if !e.restartMu.TryLock() {
		return
	}
	defer e.restartMu.Unlock()
	e.Signal(syscall.SIGCONT)
	e.Signal(sig)
	if ended := e.WaitExit(shutdownGrace); !ended && sig == syscall.SIGTERM {
		p.addViolation("%s did not stop in order", e.Name)
	}
	if e.Running() {
		p.addViolation("%s did not end", e.Name)
		return
	}
	if err := e.Start(); err != nil {
		p.addViolation("%s did not start: %v", e.Name, err)
	}
}

// revokeKey takes the key "old" away for good.
func (p *soakRun) revokeKey() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.revokedAt.IsZero() {
		return
	}
	if err := p.site.Configure("key"); err != nil {
		p.result.Violations = append(p.result.Violations, err.Error())
	}
	p.revokedAt = time.Now()
}

func (p *soakRun) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Violations = append(p.result.Violations, fmt.Sprintf(format, args...))
}

// check compares what callers got with what runners ran.
func (p *soakRun) check(calmSince time.Time) {
	runs := map[string][]time.Time{}
	for _, r := range p.site.Runners {
		for id, at := range r.StartTimes() {
			runs[id] = append(runs[id], at...)
		}
	}
	late, lateServed := 0, 0
	for id, a := range p.answers {
		p.checkAnswer(id, a, runs[id])
		p.result.Requests++
		switch {
		case a.Status == http.StatusOK && a.Complete:
			p.result.Served++
		case a.Status == http.StatusServiceUnavailable || a.Status == http.StatusUnauthorized:
			p.result.Refused++
		default:
			p.result.Failed++
		}
		if p.sentAt[id].After(calmSince) && p.keys[id] == "key" {
			late++
			if a.Status == http.StatusOK && a.Complete {
				lateServed++
			}
		}
	}
	if late == 0 || float64(lateServed) < minServedFraction*float64(late) {
		p.addViolation("after the faults %d of %d requests were served", lateServed, late)
	}
}

func (p *soakRun) checkAnswer(id string, a Answer, runs []time.Time) {
	kind, _, _ := strings.Cut(id, "-")
	if kind == "once" && len(runs) > 1 {
		p.addViolation("%s ran %d times", id, len(runs))
	}
	if (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusUnauthorized) && len(runs) > 0 {
		p.addViolation("%s was refused with %d and ran", id, a.Status)
	}
	if p.keys[id] == "old" && !p.revokedAt.IsZero() {
		for _, at := range runs {
			if at.Sub(p.revokedAt) > revocationBound {
				p.addViolation("%s ran %v after its key was taken away", id, at.Sub(p.revokedAt))
			}
		}
	}
	if a.Status != http.StatusOK {
		return
	}
	want := CallAnswer(id)
	if kind == "stream" {
		want = ""
		for n := range p.site.Runners[0].EventCount {
			want += StreamEvent(id, n)
		}
	}
	if a.Complete && a.Body != want || !strings.HasPrefix(want, a.Body) {
		p.addViolation("%s got %q, whole %t", id, a.Body, a.Complete)
	}
}

// SetZoneOut evacuates a zone or takes it back.
func (s *Site) SetZoneOut(zone string, out bool) error {
	if out {
		return s.Store.Put(platform.TableOperators, "evacuate/"+zone, map[string]any{})
	}
	s.Store.Remove(platform.TableOperators, "evacuate/"+zone)
	return nil
}
