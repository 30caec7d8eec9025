// Package chivedaemon implements the parts that all daemons share: the command
// line, the admin server and the handling of signals.
package chivedaemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
)

// Daemon is a process that serves requests.
type Daemon interface {
	// Run serves until the context is done, then waits for its requests to finish.
	Run(ctx context.Context) error
}

// Main runs a daemon of the role until SIGTERM or SIGINT and returns its exit code.
// It loads the settings file that the --config flag names into settings before it
// calls start. It handles signals from the beginning, so that one that arrives
// during startup stops the daemon gracefully as well.
func Main(role string, settings chivesetting.Checker, start func() (Daemon, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var path string
	program := "chiveyoke-" + role
	cmd := &cobra.Command{
		Use:           program + " --config FILE",
		Short:         "Run the daemon with the role " + role,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if err := chivesetting.Load(path, settings); err != nil {
				return err
			}
			d, err := start()
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
	}
	cmd.Flags().StringVarP(&path, "config", "c", role+".yaml", "settings file")
	if err := cmd.Execute(); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 1
	}
	return 0
}
