package chiveentry

import (
	"context"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

const (
	// missingRowGrace is how long after an outage of the store a runner is kept
	// although its row is missing. Runners renew their rows within about two seconds.
	missingRowGrace = 2300 * time.Millisecond
	// restoreGrace is how long after the store has returned from an older copy its rows
	// of operators are not relied on to be the newest: operators and runners write again
	// what was lost.
	restoreGrace = time.Second
	// tombstoneAge is how long the registration of a runner that has gone is remembered,
	// so that an older copy of the store does not bring it back.
	tombstoneAge = 30 * time.Second
	// expiryInterval is the time between two checks for runners to expire.
	expiryInterval = 200 * time.Millisecond
)

// Codec decodes the rows that operators and runners write.
type Codec interface {
	// Config decodes a configuration.
	Config(data []byte) (*chivefleet.Config, error)
	// Runner decodes the row of a runner with an ID that was read at the moment now.
	Runner(id string, data []byte, now chiveclock.Moment) (*chivefleet.Runner, error)
	// Operator decodes the key of a row of the operators' table: config is true for
	// the configuration, and zone is set if the row marks a zone as evacuated.
	Operator(key string) (config bool, zone string)
}

// Tracker builds the view of the fleet from replicas of the store's tables. Its state
// belongs to the goroutine that runs Run; Fleet may be called concurrently.
type Tracker struct {
	codec Codec
	log   *log.Logger
	fleet atomic.Pointer[chivefleet.Fleet]

	// The channels receive new replicas of the tables.
	operatorTables chan chivefollow.Table
	runnerTables   chan chivefollow.Table
	entryTables    chan chivefollow.Table

	// runners holds the decoded runners by ID.
	runners map[string]trackedRunner
	// malformedVersions holds the versions of malformed rows by key, so that each is
	// logged once.
	malformedVersions map[string]int64
	// configRowVersion is the version of the row that holds the configuration, in the
	// era configRowEra of the store; storedConfig is the version of the configuration in
	// that row, 0 if it is malformed.
	configRowVersion, configRowEra int64
	storedConfig                   int64
	// runnersEra is the era of the runners' rows.
	runnersEra int64
	// tombstones holds the last registrations of runners that have gone, by ID.
	tombstones map[string]tombstone
	// lastRestore is when the store was last seen to have returned from an older copy,
	// 0 if it has not.
	lastRestore chiveclock.Moment
	// entriesRestored is called when the store has returned from an older copy, with
	// the rows of entry VMs that it has then.
	entriesRestored func(entries map[string]chivefleet.Entry)
	// onEntries is called with the registered entry VMs when their rows were read; nil
	// means that nobody is told.
	onEntries func(entries map[string]chivefleet.Entry)
	// entriesEra is the era of the rows of entry VMs.
	entriesEra int64
	// peerConfig returns the latest version of the configuration that a peer has told, and
	// whether all zones and all members of this zone have been heard; nil means that there are
	// no peers.
	peerConfig func() (newest int64, complete bool)
	// firstConfigAt is when the first configuration was read, peersHeard whether peers are no
	// longer awaited before one is relied on.
	firstConfigAt chiveclock.Moment
	peersHeard    bool
	// lastRecovery is when the store last answered again after a failure, 0 if it has
	// not failed.
	lastRecovery chiveclock.Moment
}

// trackedRunner is a runner with the version of its row.
type trackedRunner struct {
	runner  *chivefleet.Runner
	version int64
	// expiresAt is when a runner whose row is missing is removed, 0 if the row exists.
	expiresAt chiveclock.Moment
}

// tombstone is the registration of a runner that has gone.
type tombstone struct {
	version int64
	goneAt  chiveclock.Moment
}

// NewTracker returns a new Tracker with an empty view.
func NewTracker(codec Codec, logger *log.Logger) *Tracker {
	t := &Tracker{
		codec: codec, log: logger, runners: map[string]trackedRunner{}, malformedVersions: map[string]int64{}, tombstones: map[string]tombstone{},
		operatorTables: make(chan chivefollow.Table), runnerTables: make(chan chivefollow.Table), entryTables: make(chan chivefollow.Table),
	}
	t.fleet.Store(&chivefleet.Fleet{})
	return t
}

// Fleet returns the newest view of the fleet.
func (t *Tracker) Fleet() *chivefleet.Fleet {
	return t.fleet.Load()
}

// Run applies new replicas of the tables and expires runners until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case table := <-t.operatorTables:
			chiveguard.Do(t.log, "update of operators", func() { t.applyOperators(table) })
		case table := <-t.runnerTables:
			chiveguard.Do(t.log, "update of runners", func() { t.applyRunners(table) })
		case table := <-t.entryTables:
			chiveguard.Do(t.log, "update of entry VMs", func() { t.applyEntries(table) })
		case <-tick.C:
			chiveguard.Do(t.log, "expiry of runners", t.expireRunners)
		}
	}
}

// publish replaces the view by a copy to which change was applied.
func (t *Tracker) publish(change func(*chivefleet.Fleet)) {
	next := *t.fleet.Load()
	change(&next)
	t.fleet.Store(&next)
}

// recordRecovery updates lastRecovery and lastRestore from a replica of a table. Rows
// that an older copy lacks are missing as after an outage.
func (t *Tracker) recordRecovery(table chivefollow.Table) {
	t.lastRestore = max(t.lastRestore, table.Restored)
	t.lastRecovery = max(t.lastRecovery, table.Recovered, table.Restored)
}

// restoredWithin reports whether the store returned from an older copy less than d ago.
func (t *Tracker) restoredWithin(d time.Duration) bool {
	return t.lastRestore != 0 && chiveclock.Since(t.lastRestore) < d
}

// applyOperators publishes the configuration, its confirmation and the evacuated zones
// of the operators' table.
func (t *Tracker) applyOperators(table chivefollow.Table) {
	t.recordRecovery(table)
	if table.Era != t.configRowEra {
		t.configRowEra, t.configRowVersion, t.storedConfig = table.Era, 0, 0
	}
	evacuated := map[string]bool{}
	if t.restoredWithin(missingRowGrace) {
		// The copy may be older than the evacuation.
		maps.Copy(evacuated, t.fleet.Load().EvacuatedZones)
	}
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
			t.log.Info("Zone is no longer evacuated.", "zone", zone)
		}
	}
	t.publish(func(f *chivefleet.Fleet) {
		f.EvacuatedZones = evacuated
		if config != nil {
			f.Config = config
			f.Runners = chivefleet.GroupByService(t.runnersByID(), config)
		}
		if t.confirmsConfig(table, f.Config) {
			f.ConfigConfirmedAt = table.Confirmed
		}
	})
}

// confirmsConfig reports whether a replica shows that the configuration in force is the
// newest. An older copy of the store may lack a newer one that took a key away, until
// operators have written it again.
func (t *Tracker) confirmsConfig(table chivefollow.Table, inForce *chivefleet.Config) bool {
	if inForce == nil {
		return true
	}
	if !t.isStored(table, inForce) {
		return false
	}
	// A store that tells no era does not return from older copies.
	if table.Era != 0 && !t.confirmedByPeers(inForce) {
		return false
	}
	if t.lastRestore == 0 {
		return true
	}
	return table.Confirmed.Sub(t.lastRestore) >= restoreGrace
}

// isStored reports whether a replica has the row of a configuration that could be decoded and is not
// older than the one in force. Another row may have taken keys away.
func (t *Tracker) isStored(table chivefollow.Table, inForce *chivefleet.Config) bool {
	for key, r := range table.Rows {
		if isConfig, _ := t.codec.Operator(key); isConfig {
			return r.Version <= t.configRowVersion && t.storedConfig >= inForce.Version
		}
	}
	return false
}

// confirmedByPeers reports whether no peer has told of a newer configuration. A process that has
// just started can't know whether the store has returned from an older copy, so that it awaits
// its peers, for discoveryTime at most.
func (t *Tracker) confirmedByPeers(inForce *chivefleet.Config) bool {
	if t.peerConfig == nil {
		return true
	}
	if t.firstConfigAt == 0 {
		t.firstConfigAt = chiveclock.Now()
	}
	newest, complete := t.peerConfig()
	t.peersHeard = t.peersHeard || complete || chiveclock.Since(t.firstConfigAt) >= discoveryTime
	return t.peersHeard && newest <= inForce.Version
}

// decodeConfig returns the configuration of a row, or nil if it is malformed or older
// than the one in force. It logs the result.
func (t *Tracker) decodeConfig(r chivefollow.Row) *chivefleet.Config {
	var c *chivefleet.Config
	err := chiveguard.Call("decoding of the configuration", func() (err error) {
		c, err = t.codec.Config(r.Value)
		return err
	})
	chiveguard.Log(t.log, err)
	if err != nil {
		t.logMalformed(r, err)
		return nil
	}
	t.configRowVersion, t.storedConfig = r.Version, c.Version
	if current := t.fleet.Load().Config; current != nil && c.Version < current.Version {
		t.log.Warn("Configuration is older than the one in force.", "version", c.Version, "force", current.Version)
		return nil
	}
	t.log.Info("Configuration is in force.", "version", c.Version, "routes", len(c.Routes), "workspaces", len(c.Workspaces), "keys", c.RequiresKey())
	return c
}

// logMalformed logs a malformed row, once for each version of the row.
func (t *Tracker) logMalformed(r chivefollow.Row, err error) {
	if t.malformedVersions[r.Key] == r.Version {
		return
	}
	t.malformedVersions[r.Key] = r.Version
	t.log.Warn("Row is malformed and ignored.", "row", r.Key, "version", r.Version, "error", err)
}

// applyRunners publishes the runners of the runners' table. A runner whose row is
// missing shortly after an outage of the store is kept until missingRowGrace has
// passed, unless it was leaving.
func (t *Tracker) applyRunners(table chivefollow.Table) {
	t.recordRecovery(table)
	now := chiveclock.Now()
	restored := table.Era != t.runnersEra
	t.runnersEra = table.Era
	if restored {
		clear(t.malformedVersions)
	}
	for key, r := range table.Rows {
		known, ok := t.runners[key]
		if gone, ok := t.tombstones[key]; ok && t.lastRestore != 0 && gone.version == r.Version && now.Sub(gone.goneAt) < tombstoneAge {
			continue
		}
		if ok && known.version == r.Version && !restored {
			known.expiresAt = 0
			t.runners[key] = known
			continue
		}
		if t.malformedVersions[key] == r.Version {
			continue
		}
		runner, err := t.decodeRunner(key, r.Value, now)
		if err != nil {
			t.logMalformed(r, err)
			t.removeRunner(key, "entry is malformed")
			continue
		}
		if ok && known.runner.Leaving && known.runner.Incarnation() == runner.Incarnation() {
			// A runner that leaves does not come back; its row may be of an older copy.
			runner.Leaving = true
		}
		t.logChange(known.runner, runner, r.Version)
		t.runners[key] = trackedRunner{runner: runner, version: r.Version}
	}
	for key, known := range t.runners {
		if _, ok := table.Rows[key]; ok || known.expiresAt != 0 {
			continue
		}
		if until := t.lastRecovery.Add(missingRowGrace); t.lastRecovery != 0 && now < until && !known.runner.Leaving {
			known.expiresAt = until
			t.runners[key] = known
			continue
		}
		t.removeRunner(key, "entry was removed")
	}
	t.publishRunners()
}

// decodeRunner decodes the row of a runner. A row on which the codec panics is malformed, and must
// not keep the others from being applied.
func (t *Tracker) decodeRunner(id string, data []byte, now chiveclock.Moment) (r *chivefleet.Runner, err error) {
	err = chiveguard.Call("decoding of a runner", func() (err error) {
		r, err = t.codec.Runner(id, data, now)
		return err
	})
	chiveguard.Log(t.log, err)
	return r, err
}

// logChange logs a new runner, a new incarnation of a runner or the start of its drain.
// before is nil for a new runner.
func (t *Tracker) logChange(before, after *chivefleet.Runner, version int64) {
	switch {
	case before == nil || before.Incarnation() != after.Incarnation():
		t.log.Info("Runner is registered.", "runner", after.ID, "service", after.Service, "zone", after.Zone, "address", after.Address,
			"cold", chiveclock.Until(after.ColdUntil) > 0, "born", after.StartedAtMillis, "row", version)
	case after.Leaving && !before.Leaving:
		t.log.Info("Runner is leaving.", "runner", after.ID, "row", version)
	}
}

// removeRunner removes a runner, if it is known, and logs the reason.
func (t *Tracker) removeRunner(id, why string) {
	known, ok := t.runners[id]
	if !ok {
		return
	}
	delete(t.runners, id)
	t.tombstones[id] = tombstone{version: known.version, goneAt: chiveclock.Now()}
	t.log.Info("Runner is gone.", "runner", id, "why", why)
}

// expireRunners removes the runners whose rows were not renewed in time after an outage
// of the store.
func (t *Tracker) expireRunners() {
	now := chiveclock.Now()
	for id, gone := range t.tombstones {
		if now.Sub(gone.goneAt) > tombstoneAge {
			delete(t.tombstones, id)
		}
	}
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

// publishRunners publishes the tracked runners.
func (t *Tracker) publishRunners() {
	t.publish(func(f *chivefleet.Fleet) { f.Runners = chivefleet.GroupByService(t.runnersByID(), f.Config) })
}

// runnersByID returns the tracked runners by ID.
func (t *Tracker) runnersByID() map[string]*chivefleet.Runner {
	runners := make(map[string]*chivefleet.Runner, len(t.runners))
	for id, known := range t.runners {
		runners[id] = known.runner
	}
	return runners
}

// entryPrefix precedes the names of entry VMs in the keys of the system's table.
const entryPrefix = "entry/"

// applyEntries publishes the entry VMs of the system's table. Those whose rows an older
// copy of the store lacks are kept until they had time to write them again, since all
// entry VMs share the limits on what is sent to runners.
func (t *Tracker) applyEntries(table chivefollow.Table) {
	t.recordRecovery(table)
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
	if table.Restored != 0 && table.Era != t.entriesEra && t.entriesRestored != nil {
		t.entriesRestored(maps.Clone(entries))
	}
	t.entriesEra = table.Era
	if t.restoredWithin(missingRowGrace) {
		for name, e := range t.fleet.Load().Entries {
			if _, ok := entries[name]; !ok {
				entries[name] = e
			}
		}
	}
	t.publish(func(f *chivefleet.Fleet) { f.Entries = entries })
	if t.onEntries != nil {
		t.onEntries(entries)
	}
}
