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
	// settleTime is how long a fleet is left alone before it is measured.
	settleTime = 8 * time.Second
	// idleTime is how long an idle fleet is measured.
	idleTime = 20 * time.Second
	// spreadChanges is the number of changes whose spread is measured.
	spreadChanges = 10
)

// controlSize is the size of a fleet whose control traffic is measured.
type controlSize struct {
	gateways int
	// runners is the number of runners in each of two zones; four runners of a
	// service come on top.
	runners int
}

func (s controlSize) agents() int { return 2*s.runners + 4 }

// controlPoint is what was measured at one size.
type controlPoint struct {
	size    controlSize
	gateway rate
	agent   rate
	// spread holds the times until changes were in force everywhere.
	spread []time.Duration
	// reads and writes are those of the table a second.
	reads, writes float64
}

// Control measures idle fleets of several sizes and the spread of changes, and
// writes a table.
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
			size.gateways, size.agents(), 100*p.gateway.cpu, p.gateway.bytes, p.gateway.packets, p.gateway.resident/1e6,
			100*p.agent.cpu, p.agent.bytes, p.agent.packets, p.agent.resident/1e6, p.reads, p.writes,
			chiveharness.Quantile(p.spread, 0.5).Round(time.Millisecond), chiveharness.Quantile(p.spread, 1).Round(time.Millisecond))
	}
	writeControlSlopes(out, points)
	return nil
}

// fullSiblings is the least number of gateways at which each syncs with as many
// others as in any larger fleet.
const fullSiblings = 4

// writeControlSlopes writes the lines that the gateways' points lie on, over the
// streams that agents open to them.
func writeControlSlopes(out io.Writer, points []controlPoint) {
	var links, cpu, bytes, memory []float64
	for _, p := range points {
		if p.size.gateways < fullSiblings {
			continue
		}
		links = append(links, float64(p.size.agents())*2/float64(p.size.gateways))
		cpu = append(cpu, 100*p.gateway.cpu)
		bytes = append(bytes, p.gateway.bytes)
		memory = append(memory, p.gateway.resident/1e6)
	}
	_, _ = fmt.Fprintf(out, "\nSlopes of a gateway over the sync streams that agents open to it (2 from each agent, shared by the gateways), in fleets of %d gateways and more, where it has 3 to and 3 from siblings besides:\n\n", fullSiblings)
	for _, row := range []struct {
		name string
		y    []float64
	}{{"CPU in % of a core", cpu}, {"bytes a second", bytes}, {"resident MB", memory}} {
		l := fit(links, row.y)
		_, _ = fmt.Fprintf(out, "- %s: %.3f + %.4f a stream\n", row.name, l.base, l.slope)
	}
}

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
	if err := p.idle(ctx, fleet); err != nil {
		return p, err
	}
	return p, p.changes(ctx, fleet)
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// idle measures the fleet without requests.
func (p *controlPoint) idle(ctx context.Context, f *chiveharness.Fleet) error {
	reportBefore, err := f.Report()
	if err != nil {
		return err
	}
	before, err := readAll(ctx, f)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleTime); err != nil {
		return err
	}
	after, err := readAll(ctx, f)
	if err != nil {
		return err
	}
	reportAfter, err := f.Report()
	if err != nil {
		return err
	}
	p.reads = float64(reportAfter.Reads-reportBefore.Reads) / idleTime.Seconds()
	p.writes = float64(reportAfter.Writes-reportBefore.Writes) / idleTime.Seconds()
	for _, vm := range f.VMs {
		p.gateway.addPart(rateOf(before[vm.Name], after[vm.Name]), len(f.VMs))
	}
	for _, e := range f.Sheet.Endpoints {
		p.agent.addPart(rateOf(before[e.Name], after[e.Name]), len(f.Sheet.Endpoints))
	}
	return nil
}

// addPart adds one of n rates to their mean.
func (r *rate) addPart(o rate, n int) {
	r.cpu += o.cpu / float64(n)
	r.bytes += o.bytes / float64(n)
	r.packets += o.packets / float64(n)
	r.resident += o.resident / float64(n)
}

// readAll reads the usage of every gateway and agent.
func readAll(ctx context.Context, f *chiveharness.Fleet) (map[string]usage, error) {
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

// changes measures how soon changes are in force everywhere.
func (p *controlPoint) changes(ctx context.Context, f *chiveharness.Fleet) error {
	op := f.Operator()
	for i := range spreadChanges {
		kind := []chiveconf.ChangeKind{chiveconf.KindDrain, chiveconf.KindUndrain}[i%2]
		head, err := op.Change(ctx, chiveharness.NewChange(kind, f.Sheet.Endpoints[0].Name, uint64(i)+1))
		if err != nil {
			return Error.Wrap(err)
		}
		began := time.Now()
		if err := f.WaitInForce(ctx, head.Version); err != nil {
			return err
		}
		p.spread = append(p.spread, time.Since(began))
	}
	chiveharness.SortDurations(p.spread)
	return nil
}
