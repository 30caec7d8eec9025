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

// A Settings says where measurements find programs and leave their results.
type Settings struct {
	// BinDir is the directory of the programs.
	BinDir string
	// OutputDir is the directory of the tables and plots.
	OutputDir  string
	Seed uint64
}

// measurement is one table of the docs.
type measurement struct {
	name string
	run  func(ctx context.Context, s Settings, out io.Writer) error
}

// measurements lists all, those without processes first.
var measurements = []measurement{
	{"maps", Maps},
	{"relay", Relay},
	{"zones", Zones},
	{"scale", Scale},
	{"fairness", Fairness},
	{"routing", Routing},
	{"control", func(ctx context.Context, s Settings, out io.Writer) error { return Control(ctx, s.BinDir, out) }},
}

// Run makes the named measurements, or all, and writes each table to NAME.md.
func Run(ctx context.Context, s Settings, names []string, progress io.Writer) error {
	for _, m := range measurements {
		if len(names) > 0 && !slices.Contains(names, m.name) {
			continue
		}
		began := time.Now()
		var out bytes.Buffer
		if err := m.run(ctx, s, &out); err != nil {
			return Error.New("%s: %v", m.name, err)
		}
		_, _ = fmt.Fprintf(&out, "\nMade by `make measure NAME=%s` with seed %d.\n", m.name, s.Seed)
		if err := os.WriteFile(filepath.Join(s.OutputDir, m.name+".md"), out.Bytes(), 0o644); err != nil {
			return Error.Wrap(err)
		}
		_, _ = fmt.Fprintf(progress, "%s: %v\n%s\n", m.name, time.Since(began).Round(time.Second), out.String())
	}
	return nil
}
