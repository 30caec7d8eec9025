package chiveengine

import (
	"bytes"
	"context"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// The names of the metrics that are read from the engine.
const (
	metricStart   = "process_start_time_seconds"
	metricRunning = "vllm:num_requests_running"
	metricWaiting = "vllm:num_requests_waiting"
	metricHeld    = "rank_held"
)

// Health holds metrics of an engine, which may lag behind its state.
type Health struct {
	// StartTime is the start time of the engine in Unix seconds. It identifies the
	// incarnation. It is 0 if the metric is missing.
	StartTime       float64
	RunningRequests int
	WaitingRequests int
	// Held reports whether the ranks of the engine are paused between two steps.
	Held bool
}

// Health reads the metrics of the engine. A missing metric is 0.
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
