package chiveentry

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"
	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// latencyBuckets holds the upper bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// recordOutcome updates the request metrics with the outcome of a request.
func (d *Daemon) recordOutcome(o chiverelay.Outcome) {
	scope := d.meter.Scope.Tagged(map[string]string{
		"kind": o.Kind, "verdict": o.Verdict.String(), "status": strconv.Itoa(o.Status),
	})
	scope.Counter("requests").Inc(1)
	scope.Counter("attempts").Inc(int64(o.Attempts))
	if o.Unbounded > 0 {
		scope.Counter("answers_unbounded").Inc(int64(o.Unbounded))
	}
	if o.Status < 300 && o.Status > 0 {
		kind := d.meter.Scope.Tagged(map[string]string{"kind": o.Kind})
		kind.Histogram("first_seconds", latencyBuckets).RecordDuration(o.FirstLatency)
		kind.Histogram("total_seconds", latencyBuckets).RecordDuration(o.TotalLatency)
	}
}

// updateGauges sets the gauges from the current view of the fleet and the state of the
// daemon.
func (d *Daemon) updateGauges() {
	s, f := d.meter.Scope, d.fleet()
	if f.Config != nil {
		s.Gauge("config_version").Update(float64(f.Config.Version))
		s.Gauge("config_age_seconds").Update(chiveclock.Since(f.ConfigConfirmedAt).Seconds())
	}
	for _, name := range []string{d.settings.Tables.Operators, d.settings.Tables.Runners, d.settings.Tables.System} {
		s.Tagged(map[string]string{"table": name}).Gauge("table_age_seconds").Update(d.source.SinceRead(name).Seconds())
	}
	runners, busy := 0, 0
	for name := range f.Runners {
		runners += len(f.UsableRunners(name))
	}
	for _, n := range d.relay.State.LocalLoad() {
		busy += n
	}
	s.Gauge("runners_usable").Update(float64(runners))
	leaving, paused := d.relay.State.NoticeCounts()
	s.Gauge("runners_said_leaving").Update(float64(leaving))
	s.Gauge("runners_paused").Update(float64(paused))
	s.Gauge("runners_capped").Update(float64(d.relay.Rates.Count()))
	s.Gauge("parts_excluded").Update(float64(d.relay.Crashes.ExcludedCount(chivesuspect.Part)))
	s.Gauge("requests_excluded").Update(float64(d.relay.Crashes.ExcludedCount(chivesuspect.Request)))
	s.Gauge("requests_busy").Update(float64(busy))
	memory := d.relay.Memory.Counts()
	s.Gauge("callers_held_bytes").Update(float64(memory.Held))
	s.Gauge("callers_slow").Update(float64(memory.Slow))
	s.Gauge("callers_slow_held_bytes").Update(float64(memory.SlowHeld))
	s.Gauge("callers_cut").Update(float64(memory.Cuts))
	s.Gauge("memory_refusals").Update(float64(memory.Refusals))
	s.Gauge("peers_alive").Update(float64(len(d.mesh.Peers())))
	s.Gauge("zones_evacuated").Update(float64(len(f.EvacuatedZones)))
	s.Gauge("map_duty").Update(boolGauge(d.balancer.HoldsDuty()))
	s.Gauge("leaving").Update(boolGauge(d.leaving.Load()))
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
