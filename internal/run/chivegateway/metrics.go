package chivegateway

import "github.com/uber-go/tally/v4"

// metrics holds the metrics of a gateway.
type metrics struct {
	requests      tally.Counter
	served        tally.Counter
	refused       tally.Counter
	failed        tally.Counter
	retries       tally.Counter
	resumes       tally.Counter
	tokens        tally.Counter
	configVersion tally.Gauge
	firstToken    tally.Histogram
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("gateway")
	return metrics{
		requests:      s.Counter("requests"),
		served:        s.Counter("requests_served"),
		refused:       s.Counter("requests_refused"),
		failed:        s.Counter("requests_failed"),
		retries:       s.Counter("retries"),
		resumes:       s.Counter("resumes"),
		tokens:        s.Counter("tokens"),
		configVersion: s.Gauge("config_version"),
		firstToken:    s.Histogram("first_token_seconds", tally.MustMakeExponentialDurationBuckets(1e6, 2, 16)),
	}
}
