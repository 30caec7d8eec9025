package chivemeasure

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

const (
	// settleTime is how long a fleet runs before it is measured.
	settleTime = 8 * time.Second
	// idleTime is the duration of the measurement of an idle fleet.
	idleTime = 20 * time.Second
	// propagationChanges is the number of configuration changes whose propagation is
	// measured.
	propagationChanges = 10
)

// controlSize is the size of a fleet whose control traffic is measured.
type controlSize struct {
	gateways int
	// runners is the number of model runners in each of two zones. The two zones together
	// have four runners of a service in addition.
	runners int
}

// agents returns the number of agents, one for each runner.
func (s controlSize) agents() int { return 2*s.runners + 4 }

// controlPoint holds the measurements of a fleet of one size. The usage of gateways
// and agents is the mean over all of them.
type controlPoint struct {
	size    controlSize
	gateway usageRate
	agent   usageRate
	// propagation holds, for each change, the time from its acceptance until it was in
	// force everywhere.
	propagation []time.Duration
	// readsPerSecond and writesPerSecond are the request rates of the table.
	readsPerSecond, writesPerSecond float64
}

// Control measures the resource usage of idle fleets of several sizes and the
// propagation of configuration changes in them, and writes a table to out. It runs the
// programs in the directory bin.
func Control(ctx context.Context, bin string, out io.Writer) error {
	sizes := []controlSize{{2, 6}, {4, 6}, {8, 6}, {16, 6}, {4, 22}, {4, 46}, {8, 46}}
	_, _ = fmt.Fprintf(out, "# Control of an idle fleet\n\nEvery figure is a mean over all processes of a role, over %v; bytes and packets are UDP payload in both directions.\n\n", idleTime)
	_, _ = fmt.Fprintln(out, "| gateways | agents | gateway CPU % | gateway B/s | gateway packets/s | gateway MB | agent CPU % | agent B/s | agent packets/s | agent MB | table reads/s | writes/s | spread median | spread worst |")
	_, _ = fmt.Fprintln(out, "|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
	var points []controlPoint
	for i, size := range sizes {
		p, err := measureControl(ctx, bin, size, 150+i)
		if err != nil {
			return err
		}
		points = append(points, p)
		_, _ = fmt.Fprintf(out, "| %d | %d | %.2f | %.0f | %.1f | %.1f | %.2f | %.0f | %.1f | %.1f | %.1f | %.1f | %v | %v |\n",
			size.gateways, size.agents(), 100*p.gateway.cores, p.gateway.bytes, p.gateway.packets, p.gateway.residentBytes/1e6,
			100*p.agent.cores, p.agent.bytes, p.agent.packets, p.agent.residentBytes/1e6, p.readsPerSecond, p.writesPerSecond,
			chiveharness.Quantile(p.propagation, 0.5).Round(time.Millisecond), chiveharness.Quantile(p.propagation, 1).Round(time.Millisecond))
	}
	writeControlSlopes(out, points)
	return nil
}

// minFullFanoutGateways is the smallest number of gateways at which each one syncs with
// as many others as in any larger fleet.
const minFullFanoutGateways = 4

// writeControlSlopes writes the regression lines of the gateways' usage over the number
// of sync streams that agents open to a gateway.
func writeControlSlopes(out io.Writer, points []controlPoint) {
	var streams, cpu, bytes, memory []float64
	for _, p := range points {
		if p.size.gateways < minFullFanoutGateways {
			continue
		}
		streams = append(streams, float64(p.size.agents())*2/float64(p.size.gateways))
		cpu = append(cpu, 100*p.gateway.cores)
		bytes = append(bytes, p.gateway.bytes)
		memory = append(memory, p.gateway.residentBytes/1e6)
	}
	_, _ = fmt.Fprintf(out, "\nSlopes of a gateway over the sync streams that agents open to it (2 from each agent, shared by the gateways), in fleets of %d gateways and more, where it has 3 to and 3 from siblings besides:\n\n", minFullFanoutGateways)
	for _, row := range []struct {
		name string
		y    []float64
	}{{"CPU in % of a core", cpu}, {"bytes a second", bytes}, {"resident MB", memory}} {
		l := fitLine(streams, row.y)
		_, _ = fmt.Fprintf(out, "- %s: %.3f + %.4f a stream\n", row.name, l.intercept, l.slope)
	}
}

// measureControl measures a fleet of one size. net is the second byte of its loopback
// addresses.
func measureControl(ctx context.Context, bin string, size controlSize, net int) (controlPoint, error) {
	p := controlPoint{size: size}
	dir, err := os.MkdirTemp("", "chiveyoke-measure-")
	if err != nil {
		return p, Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	fleet, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: chiveharness.SmallSheet(net, size.runners), Net: net, Gateways: size.gateways, Bin: bin, Dir: dir,
		StepTime: 50 * time.Millisecond,
	})
	if err != nil {
		return p, err
	}
	defer fleet.Kill()
	if err := sleep(ctx, settleTime); err != nil {
		return p, err
	}
	if err := p.measureIdle(ctx, fleet); err != nil {
		return p, err
	}
	return p, p.measurePropagation(ctx, fleet)
}

// sleep waits for a duration. It returns the error of the context if that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// measureIdle measures the usage of a fleet that serves no requests.
func (p *controlPoint) measureIdle(ctx context.Context, f *chiveharness.Fleet) error {
	reportBefore, err := f.Report()
	if err != nil {
		return err
	}
	before, err := readAllUsage(ctx, f)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleTime); err != nil {
		return err
	}
	after, err := readAllUsage(ctx, f)
	if err != nil {
		return err
	}
	reportAfter, err := f.Report()
	if err != nil {
		return err
	}
	p.readsPerSecond = float64(reportAfter.Reads-reportBefore.Reads) / idleTime.Seconds()
	p.writesPerSecond = float64(reportAfter.Writes-reportBefore.Writes) / idleTime.Seconds()
	for _, vm := range f.VMs {
		p.gateway.addToMean(newUsageRate(before[vm.Name], after[vm.Name]), len(f.VMs))
	}
	for _, e := range f.Sheet.Endpoints {
		p.agent.addToMean(newUsageRate(before[e.Name], after[e.Name]), len(f.Sheet.Endpoints))
	}
	return nil
}

// addToMean adds to r the contribution of o to the mean of n rates.
func (r *usageRate) addToMean(o usageRate, n int) {
	r.cores += o.cores / float64(n)
	r.bytes += o.bytes / float64(n)
	r.packets += o.packets / float64(n)
	r.residentBytes += o.residentBytes / float64(n)
}

// readAllUsage reads the usage of every gateway and agent by name.
func readAllUsage(ctx context.Context, f *chiveharness.Fleet) (map[string]usage, error) {
	all := map[string]usage{}
	for name, admin := range f.AdminAddresses() {
		u, err := readUsage(ctx, f.Processes[name], admin)
		if err != nil {
			return nil, err
		}
		all[name] = u
	}
	return all, nil
}

// measurePropagation measures how long changes take to be in force everywhere.
func (p *controlPoint) measurePropagation(ctx context.Context, f *chiveharness.Fleet) error {
	op := f.Operator()
	for i := range propagationChanges {
		kind := []chiveconf.ChangeKind{chiveconf.KindDrain, chiveconf.KindUndrain}[i%2]
		head, err := op.Change(ctx, chiveharness.NewChange(kind, f.Sheet.Endpoints[0].Name, uint64(i)+1))
		if err != nil {
			return Error.Wrap(err)
		}
		acceptedAt := time.Now()
		if err := f.WaitInForce(ctx, head.Version); err != nil {
			return err
		}
		p.propagation = append(p.propagation, time.Since(acceptedAt))
	}
	chiveharness.SortDurations(p.propagation)
	return nil
}
