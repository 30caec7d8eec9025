// Command chiveyoke-scout runs the scout, the daemon beside a model runner on the
// users' platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivescout"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/platform"
)

const (
	// headerTimeout is the maximum time to read a request's header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout is the maximum time to wait for requests at shutdown.
	shutdownTimeout = time.Second
)

func main() {
	os.Exit(chivedaemon.Serve("chiveyoke-scout", serve))
}

func serve(ctx context.Context) error {
	s, err := platform.LoadScoutSettings()
	if err != nil {
		return err
	}
	scout := &chivescout.Server{Engine: platform.NewEngine(), Address: s.RunnerAddress}
	server := &http.Server{
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0])), Handler: scout.Handler(), ReadHeaderTimeout: headerTimeout,
	}
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-scout: requests were cut off at shutdown:", err)
		}
	})
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
