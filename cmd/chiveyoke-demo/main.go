// Command chiveyoke-demo runs an example as separate processes on loopback
// addresses and prints the answers that its callers get.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/bench/chivedemo"
)

func main() {
	var settings chivedemo.Settings
	executable, _ := os.Executable()
	cmd := &cobra.Command{
		Use:           "chiveyoke-demo",
		Short:         "Run an example end to end",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(context.Background(), settings.Timeout)
			defer cancel()
			return chivedemo.Run(ctx, settings, cmd.OutOrStdout())
		},
	}
	cmd.Flags().StringVar(&settings.Sheet, "sheet", "examples/ferraro/sheet.csv", "sheet (CSV) of the example")
	cmd.Flags().StringVar(&settings.Bin, "bin", filepath.Dir(executable), "directory of the chiveyoke programs")
	cmd.Flags().IntVar(&settings.Gateways, "gateways", 7, "number of gateways")
	cmd.Flags().DurationVar(&settings.Timeout, "timeout", 50*time.Second, "maximum duration of the demo")
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-demo:", err)
		os.Exit(1)
	}
}
