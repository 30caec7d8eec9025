package chivedaemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Serve runs a program until SIGTERM or SIGINT and returns its exit code. The
// settings that a program reads do not change while it runs, so that SIGHUP has
// no effect.
func Serve(program string, serve func(ctx context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	if err := serve(ctx); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 1
	}
	return 0
}
