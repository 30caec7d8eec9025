// Command chiveyoke-standin simulates the platform, the engines and the services of
// a sheet for the demo and the tests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivestandin"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

func main() {
	var settings chivestandin.Settings
	var path string
	cmd := &cobra.Command{
		Use:           "chiveyoke-standin --sheet FILE",
		Short:         "Simulate the platform, the engines and the services of a sheet",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			return serve(path, settings)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&path, "sheet", "sheet.csv", "sheet (CSV) whose engines and services are simulated")
	flags.StringVar(&settings.TableAddr, "table", "127.90.0.1:9000", "address of the table")
	flags.StringVar(&settings.ObjectAddr, "object", "127.90.0.1:9001", "address of the object store")
	flags.StringVar(&settings.ControlAddr, "control", "127.90.0.1:9002", "address of the VM list and of fault injection")
	flags.DurationVar(&settings.StepTime, "step", 5*time.Millisecond, "duration of one generation step of a group")
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-standin:", err)
		os.Exit(1)
	}
}

func serve(path string, settings chivestandin.Settings) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	sheet, err := chivesheet.Parse(raw)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return chivestandin.New(settings, sheet).Run(ctx)
}
