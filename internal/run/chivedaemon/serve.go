package chivedaemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Serve calls serve with a context that ends at SIGTERM or SIGINT, prints its error
// and returns the exit code. SIGHUP is ignored because settings are not reloaded
// while a program runs. SIGPIPE is ignored so that a closed standard output does
// not end the program.
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
