// Command chiveyoke-scout is the daemon beside a model runner on the users'
// platform.
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
	// headerTimeout bounds the reading of a call's header.
	headerTimeout = 5 * time.Second
	// shutdownTimeout bounds the calls that are still served at the end.
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
		last, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(last); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-scout: calls were cut off:", err)
		}
	})
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
