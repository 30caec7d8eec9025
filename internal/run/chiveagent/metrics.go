package chiveagent

import "github.com/uber-go/tally/v4"

// metrics holds the counters and gauges of an agent.
type metrics struct {
	started  tally.Counter
	refused  tally.Counter
	finished tally.Counter
	failed   tally.Counter
	tokens   tally.Counter
	running  tally.Gauge
	waiting  tally.Gauge
	limit    tally.Gauge
}

// newMetrics registers the metrics under the prefix "agent".
func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("agent")
	return metrics{
		started:  s.Counter("requests_started"),
		refused:  s.Counter("requests_refused"),
		finished: s.Counter("requests_finished"),
		failed:   s.Counter("requests_failed"),
		tokens:   s.Counter("tokens"),
		running:  s.Gauge("requests_running"),
		waiting:  s.Gauge("requests_waiting"),
		limit:    s.Gauge("requests_limit"),
	}
}
