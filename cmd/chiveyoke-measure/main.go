// Command chiveyoke-measure runs the measurements whose results the documentation
// states.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivemeasure"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	executable, _ := os.Executable()
	s := chivemeasure.Settings{}
	cmd := &cobra.Command{
		Use:           "chiveyoke-measure [NAME...]",
		Short:         "Run the named measurements, or all, and write their tables and plots",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, names []string) error {
			return chivemeasure.Run(ctx, s, names, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&s.BinDir, "bin", filepath.Dir(executable), "directory of the chiveyoke programs")
	cmd.Flags().StringVar(&s.OutputDir, "dir", "docs/measure", "output directory of the tables and plots")
	cmd.Flags().Uint64Var(&s.Seed, "seed", 20261204, "seed of all random numbers")
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-measure:", err)
		os.Exit(1)
	}
}
