package chiveentry

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"
	"github.com/chiveyoke/chiveyoke/internal/run/chiverelay"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// latencyBuckets holds the upper bounds of the latency histograms.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// workRatioBuckets holds the upper bounds of the histogram of actual by estimated work.
var workRatioBuckets = tally.ValueBuckets{0.25, 0.5, 0.8, 0.95, 1.05, 1.25, 2, 4}

// recordOutcome updates the request metrics with the outcome of a request.
func (d *Daemon) recordOutcome(o chiverelay.Outcome) {
	scope := d.meter.Scope.Tagged(map[string]string{
		"kind": o.Kind, "verdict": o.Verdict.String(), "status": strconv.Itoa(o.Status),
	})
	scope.Counter("requests").Inc(1)
	scope.Counter("attempts").Inc(int64(o.Attempts))
	if o.NotAdmitted {
		d.meter.Scope.Tagged(map[string]string{"urgency": strconv.Itoa(o.Urgency)}).Counter("requests_not_admitted").Inc(1)
	}
	if o.Unbounded > 0 {
		scope.Counter("answers_unbounded").Inc(int64(o.Unbounded))
	}
	if o.EstimatedWork > 0 && o.ActualWork > 0 {
		d.meter.Scope.Histogram("work_actual_by_estimate", workRatioBuckets).RecordValue(o.ActualWork / o.EstimatedWork)
	}
	if o.Status < 300 && o.Status > 0 {
		kind := d.meter.Scope.Tagged(map[string]string{"kind": o.Kind})
		kind.Histogram("first_seconds", latencyBuckets).RecordDuration(o.FirstLatency)
		kind.Histogram("total_seconds", latencyBuckets).RecordDuration(o.TotalLatency)
	}
}

// holdBuckets holds the upper bounds of the histogram of holds of a group.
var holdBuckets = tally.DurationBuckets{
	30 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond, time.Second, 4 * time.Second,
}

// recordHold updates the metrics with the time for which a group was held.
func (d *Daemon) recordHold(held time.Duration) {
	d.meter.Scope.Histogram("map_hold_seconds", holdBuckets).RecordDuration(held)
}

// recordTakeover updates the metrics and logs how the change of an earlier holder of the
// map duty ended.
func (d *Daemon) recordTakeover(t chiverank.Takeover) {
	end := "rolled_back"
	if t.Completed {
		end = "completed"
	}
	d.meter.Scope.Tagged(map[string]string{"end": end}).Counter("map_takeovers").Inc(1)
	d.log.WithPrefix("maps").Info("Unfinished map change has ended.", "end", end, "version", t.Version, "took", t.Spent)
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
	work, mostWork := 0.0, 0.0
	for _, w := range d.relay.State.LocalWork() {
		work, mostWork = work+w, max(mostWork, w)
	}
	s.Gauge("work_left").Update(work)
	s.Gauge("work_left_most").Update(mostWork)
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
	doors, closed := d.doors.Counts()
	for name, c := range doors {
		tagged := s.Tagged(map[string]string{"port": name})
		tagged.Gauge("connections").Update(float64(c.Conns))
		tagged.Gauge("connections_held_bytes").Update(float64(c.Held))
	}
	for key, n := range closed {
		s.Tagged(map[string]string{"port": key.Door, "reason": string(key.Reason)}).Gauge("connections_closed").Update(float64(n))
	}
	s.Gauge("peers_alive").Update(float64(len(d.mesh.Peers())))
	for name, room := range d.relay.State.Rooms() {
		tagged := s.Tagged(map[string]string{"service": name})
		tagged.Gauge("admission_limit").Update(room.Limit)
		tagged.Gauge("admission_held").Update(room.Held)
		tagged.Gauge("admission_age_seconds").Update(room.Age.Seconds())
	}
	spent, allowed := d.relay.State.RetryCounts()
	for name := range spent {
		tagged := s.Tagged(map[string]string{"service": name})
		tagged.Gauge("retries_spent").Update(spent[name])
		tagged.Gauge("retries_allowed").Update(allowed[name])
	}
	s.Gauge("entries_sharing").Update(float64(d.entriesSharing.Load()))
	s.Gauge("reads_hub").Update(boolGauge(d.source.ReadsHub()))
	s.Gauge("zones_evacuated").Update(float64(len(f.EvacuatedZones)))
	s.Gauge("map_duty").Update(boolGauge(d.balancer.HoldsDuty()))
	s.Gauge("leaving").Update(boolGauge(d.leaving.Load()))
	s.Gauge("panics").Update(float64(chiveguard.Panics()))
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
