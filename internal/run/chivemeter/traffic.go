package chivemeter

import (
	"github.com/uber-go/tally/v4"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

// TrafficGauges holds the gauges of the traffic between processes of the system.
type TrafficGauges struct {
	sentBytes       tally.Gauge
	receivedBytes   tally.Gauge
	sentPackets     tally.Gauge
	receivedPackets tally.Gauge
}

// NewTrafficGauges returns a new Traffic of a scope.
func NewTrafficGauges(scope tally.Scope) *TrafficGauges {
	s := scope.SubScope("link")
	return &TrafficGauges{
		sentBytes:       s.Gauge("sent_bytes"),
		receivedBytes:   s.Gauge("received_bytes"),
		sentPackets:     s.Gauge("sent_packets"),
		receivedPackets: s.Gauge("received_packets"),
	}
}

// Set sets the gauges to the sums of several counts.
func (t *TrafficGauges) Set(counts ...chivelink.Traffic) {
	var sum chivelink.Traffic
	for _, c := range counts {
		sum.SentBytes += c.SentBytes
		sum.ReceivedBytes += c.ReceivedBytes
		sum.SentPackets += c.SentPackets
		sum.ReceivedPackets += c.ReceivedPackets
	}
	t.sentBytes.Update(float64(sum.SentBytes))
	t.receivedBytes.Update(float64(sum.ReceivedBytes))
	t.sentPackets.Update(float64(sum.SentPackets))
	t.receivedPackets.Update(float64(sum.ReceivedPackets))
}
