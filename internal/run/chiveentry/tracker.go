package chiveentry

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

const (
	// missingRowGrace is how long after an outage of the store an entry that is missing
	// still counts: runners renew theirs within about two seconds.
	missingRowGrace = 2300 * time.Millisecond
	// expiryInterval is the time between two looks at lapsed entries.
	expiryInterval = 200 * time.Millisecond
)

// A Codec reads the rows that operators and runners write.
type Codec interface {
	// Config reads a configuration.
	Config(data []byte) (*chivefleet.Config, error)
	// Runner reads the entry of a runner that was read at a moment.
	Runner(id string, data []byte, now chiveclock.Moment) (*chivefleet.Runner, error)
	// Operator tells what a row of the operators holds: the configuration, or
	// that a zone is evacuated.
	Operator(key string) (config bool, zone string)
}

// A Tracker turns tables into views of the fleet. One goroutine owns its state.
type Tracker struct {
	codec Codec
	log   *log.Logger
	fleet atomic.Pointer[chivefleet.Fleet]

	operatorTables chan chivefollow.Table
	runnerTables   chan chivefollow.Table
	entryTables    chan chivefollow.Table

	// runners holds the decoded entries, by id.
	runners map[string]trackedRunner
	// malformedVersions holds the versions of malformed rows, so that each is logged once.
	malformedVersions map[string]int64
	// configRowVersion is the version of the row that holds the configuration.
	configRowVersion int64
	// lastOutage is when the store last failed or answered again.
	lastOutage chiveclock.Moment
}

// trackedRunner is a runner with the version of its row.
type trackedRunner struct {
	runner  *chivefleet.Runner
	version int64
	// expiresAt is when a runner whose row is missing counts as gone; 0 where the
	// row exists.
	expiresAt chiveclock.Moment
}

// NewTracker returns a new Tracker that knows nothing.
func NewTracker(codec Codec, logger *log.Logger) *Tracker {
	t := &Tracker{
		codec: codec, log: logger, runners: map[string]trackedRunner{}, malformedVersions: map[string]int64{},
		operatorTables: make(chan chivefollow.Table), runnerTables: make(chan chivefollow.Table), entryTables: make(chan chivefollow.Table),
	}
	t.fleet.Store(&chivefleet.Fleet{})
	return t
}

// Fleet returns the newest view.
func (t *Tracker) Fleet() *chivefleet.Fleet {
	return t.fleet.Load()
}

// Run owns the state until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case table := <-t.operatorTables:
			t.applyOperators(table)
		case table := <-t.runnerTables:
			t.applyRunners(table)
		case table := <-t.entryTables:
			t.applyEntries(table)
		case <-tick.C:
			t.expireRunners()
		}
	}
}

// publish replaces the view by a changed copy.
func (t *Tracker) publish(change func(*chivefleet.Fleet)) {
	next := *t.fleet.Load()
	change(&next)
	t.fleet.Store(&next)
}

// recordOutage notes when the store was last in trouble.
func (t *Tracker) recordOutage(table chivefollow.Table) {
	t.lastOutage = max(t.lastOutage, table.Recovered)
}

func (t *Tracker) applyOperators(table chivefollow.Table) {
	t.recordOutage(table)
	evacuated := map[string]bool{}
	var config *chivefleet.Config
	for key, r := range table.Rows {
		isConfig, zone := t.codec.Operator(key)
		if zone != "" {
			evacuated[zone] = true
		}
		if isConfig && r.Version > t.configRowVersion {
			config = t.decodeConfig(r)
		}
	}
	before := t.fleet.Load()
	for zone := range evacuated {
		if !before.EvacuatedZones[zone] {
			t.log.Info("Zone is evacuated.", "zone", zone)
		}
	}
	for zone := range before.EvacuatedZones {
		if !evacuated[zone] {
			t.log.Info("Zone is taken back.", "zone", zone)
		}
	}
	t.publish(func(f *chivefleet.Fleet) {
		f.EvacuatedZones, f.ConfigConfirmedAt = evacuated, table.Confirmed
		if config != nil {
			f.Config = config
		}
	})
}

// decodeConfig returns the configuration of a row, or nil where it is malformed
// or not newer than the one in force.
func (t *Tracker) decodeConfig(r chivefollow.Row) *chivefleet.Config {
	c, err := t.codec.Config(r.Value)
	if err != nil {
		t.logMalformed(r, err)
		return nil
	}
	t.configRowVersion = r.Version
	if now := t.fleet.Load().Config; now != nil && c.Version < now.Version {
		t.log.Warn("Configuration is older than the one in force.", "version", c.Version, "force", now.Version)
		return nil
	}
	t.log.Info("Configuration is in force.", "version", c.Version, "routes", len(c.Routes), "workspaces", len(c.Workspaces))
	return c
}

func (t *Tracker) logMalformed(r chivefollow.Row, err error) {
	if t.malformedVersions[r.Key] == r.Version {
		return
	}
	t.malformedVersions[r.Key] = r.Version
	t.log.Warn("Row is malformed and left out.", "row", r.Key, "version", r.Version, "error", err)
}

func (t *Tracker) applyRunners(table chivefollow.Table) {
	t.recordOutage(table)
	now := chiveclock.Now()
	for key, r := range table.Rows {
		known, ok := t.runners[key]
		if ok && known.version == r.Version {
			known.expiresAt = 0
			t.runners[key] = known
			continue
		}
		if t.malformedVersions[key] == r.Version {
			continue
		}
		runner, err := t.codec.Runner(key, r.Value, now)
		if err != nil {
			t.logMalformed(r, err)
			t.removeRunner(key, "entry is malformed")
			continue
		}
		t.logChange(known.runner, runner, r.Version)
		t.runners[key] = trackedRunner{runner: runner, version: r.Version}
	}
	for key, known := range t.runners {
		if _, ok := table.Rows[key]; ok || known.expiresAt != 0 {
			continue
		}
		if until := t.lastOutage.Add(missingRowGrace); t.lastOutage != 0 && now < until && !known.runner.Leaving {
			known.expiresAt = until
			t.runners[key] = known
			continue
		}
		t.removeRunner(key, "entry was removed")
	}
	t.publishRunners()
}

// logChange logs what is new of a runner.
func (t *Tracker) logChange(before, now *chivefleet.Runner, version int64) {
	switch {
	case before == nil || before.Incarnation() != now.Incarnation():
		t.log.Info("Runner is known.", "runner", now.ID, "service", now.Service, "zone", now.Zone, "address", now.Address,
			"cold", chiveclock.Until(now.ColdUntil) > 0, "born", now.StartedAtMillis, "row", version)
	case now.Leaving && !before.Leaving:
		t.log.Info("Runner is leaving.", "runner", now.ID, "row", version)
	}
}

func (t *Tracker) removeRunner(id, why string) {
	if _, ok := t.runners[id]; !ok {
		return
	}
	delete(t.runners, id)
	t.log.Info("Runner is gone.", "runner", id, "why", why)
}

// expireRunners drops the runners whose entries did not come back after an outage.
func (t *Tracker) expireRunners() {
	now := chiveclock.Now()
	dropped := false
	for id, known := range t.runners {
		if known.expiresAt != 0 && now >= known.expiresAt {
			t.removeRunner(id, "entry did not come back after an outage")
			dropped = true
		}
	}
	if dropped {
		t.publishRunners()
	}
}

func (t *Tracker) publishRunners() {
	runners := make(map[string]*chivefleet.Runner, len(t.runners))
	for id, known := range t.runners {
		runners[id] = known.runner
	}
	t.publish(func(f *chivefleet.Fleet) { f.Runners = chivefleet.GroupByService(runners) })
}

// entryPrefix stands before the names of entry VMs in the system's own table.
const entryPrefix = "entry/"

func (t *Tracker) applyEntries(table chivefollow.Table) {
	t.recordOutage(table)
	entries := map[string]chivefleet.Entry{}
	for key, r := range table.Rows {
		name, ok := strings.CutPrefix(key, entryPrefix)
		if !ok {
			continue
		}
		var e chivefleet.Entry
		if err := cbor.Unmarshal(r.Value, &e); err != nil || e.Name != name {
			t.logMalformed(r, err)
			continue
		}
		entries[name] = e
	}
	t.publish(func(f *chivefleet.Fleet) { f.Entries = entries })
}
