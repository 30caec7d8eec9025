// Package chivesoak implements a long run of real processes under load and
// random faults.
package chivesoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

// Error is the class of errors of this package.
var Error = errs.Class("soak")

const (
	soakNet      = 180
	soakGateways = 4
	soakRunners  = 4
	soakCallers  = 16
	// calm is how long the fleet is left without faults at the end.
	calm = 10 * time.Second
	// patience is how long callers come back.
	patience = 30 * time.Second
	// stopTimeout bounds the graceful stop at the end.
	stopTimeout = 60 * time.Second
	// maxListed bounds the broken promises that are printed.
	maxListed = 20
)

// A Settings says how long to run.
type Settings struct {
	Bin  string
	Seed uint64
	Time time.Duration
}

// soak is one run.
type soak struct {
	fleet  *chiveharness.Fleet
	random *rand.Rand
	out    io.Writer
	counts map[string]int
	// down holds the processes that were stopped or frozen, with what brings
	// them back.
	down map[string]func() error
}

// Run runs a fleet under faults and returns an error where a promise was broken.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	dir, err := os.MkdirTemp("", "chiveyoke-soak-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: chiveharness.SmallSheet(soakNet, soakRunners), Net: soakNet, Gateways: soakGateways, Bin: s.Bin, Dir: dir,
		Lifetime: time.Second, Plan: time.Second, Lease: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	k := &soak{fleet: fleet, random: rand.New(rand.NewPCG(s.Seed, 4)), out: out, counts: map[string]int{}, down: map[string]func() error{}}
	load := fleet.StartLoad(ctx, chiveharness.LoadSettings{
		Callers: soakCallers, MinTokens: 4, MaxTokens: 120, Patience: patience, Orders: 0.4, Seed: s.Seed,
	})
	_, _ = fmt.Fprintf(out, "seed %d, %v of faults\n", s.Seed, s.Time)
	if err := k.faults(ctx, s.Time); err != nil {
		return err
	}
	return k.end(ctx, load)
}

// faults makes faults one after another, with several in force at a time.
func (k *soak) faults(ctx context.Context, total time.Duration) error {
	until := time.Now().Add(total)
	for time.Now().Before(until) {
		k.fault()
		pause := time.Duration(200+k.random.IntN(1300)) * time.Millisecond
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if len(k.down) > 2 || k.random.IntN(2) == 0 {
			k.mend()
		}
	}
	for len(k.down) > 0 {
		k.mend()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(calm):
		return nil
	}
}

// kinds lists the faults.
var kinds = []struct {
	name string
	do   func(k *soak)
}{
	{"kill", func(k *soak) { k.kill(k.process()) }},
	{"freeze", func(k *soak) { k.freeze(k.process()) }},
	{"terminate", func(k *soak) { k.terminate(k.process()) }},
	{"engine restart", func(k *soak) { k.set(k.endpoint(), chivestandin.Fault{Kind: chivestandin.KindRestart}) }},
	{"engine cut", func(k *soak) {
		k.set(k.endpoint(), chivestandin.Fault{Kind: chivestandin.KindCut, After: 1 + k.random.IntN(20), Count: 1 + k.random.IntN(5)})
	}},
	{"lost answer", func(k *soak) {
		k.set(k.endpoint(), chivestandin.Fault{Kind: chivestandin.KindLost, Count: 1 + k.random.IntN(5)})
	}},
	{"table down", func(k *soak) { k.platform("table", chivestandin.KindDown) }},
	{"table slow", func(k *soak) { k.platform("table", chivestandin.KindSlow) }},
	{"table loses answers", func(k *soak) { k.platform("table", chivestandin.KindLost) }},
	{"objects down", func(k *soak) { k.platform("object", chivestandin.KindDown) }},
	{"vm list down", func(k *soak) { k.platform("vms", chivestandin.KindDown) }},
	{"zone change", func(k *soak) { k.zone() }},
}

func (k *soak) fault() {
	kind := kinds[k.random.IntN(len(kinds))]
	k.counts[kind.name]++
	kind.do(k)
}

// mend ends one fault.
func (k *soak) mend() {
	names := make([]string, 0, len(k.down))
	for name := range k.down {
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	name := names[k.random.IntN(len(names))]
	if err := k.down[name](); err != nil {
		_, _ = fmt.Fprintf(k.out, "%s did not come back: %v\n", name, err)
	}
	delete(k.down, name)
}

// process returns a gateway or agent that runs.
func (k *soak) process() string {
	for {
		name := k.endpoint()
		if k.random.IntN(3) == 0 {
			name = k.fleet.VMs[k.random.IntN(len(k.fleet.VMs))].Name
		}
		if _, isDown := k.down[name]; !isDown {
			return name
		}
	}
}

func (k *soak) endpoint() string {
	return k.fleet.Sheet.Endpoints[k.random.IntN(len(k.fleet.Sheet.Endpoints))].Name
}

func (k *soak) kill(name string) {
	k.fleet.Processes[name].Kill()
	k.down[name] = func() error { return k.restart(name) }
}

func (k *soak) freeze(name string) {
	p := k.fleet.Processes[name]
	p.Freeze()
	k.down[name] = func() error {
		p.Thaw()
		return nil
	}
}

func (k *soak) terminate(name string) {
	p := k.fleet.Processes[name]
	p.Signal(syscall.SIGTERM)
	k.down[name] = func() error {
		if err := p.WaitEnd(stopTimeout); err != nil {
			return err
		}
		return k.restart(name)
	}
}

// restart starts a process again and waits until it answers.
func (k *soak) restart(name string) error {
	if err := k.fleet.Restart(name); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return k.fleet.WaitHTTP(ctx, "http://"+k.fleet.Admins()[name]+"/healthz")
}

func (k *soak) set(target string, f chivestandin.Fault) {
	f.Target = target
	_ = k.fleet.Fault(f)
}

// platform switches a fault of the platform on until it is mended.
func (k *soak) platform(target string, kind chivestandin.Kind) {
	const slow = 300
	k.set(target, chivestandin.Fault{Kind: kind, Millis: slow})
	k.down["platform "+target] = func() error {
		return k.fleet.Fault(chivestandin.Fault{Target: target, Kind: chivestandin.KindNone})
	}
}

// zone takes an availability zone out or in.
func (k *soak) zone() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	op := k.fleet.Operator()
	head, err := op.Head(ctx)
	if err != nil {
		return
	}
	kind, zone := chiveconf.KindZoneOut, k.fleet.Sheet.Zones[k.random.IntN(len(k.fleet.Sheet.Zones))].Name
	if len(head.Out) > 0 {
		kind, zone = chiveconf.KindZoneIn, head.Out[0]
	}
	_, _ = op.Change(ctx, chiveharness.NewChange(kind, zone, head.Version))
}

// end ends the load and prints the account.
func (k *soak) end(ctx context.Context, load *chiveharness.Load) error {
	records := load.Stop()
	report, err := k.fleet.Report()
	if err != nil {
		return err
	}
	a := chiveharness.NewAccount(records, report)
	var splits, overloads int
	for _, g := range report.Groups {
		splits += int(g.MismatchedSteps)
	}
	for _, e := range report.Engines {
		overloads += e.Overloads
	}
	_, _ = fmt.Fprintf(k.out, "faults: %v\n%v\nsteps with different maps %d, overloads %d\n", k.counts, a, splits, overloads)
	for _, b := range a.Broken[:min(len(a.Broken), maxListed)] {
		_, _ = fmt.Fprintf(k.out, "broken: %s\n", b)
	}
	if len(a.Broken) > 0 || splits > 0 || overloads > 0 {
		return Error.New("%d promises to callers were broken, %d splits, %d overloads", len(a.Broken), splits, overloads)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return k.fleet.Stop(stopTimeout)
}
