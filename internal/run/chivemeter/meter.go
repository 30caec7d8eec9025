// Package chivemeter implements the metrics of a process, served in the
// Prometheus format.
package chivemeter

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the time between two reports of the metrics.
const reportInterval = time.Second

// A Meter holds the metrics of one process.
type Meter struct {
	// Scope makes metrics.
	Scope tally.Scope

	handler http.Handler
	closer  io.Closer
}

// New returns a new Meter whose metrics begin with "chiveyoke".
func New() *Meter {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "chiveyoke",
		Separator:      promreporter.DefaultSeparator,
		CachedReporter: reporter,
	}, reportInterval)
	return &Meter{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// UpdateGauges sets gauges from a function at every report, until the context ends.
func (m *Meter) UpdateGauges(ctx context.Context, set func()) error {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		set()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// ServeHTTP implements http.Handler.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

// Close stops the reports.
func (m *Meter) Close() {
	_ = m.closer.Close()
}
