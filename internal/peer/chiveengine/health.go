package chiveengine

import (
	"bytes"
	"context"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The names of the engine's metrics.
const (
	metricStart   = "process_start_time_seconds"
	metricRunning = "vllm:num_requests_running"
	metricWaiting = "vllm:num_requests_waiting"
	metricHeld    = "rank_held"
)

// A Health is what an engine reports of itself, with a lag.
type Health struct {
	// StartTime is the time of the engine's start in Unix seconds; it tells one
	// incarnation from the next.
	StartTime       float64
	RunningRequests int
	WaitingRequests int
	// Held says that the engine's ranks wait and take no step.
	Held bool
}

// Health reads the engine's metrics.
func (c *Client) Health(ctx context.Context) (Health, error) {
	data, err := c.get(ctx, "/metrics")
	if err != nil {
		return Health{}, err
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(data))
	if err != nil {
		return Health{}, Error.Wrap(err)
	}
	value := func(name string) float64 {
		f := families[name]
		if f == nil || len(f.GetMetric()) == 0 {
			return 0
		}
		m := f.GetMetric()[0]
		return m.GetGauge().GetValue() + m.GetUntyped().GetValue()
	}
	return Health{
		StartTime:       value(metricStart),
		RunningRequests: int(value(metricRunning)),
		WaitingRequests: int(value(metricWaiting)),
		Held:            value(metricHeld) != 0,
	}, nil
}
