// Command chiveyoke-soak runs soak tests: fleets under load with random faults.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivesoak"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	executable, _ := os.Executable()
	s := chivesoak.Settings{}
	cmd := &cobra.Command{
		Use:           "chiveyoke-soak",
		Short:         "Run a fleet under load and inject random faults",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return chivesoak.Run(ctx, s, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&s.Bin, "bin", filepath.Dir(executable), "directory of the chiveyoke programs")
	cmd.Flags().Uint64Var(&s.Seed, "seed", 1, "seed of the random faults and requests")
	cmd.Flags().DurationVar(&s.FaultDuration, "time", 5*time.Minute, "how long faults are injected")
	cmd.AddCommand(siteCommand())
	if err := cmd.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-soak:", err)
		os.Exit(1)
	}
}
