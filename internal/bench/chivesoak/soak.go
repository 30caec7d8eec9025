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
	fleetNet       = 180
	gatewayCount   = 4
	runnersPerZone = 4
	callerCount    = 16
	// settleTime is how long the fleet is left without faults at the end.
	settleTime = 10 * time.Second
	// retryWindow is how long callers come back.
	retryWindow = 30 * time.Second
	// stopTimeout bounds the graceful stop at the end.
	stopTimeout = 60 * time.Second
	// maxPrintedViolations bounds the broken promises that are printed.
	maxPrintedViolations = 20
)

// A Settings says how long to run.
type Settings struct {
	Bin           string
	Seed          uint64
	FaultDuration time.Duration
}

// soakRun is one run.
type soakRun struct {
	fleet       *chiveharness.Fleet
	rng         *rand.Rand
	out         io.Writer
	faultCounts map[string]int
	// repairs holds the processes that were stopped or frozen, with what brings
	// them back.
	repairs map[string]func() error
}

// Run runs a fleet under faults and returns an error where a promise was broken.
func Run(ctx context.Context, s Settings, out io.Writer) error {
	dir, err := os.MkdirTemp("", "chiveyoke-soak-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: chiveharness.SmallSheet(fleetNet, runnersPerZone), Net: fleetNet, Gateways: gatewayCount, Bin: s.Bin, Dir: dir,
		AddressLifetime: time.Second, PlanInterval: time.Second, LeaseDuration: 2 * time.Second,
	})
	if err != nil {
		return err
	}
	defer fleet.Kill()
	k := &soakRun{fleet: fleet, rng: rand.New(rand.NewPCG(s.Seed, 4)), out: out, faultCounts: map[string]int{}, repairs: map[string]func() error{}}
	load := fleet.StartLoad(ctx, chiveharness.LoadSettings{
		Callers: callerCount, MinTokens: 4, MaxTokens: 120, RetryWindow: retryWindow, OrderFraction: 0.4, Seed: s.Seed,
	})
	_, _ = fmt.Fprintf(out, "seed %d, %v of faults\n", s.Seed, s.FaultDuration)
	if err := k.injectFaults(ctx, s.FaultDuration); err != nil {
		return err
	}
	return k.finish(ctx, load)
}

// injectFaults makes injectFaults one after another, with several in force at a time.
func (k *soakRun) injectFaults(ctx context.Context, total time.Duration) error {
	until := time.Now().Add(total)
	for time.Now().Before(until) {
		k.injectFault()
		pause := time.Duration(200+k.rng.IntN(1300)) * time.Millisecond
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if len(k.repairs) > 2 || k.rng.IntN(2) == 0 {
			k.repairOne()
		}
	}
	for len(k.repairs) > 0 {
		k.repairOne()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(settleTime):
		return nil
	}
}

// faultKinds lists the faults.
var faultKinds = []struct {
	name string
	do   func(k *soakRun)
}{
	{"kill", func(k *soakRun) { k.kill(k.pickProcess()) }},
	{"freeze", func(k *soakRun) { k.freeze(k.pickProcess()) }},
	{"terminate", func(k *soakRun) { k.terminate(k.pickProcess()) }},
	{"engine restart", func(k *soakRun) { k.setFault(k.pickEndpoint(), chivestandin.Fault{Kind: chivestandin.KindRestart}) }},
	{"engine cut", func(k *soakRun) {
		k.setFault(k.pickEndpoint(), chivestandin.Fault{Kind: chivestandin.KindCut, After: 1 + k.rng.IntN(20), Count: 1 + k.rng.IntN(5)})
	}},
	{"lost answer", func(k *soakRun) {
		k.setFault(k.pickEndpoint(), chivestandin.Fault{Kind: chivestandin.KindLost, Count: 1 + k.rng.IntN(5)})
	}},
	{"table down", func(k *soakRun) { k.setPlatformFault("table", chivestandin.KindDown) }},
	{"table slow", func(k *soakRun) { k.setPlatformFault("table", chivestandin.KindSlow) }},
	{"table loses answers", func(k *soakRun) { k.setPlatformFault("table", chivestandin.KindLost) }},
	{"objects down", func(k *soakRun) { k.setPlatformFault("object", chivestandin.KindDown) }},
	{"vm list down", func(k *soakRun) { k.setPlatformFault("vms", chivestandin.KindDown) }},
	{"zone change", func(k *soakRun) { k.toggleZone() }},
}

func (k *soakRun) injectFault() {
	kind := faultKinds[k.rng.IntN(len(faultKinds))]
	k.faultCounts[kind.name]++
	kind.do(k)
}

// repairOne ends one fault.
func (k *soakRun) repairOne() {
	names := make([]string, 0, len(k.repairs))
	for name := range k.repairs {
		names = append(names, name)
	}
	if len(names) == 0 {
		return
	}
	name := names[k.rng.IntN(len(names))]
	if err := k.repairs[name](); err != nil {
		_, _ = fmt.Fprintf(k.out, "%s did not come back: %v\n", name, err)
	}
	delete(k.repairs, name)
}

// pickProcess returns a gateway or agent that runs.
func (k *soakRun) pickProcess() string {
	for {
		name := k.pickEndpoint()
		if k.rng.IntN(3) == 0 {
			name = k.fleet.VMs[k.rng.IntN(len(k.fleet.VMs))].Name
		}
		if _, isDown := k.repairs[name]; !isDown {
			return name
		}
	}
}

func (k *soakRun) pickEndpoint() string {
	return k.fleet.Sheet.Endpoints[k.rng.IntN(len(k.fleet.Sheet.Endpoints))].Name
}

func (k *soakRun) kill(name string) {
	k.fleet.Processes[name].Kill()
	k.repairs[name] = func() error { return k.restart(name) }
}

func (k *soakRun) freeze(name string) {
	p := k.fleet.Processes[name]
	p.Suspend()
	k.repairs[name] = func() error {
		p.Resume()
		return nil
	}
}

func (k *soakRun) terminate(name string) {
	p := k.fleet.Processes[name]
	p.Signal(syscall.SIGTERM)
	k.repairs[name] = func() error {
		if err := p.WaitExit(stopTimeout); err != nil {
			return err
		}
		return k.restart(name)
	}
}

// restart starts a process again and waits until it answers.
func (k *soakRun) restart(name string) error {
	if err := k.fleet.Restart(name); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return k.fleet.WaitHTTP(ctx, "http://"+k.fleet.AdminAddresses()[name]+"/healthz")
}

func (k *soakRun) setFault(target string, f chivestandin.Fault) {
	f.Target = target
	_ = k.fleet.InjectFault(f)
}

// setPlatformFault switches a fault of the setPlatformFault on until it is mended.
func (k *soakRun) setPlatformFault(target string, kind chivestandin.Kind) {
	const slow = 300
	k.setFault(target, chivestandin.Fault{Kind: kind, Millis: slow})
	k.repairs["platform "+target] = func() error {
		return k.fleet.InjectFault(chivestandin.Fault{Target: target, Kind: chivestandin.KindNone})
	}
}

// toggleZone takes an availability toggleZone out or in.
func (k *soakRun) toggleZone() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	op := k.fleet.Operator()
	head, err := op.Head(ctx)
	if err != nil {
		return
	}
	kind, zone := chiveconf.KindZoneOut, k.fleet.Sheet.Zones[k.rng.IntN(len(k.fleet.Sheet.Zones))].Name
	if len(head.OutZones) > 0 {
		kind, zone = chiveconf.KindZoneIn, head.OutZones[0]
	}
	_, _ = op.Change(ctx, chiveharness.NewChange(kind, zone, head.Version))
}

// finish ends the load and prints the account.
func (k *soakRun) finish(ctx context.Context, load *chiveharness.Load) error {
	records := load.Stop()
	report, err := k.fleet.Report()
	if err != nil {
		return err
	}
	a := chiveharness.NewAudit(records, report)
	var splits, overloads int
	for _, g := range report.Groups {
		splits += int(g.MismatchedSteps)
	}
	for _, e := range report.Engines {
		overloads += e.Overloads
	}
	_, _ = fmt.Fprintf(k.out, "faults: %v\n%v\nsteps with different maps %d, overloads %d\n", k.faultCounts, a, splits, overloads)
	for _, b := range a.Violations[:min(len(a.Violations), maxPrintedViolations)] {
		_, _ = fmt.Fprintf(k.out, "broken: %s\n", b)
	}
	if len(a.Violations) > 0 || splits > 0 || overloads > 0 {
		return Error.New("%d promises to callers were broken, %d splits, %d overloads", len(a.Violations), splits, overloads)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return k.fleet.Stop(stopTimeout)
}
