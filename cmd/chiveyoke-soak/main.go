// Command chiveyoke-soak runs a fleet under load and random faults.
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
	self, _ := os.Executable()
	s := chivesoak.Settings{}
	cmd := &cobra.Command{
		Use:           "chiveyoke-soak",
		Short:         "Run a fleet under load and random faults",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return chivesoak.Run(ctx, s, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&s.Bin, "bin", filepath.Dir(self), "directory of the programs")
	cmd.Flags().Uint64Var(&s.Seed, "seed", 1, "seed of the faults and the callers")
	cmd.Flags().DurationVar(&s.FaultDuration, "time", 5*time.Minute, "how long faults are made")
	cmd.AddCommand(siteCommand())
	if err := cmd.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-soak:", err)
		os.Exit(1)
	}
}
