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
	// scaleNet is the second byte of the loopback addresses of the fleet.
	scaleNet = 190
	// scaleChanges is the number of configuration changes whose cost is measured.
	scaleChanges = 50
	// scaleIdleTime is the duration of the measurement of idle gateways.
	scaleIdleTime = 10 * time.Second
	// metricsLag is the time after which the metrics include all changes.
	metricsLag = 3 * time.Second
)

// Scale measures gateways that hold a sheet of the size that the system is designed for,
// without agents, while they are idle and while the configuration changes, and writes a
// table to out.
func Scale(ctx context.Context, s Settings, out io.Writer) error {
	dir, err := os.MkdirTemp("", "chiveyoke-measure-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sheet := chiveharness.TargetSheet(scaleNet)
	f, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: sheet, Net: scaleNet, Gateways: 2, Bin: s.BinDir, Dir: dir, NoAgents: true, StepTime: time.Second,
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	name := f.VMs[0].Name
	read := func() (usage, error) { return readUsage(ctx, f.Processes[name], f.AdminAddress(0)) }
	before, err := read()
	if err != nil {
		return err
	}
	if err := sleep(ctx, scaleIdleTime); err != nil {
		return err
	}
	idleEnd, err := read()
	if err != nil {
		return err
	}
	if err := applyChanges(ctx, f); err != nil {
		return err
	}
	if err := sleep(ctx, metricsLag); err != nil {
		return err
	}
	after, err := read()
	if err != nil {
		return err
	}
	writeScale(out, len(sheet), newUsageRate(before, idleEnd), idleEnd, after)
	return nil
}

// applyChanges takes a zone out and in repeatedly.
func applyChanges(ctx context.Context, f *chiveharness.Fleet) error {
	op := f.Operator()
	for i := range scaleChanges {
		kind := []chiveconf.ChangeKind{chiveconf.KindZoneOut, chiveconf.KindZoneIn}[i%2]
		if _, err := op.Change(ctx, chiveharness.NewChange(kind, f.Sheet.Zones[0].Name, uint64(i)+1)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// writeScale writes the table: the usage of an idle gateway, and the cost of the changes
// between the readings at the end of the idle time and after them.
func writeScale(out io.Writer, sheetBytes int, idle usageRate, idleEnd, after usage) {
	_, _ = fmt.Fprintf(out, "# A gateway with a sheet of the target's size\n\n920 endpoints, 39 groups, 460 workspaces, 8 zones; two gateways, no agents.\n\n")
	_, _ = fmt.Fprintf(out, "| what | measured |\n|--|--:|\n")
	_, _ = fmt.Fprintf(out, "| sheet | %d bytes |\n", sheetBytes)
	_, _ = fmt.Fprintf(out, "| at rest: processor | %.2f %% of a core |\n", 100*idle.cores)
	_, _ = fmt.Fprintf(out, "| at rest: syncs | %.0f bytes a second |\n", idle.bytes)
	_, _ = fmt.Fprintf(out, "| at rest: resident memory | %.1f MB |\n", idle.residentBytes/1e6)
	_, _ = fmt.Fprintf(out, "| a change of a zone: processor, at the gateway that takes it | %.1f ms |\n", 1000*(after.cpuTime-idleEnd.cpuTime).Seconds()/scaleChanges)
	_, _ = fmt.Fprintf(out, "| a change of a zone: bytes between the gateways | %.0f |\n", (after.bytes-idleEnd.bytes)/scaleChanges)
	_, _ = fmt.Fprintf(out, "| after %d changes: resident memory | %.1f MB |\n", scaleChanges, float64(after.residentBytes)/1e6)
}
