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
	scaleNet = 190
	// scaleChanges is the number of changes whose cost is measured.
	scaleChanges = 50
	// scaleIdle is how long the gateways are measured at rest.
	scaleIdle = 10 * time.Second
	// flushTime is how long metrics may lag behind.
	flushTime = 3 * time.Second
)

// Scale measures gateways that hold a sheet of the target's size, without
// agents, at rest and as the configuration changes.
func Scale(ctx context.Context, s Settings, out io.Writer) error {
	dir, err := os.MkdirTemp("", "chiveyoke-measure-")
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	sheet := chiveharness.TargetSheet(scaleNet)
	f, err := chiveharness.Start(ctx, chiveharness.Settings{
		Sheet: sheet, Net: scaleNet, Gateways: 2, Bin: s.BinDir, Dir: dir, NoAgents: true, Step: time.Second,
	})
	if err != nil {
		return err
	}
	defer f.Kill()
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	name := f.VMs[0].Name
	read := func() (usage, error) { return readUsage(ctx, f.Processes[name], f.Admin(0)) }
	before, err := read()
	if err != nil {
		return err
	}
	if err := sleep(ctx, scaleIdle); err != nil {
		return err
	}
	rest, err := read()
	if err != nil {
		return err
	}
	if err := changeOften(ctx, f); err != nil {
		return err
	}
	if err := sleep(ctx, flushTime); err != nil {
		return err
	}
	after, err := read()
	if err != nil {
		return err
	}
	writeScale(out, len(sheet), rateOf(before, rest), rest, after)
	return nil
}

func changeOften(ctx context.Context, f *chiveharness.Fleet) error {
	op := f.Operator()
	for i := range scaleChanges {
		kind := []chiveconf.Kind{chiveconf.KindZoneOut, chiveconf.KindZoneIn}[i%2]
		if _, err := op.Change(ctx, chiveharness.NewChange(kind, f.Sheet.Zones[0].Name, uint64(i)+1)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func writeScale(out io.Writer, sheetBytes int, idle rate, rest, after usage) {
	_, _ = fmt.Fprintf(out, "# A gateway with a sheet of the target's size\n\n920 endpoints, 39 groups, 460 workspaces, 8 zones; two gateways, no agents.\n\n")
	_, _ = fmt.Fprintf(out, "| what | measured |\n|--|--:|\n")
	_, _ = fmt.Fprintf(out, "| sheet | %d bytes |\n", sheetBytes)
	_, _ = fmt.Fprintf(out, "| at rest: processor | %.2f %% of a core |\n", 100*idle.cpu)
	_, _ = fmt.Fprintf(out, "| at rest: syncs | %.0f bytes a second |\n", idle.bytes)
	_, _ = fmt.Fprintf(out, "| at rest: resident memory | %.1f MB |\n", idle.resident/1e6)
	_, _ = fmt.Fprintf(out, "| a change of a zone: processor, at the gateway that takes it | %.1f ms |\n", 1000*(after.cpu-rest.cpu).Seconds()/scaleChanges)
	_, _ = fmt.Fprintf(out, "| a change of a zone: bytes between the gateways | %.0f |\n", (after.bytes-rest.bytes)/scaleChanges)
	_, _ = fmt.Fprintf(out, "| after %d changes: resident memory | %.1f MB |\n", scaleChanges, float64(after.resident)/1e6)
}
