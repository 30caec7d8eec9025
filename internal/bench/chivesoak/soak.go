// Package chivesoak implements soak tests: long runs of a fleet of processes under load
// and random faults.
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
	// fleetNet is the second byte of the loopback addresses.
	fleetNet       = 180
	gatewayCount   = 4
	runnersPerZone = 4
	callerCount    = 16
	// settleTime is the time without faults before the load ends.
	settleTime = 10 * time.Second
	// retryWindow is how long callers retry a request.
	retryWindow = 30 * time.Second
	// stopTimeout bounds the graceful stop and the start of a process.
	stopTimeout = 60 * time.Second
	// maxPrintedViolations is the maximum number of violations that are printed.
	maxPrintedViolations = 20
)

// Settings describes a soak test.
type Settings struct {
	// Bin is the directory of the programs.
	Bin string
	// Seed is the seed of the faults and the callers.
	Seed uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
}

// soakRun is the state of a soak test.
type soakRun struct {
	fleet *chiveharness.Fleet
	rng   *rand.Rand
	out   io.Writer
	// faultCounts counts the injected faults by name.
	faultCounts map[string]int
	// repairs holds the functions that end active faults, by the name of the process
	// or of the part of the platform.
	repairs map[string]func() error
}

// Run runs a fleet under load and faults, and prints the results. It returns an error if
// a guarantee to callers was violated or a process did not stop gracefully.
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
	_, _ = fmt.Fprintf(out, "seed %d, faults for %v\n", s.Seed, s.FaultDuration)
	if err := k.injectFaults(ctx, s.FaultDuration); err != nil {
		return err
	}
	return k.finish(ctx, load)
}

// injectFaults starts random faults for the given duration, several of them active at a
// time. Then it ends all faults and waits for settleTime.
func (k *soakRun) injectFaults(ctx context.Context, duration time.Duration) error {
	deadline := time.Now().Add(duration)
	for time.Now().Before(deadline) {
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

// faultKinds holds the kinds of faults. Each function starts a fault of its kind, at a
// random process, endpoint or zone where several are possible.
var faultKinds = []struct {
	name  string
	start func(k *soakRun)
}{
	{"kill", func(k *soakRun) { k.kill(k.pickProcess()) }},
	{"suspend", func(k *soakRun) { k.suspend(k.pickProcess()) }},
	{"terminate", func(k *soakRun) { k.terminate(k.pickProcess()) }},
	{"engine restart", func(k *soakRun) { k.setFault(k.pickEndpoint(), chivestandin.Fault{Kind: chivestandin.KindRestart}) }},
	{"engine aborts streams", func(k *soakRun) {
		k.setFault(k.pickEndpoint(), chivestandin.Fault{Kind: chivestandin.KindCut, After: 1 + k.rng.IntN(20), Count: 1 + k.rng.IntN(5)})
	}},
	{"engine loses answers", func(k *soakRun) {
		k.setFault(k.pickEndpoint(), chivestandin.Fault{Kind: chivestandin.KindLost, Count: 1 + k.rng.IntN(5)})
	}},
	{"table down", func(k *soakRun) { k.setPlatformFault("table", chivestandin.KindDown) }},
	{"table slow", func(k *soakRun) { k.setPlatformFault("table", chivestandin.KindSlow) }},
	{"table loses answers", func(k *soakRun) { k.setPlatformFault("table", chivestandin.KindLost) }},
	{"object store down", func(k *soakRun) { k.setPlatformFault("object", chivestandin.KindDown) }},
	{"VM list down", func(k *soakRun) { k.setPlatformFault("vms", chivestandin.KindDown) }},
	{"zone change", func(k *soakRun) { k.toggleZone() }},
}

// injectFault starts a random fault.
func (k *soakRun) injectFault() {
	kind := faultKinds[k.rng.IntN(len(faultKinds))]
	k.faultCounts[kind.name]++
	kind.start(k)
}

// repairOne ends one active fault, if there is any.
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
		_, _ = fmt.Fprintf(k.out, "%s was not repaired: %v\n", name, err)
	}
	delete(k.repairs, name)
}

// pickProcess returns the name of a random gateway or agent without an active fault.
func (k *soakRun) pickProcess() string {
	for {
		name := k.pickEndpoint()
		if k.rng.IntN(3) == 0 {
			name = k.fleet.VMs[k.rng.IntN(len(k.fleet.VMs))].Name
		}
		if _, hasFault := k.repairs[name]; !hasFault {
			return name
		}
	}
}

// pickEndpoint returns the name of a random endpoint.
func (k *soakRun) pickEndpoint() string {
	return k.fleet.Sheet.Endpoints[k.rng.IntN(len(k.fleet.Sheet.Endpoints))].Name
}

// kill kills a process. Its repair starts it again.
func (k *soakRun) kill(name string) {
	k.fleet.Processes[name].Kill()
	k.repairs[name] = func() error { return k.restart(name) }
}

// suspend suspends a process.
func (k *soakRun) suspend(name string) {
	p := k.fleet.Processes[name]
	p.Suspend()
	k.repairs[name] = func() error {
		p.Resume()
		return nil
	}
}

// terminate stops a process with SIGTERM. Its repair waits for the exit and starts it
// again.
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

// restart starts a process again and waits until it is healthy.
func (k *soakRun) restart(name string) error {
	if err := k.fleet.Restart(name); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return k.fleet.WaitHTTP(ctx, "http://"+k.fleet.AdminAddresses()[name]+"/healthz")
}

// setFault sets a fault at the stand-in of a target.
func (k *soakRun) setFault(target string, f chivestandin.Fault) {
	f.Target = target
	_ = k.fleet.InjectFault(f)
}

// setPlatformFault sets a fault of a part of the platform until its repair.
func (k *soakRun) setPlatformFault(target string, kind chivestandin.Kind) {
	const delayMillis = 300
	k.setFault(target, chivestandin.Fault{Kind: kind, Millis: delayMillis})
	k.repairs["platform "+target] = func() error {
		return k.fleet.InjectFault(chivestandin.Fault{Target: target, Kind: chivestandin.KindNone})
	}
}

// toggleZone restores a drained availability zone or, if there is none, drains a random
// one.
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

// finish stops the load, prints the audit of its requests and stops the fleet.
func (k *soakRun) finish(ctx context.Context, load *chiveharness.Load) error {
	records := load.Stop()
	report, err := k.fleet.Report()
	if err != nil {
		return err
	}
	audit := chiveharness.NewAudit(records, report)
	var mismatchedSteps, overloads int
	for _, g := range report.Groups {
		mismatchedSteps += int(g.MismatchedSteps)
	}
	for _, e := range report.Engines {
		overloads += e.Overloads
	}
	_, _ = fmt.Fprintf(k.out, "faults: %v\n%v\nsteps with different maps %d, overloads %d\n", k.faultCounts, audit, mismatchedSteps, overloads)
	for _, v := range audit.Violations[:min(len(audit.Violations), maxPrintedViolations)] {
		_, _ = fmt.Fprintf(k.out, "violation: %s\n", v)
	}
	if len(audit.Violations) > 0 || mismatchedSteps > 0 || overloads > 0 {
		return Error.New("%d violations of guarantees to callers, %d steps with different maps, %d overloads", len(audit.Violations), mismatchedSteps, overloads)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return k.fleet.Stop(stopTimeout)
}
