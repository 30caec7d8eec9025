// Command chiveyoke-measure makes the measurements that the docs quote.
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
	self, _ := os.Executable()
	s := chivemeasure.Settings{}
	cmd := &cobra.Command{
		Use:           "chiveyoke-measure [NAME...]",
		Short:         "Make measurements and write their tables and plots",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, names []string) error {
			return chivemeasure.Run(ctx, s, names, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&s.BinDir, "bin", filepath.Dir(self), "directory of the programs")
	cmd.Flags().StringVar(&s.OutputDir, "dir", "docs/measure", "directory of the tables and plots")
	cmd.Flags().Uint64Var(&s.Seed, "seed", 20261204, "seed of everything random")
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-measure:", err)
		os.Exit(1)
	}
}
