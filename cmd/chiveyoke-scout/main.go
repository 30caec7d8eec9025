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
	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedaemon"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/platform"
)

const (
	// answerTime is how long a request may take. Those of entry VMs are given up earlier.
	answerTime = 10 * time.Second
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
	chivedaemon.LimitHeap(s.Limits.MemoryLimit())
	doors := &chivedoor.Ledger{
		Budget: chivebudget.ForMemory(s.Limits.MemoryLimit()), MaxConns: chivedoor.MaxConnsOf(chivedoor.FileLimit(s.Limits.FileLimit())),
	}
	door := doors.Add(&chivedoor.Door{Name: "orders", Weight: 1, AnswerTime: answerTime})
	server := door.Prepare(&http.Server{Handler: chivedoor.CountBodies(scout.Handler(), chivescout.BodyFactor)})
	listener, err := door.Listen("tcp", net.JoinHostPort(s.IP, strconv.Itoa(s.InternalPorts[0])))
	if err != nil {
		return err
	}
	// It ends with the context.
	go func() { _ = doors.Run(ctx) }()
	context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "chiveyoke-scout: requests were cut off at shutdown:", err)
		}
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
