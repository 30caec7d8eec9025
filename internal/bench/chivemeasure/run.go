package chivemeasure

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Settings holds the directories and the seed of measurements.
type Settings struct {
	// BinDir is the directory of the programs to run.
	BinDir string
	// OutputDir is the directory to which tables and plots are written.
	OutputDir string
	// Seed is the seed of simulations and of loads.
	Seed uint64
}

// measurement writes one table.
type measurement struct {
	name string
	run  func(ctx context.Context, s Settings, out io.Writer) error
}

// measurements holds all measurements in the order in which they run.
var measurements = []measurement{
	{"maps", Maps},
	{"relay", Relay},
	{"zones", Zones},
	{"scale", Scale},
	{"fairness", Fairness},
	{"routing", Routing},
	{"control", func(ctx context.Context, s Settings, out io.Writer) error { return Control(ctx, s.BinDir, out) }},
}

// Run runs the named measurements, or all if there are no names, and writes each table
// to NAME.md in the output directory and to progress. It ignores unknown names.
func Run(ctx context.Context, s Settings, names []string, progress io.Writer) error {
	for _, m := range measurements {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		startedAt := time.Now()
		var out bytes.Buffer
		if err := m.run(ctx, s, &out); err != nil {
			return Error.New("%s: %v", m.name, err)
		}
		_, _ = fmt.Fprintf(&out, "\nMade by `make measure NAME=%s` with seed %d.\n", m.name, s.Seed)
		if err := os.WriteFile(filepath.Join(s.OutputDir, m.name+".md"), out.Bytes(), 0o644); err != nil {
			return Error.Wrap(err)
		}
		_, _ = fmt.Fprintf(progress, "%s: %v\n%s\n", m.name, time.Since(startedAt).Round(time.Second), out.String())
	}
	return nil
}
