// Package chivemeter collects the metrics of a process and serves them in the
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

// reportInterval is the time between two updates of the served metrics.
const reportInterval = time.Second

// Meter holds the metrics of one process.
type Meter struct {
	// Scope creates the counters, gauges and histograms of the process.
	Scope tally.Scope

	handler http.Handler
	closer  io.Closer
}

// New returns a new Meter. The names of its metrics begin with "chiveyoke".
func New() *Meter {
	reporter := promreporter.NewReporter(promreporter.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "chiveyoke",
		Separator:      promreporter.DefaultSeparator,
		CachedReporter: reporter,
	}, reportInterval)
	return &Meter{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// UpdateGauges calls update, which sets gauges, at once and then every
// reportInterval until the context is done. It always returns nil.
func (m *Meter) UpdateGauges(ctx context.Context, update func()) error {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		update()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// ServeHTTP implements http.Handler. It answers with the metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.handler.ServeHTTP(w, r)
}

// Close stops updating the served metrics.
func (m *Meter) Close() {
	_ = m.closer.Close()
}
