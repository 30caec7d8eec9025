package chiveentry

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// plainCodec decodes rows whose value is the address of a runner, or the version of a
// configuration in one byte.
type plainCodec struct{}

func (plainCodec) Config(data []byte) (*chivefleet.Config, error) {
	if len(data) != 1 {
		return nil, errors.New("malformed")
	}
	return &chivefleet.Config{Version: int64(data[0])}, nil
}

func (plainCodec) Runner(id string, data []byte, _ chiveclock.Moment) (*chivefleet.Runner, error) {
	if len(data) == 0 {
		return nil, errors.New("malformed")
	}
	return &chivefleet.Runner{ID: id, Service: "s", Address: string(data)}, nil
}

func (plainCodec) Operator(key string) (bool, string) {
	if key == "config" {
		return true, ""
	}
	return false, key
}

func newTracker() *Tracker {
	return NewTracker(plainCodec{}, log.New(io.Discard))
}

// rows returns rows by key.
func rows(list ...chivefollow.Row) map[string]chivefollow.Row {
	m := map[string]chivefollow.Row{}
	for _, r := range list {
		m[r.Key] = r
	}
	return m
}

// TestMissingRunnerGrace checks that a runner whose row expired during an outage of the
// store is kept for missingRowGrace, so that it can renew the row, and then removed.
func TestMissingRunnerGrace(t *testing.T) {
	now := chiveclock.Now()
	both := rows(chivefollow.Row{Key: "a", Value: []byte("1:1"), Version: 1}, chivefollow.Row{Key: "b", Value: []byte("2:1"), Version: 2})
	one := rows(chivefollow.Row{Key: "a", Value: []byte("1:1"), Version: 1})
	tests := []struct {
		give   string
		outage chiveclock.Moment
		want   int
	}{
		{"removed without an outage", 0, 1},
		{"removed long after an outage", now.Add(-time.Minute), 1},
		{"kept shortly after an outage", now.Add(-time.Second), 2},
	}
	for _, tt := range tests {
		tr := newTracker()
		tr.applyRunners(chivefollow.Table{Rows: both})
		tr.applyRunners(chivefollow.Table{Rows: one, Recovered: tt.outage})
		if got := len(tr.Fleet().Runners["s"]); got != tt.want {
			t.Errorf("%s: %d runners, want %d", tt.give, got, tt.want)
		}
	}
	tr := newTracker()
	tr.applyRunners(chivefollow.Table{Rows: both})
	tr.applyRunners(chivefollow.Table{Rows: one, Recovered: chiveclock.Now().Add(-missingRowGrace + 50*time.Millisecond)})
	time.Sleep(60 * time.Millisecond)
	tr.expireRunners()
	if got := len(tr.Fleet().Runners["s"]); got != 1 {
		t.Errorf("%d runners after the grace time, want 1", got)
	}
}

// TestSendTableAfterStop checks that sendTable returns if the tracker has already
// stopped. Otherwise a process that is shutting down would block forever.
func TestSendTableAfterStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sendTable(ctx, newTracker().operatorTables, chivefollow.Table{})
	}()
	cancel()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("sendTable still blocks after the context has ended")
	}
}

// TestMalformedRows checks that malformed rows are ignored while others are applied,
// and that a runner is removed if its row becomes malformed.
func TestMalformedRows(t *testing.T) {
	tr := newTracker()
	tr.applyRunners(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "a", Value: []byte("1:1"), Version: 1}, chivefollow.Row{Key: "b", Version: 2})})
	if got := len(tr.Fleet().Runners["s"]); got != 1 {
		t.Errorf("%d runners, want 1", got)
	}
	tr.applyRunners(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "a", Version: 3})})
	if got := len(tr.Fleet().Runners["s"]); got != 0 {
		t.Errorf("%d runners after the row became malformed, want 0", got)
	}
}

// TestConfigVersionNeverDecreases checks that a row with an older or malformed
// configuration does not replace the configuration in force.
func TestConfigVersionNeverDecreases(t *testing.T) {
	tr := newTracker()
	steps := []struct {
		value   []byte
		version int64
		want    int64
	}{
		{[]byte{4}, 1, 4},
		{[]byte{9}, 2, 9},
		{[]byte{6}, 3, 9},
		{nil, 4, 9},
		{[]byte{12}, 5, 12},
	}
	for _, s := range steps {
		tr.applyOperators(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "config", Value: s.value, Version: s.version})})
		if got := tr.Fleet().Config.Version; got != s.want {
			t.Errorf("after row %d: version %d, want %d", s.version, got, s.want)
		}
	}
}

// TestUnreadableConfigConfirmsNothing guards against keys that stay alive for good since the version that
// took them away can't be decoded, counts as older or was removed: the one in force before was confirmed
// as the newest all the while (CONFIG).
func TestUnreadableConfigConfirmsNothing(t *testing.T) {
	config := func(value []byte, row int64) chivefollow.Row {
		return chivefollow.Row{Key: "config", Value: value, Version: row}
	}
	tests := []struct {
		give  string
		rows  []chivefollow.Row
		want  bool
		force int64
	}{
		{"the same", []chivefollow.Row{config([]byte{9}, 30)}, true, 9},
		{"a later row of the same version", []chivefollow.Row{config([]byte{9}, 31)}, true, 9},
		{"a newer version", []chivefollow.Row{config([]byte{12}, 31)}, true, 12},
		{"one that is malformed", []chivefollow.Row{config([]byte("no configuration"), 31)}, false, 9},
		{"an empty one", []chivefollow.Row{config(nil, 31)}, false, 9},
		{"an older version", []chivefollow.Row{config([]byte{7}, 31)}, false, 9},
		{"none", []chivefollow.Row{{Key: "z", Version: 31}}, false, 9},
	}
	for _, tt := range tests {
		for _, era := range []int64{0, 1} {
			tr := newTracker()
			first := chiveclock.Now().Add(-time.Hour)
			tr.applyOperators(chivefollow.Table{Era: era, Confirmed: first, Rows: rows(config([]byte{9}, 30))})
			table := chivefollow.Table{Era: era, Confirmed: chiveclock.Now(), Rows: rows(tt.rows...)}
			tr.applyOperators(table)
			tr.applyOperators(table)
			f := tr.Fleet()
			if confirmed := f.ConfigConfirmedAt != first; confirmed != tt.want || f.Config.Version != tt.force {
				t.Errorf("%s, era %d: version %d is in force, confirmed %t, want %d, %t", tt.give, era, f.Config.Version, confirmed, tt.force, tt.want)
			}
			tr.applyOperators(chivefollow.Table{Era: era, Confirmed: chiveclock.Now(), Rows: rows(config([]byte{15}, 40))})
			if f := tr.Fleet(); f.Config.Version != 15 || f.ConfigConfirmedAt == first {
				t.Errorf("%s, era %d: the next version is not in force", tt.give, era)
			}
		}
	}
}

// TestZoneEvacuation checks that a zone is evacuated while the operators' table has a
// row for it.
func TestZoneEvacuation(t *testing.T) {
	tr := newTracker()
	tr.applyOperators(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "z", Version: 1})})
	if !tr.Fleet().EvacuatedZones["z"] {
		t.Error("zone is not evacuated")
	}
	tr.applyOperators(chivefollow.Table{Rows: rows()})
	if tr.Fleet().EvacuatedZones["z"] {
		t.Error("zone is still evacuated without a row")
	}
}

// TestAddresses checks which entry VMs the directory lists: those that are not leaving,
// preferably with a fresh configuration and in the zone of the caller.
func TestAddresses(t *testing.T) {
	now := chiveclock.Now()
	const maxAge = 4 * time.Second
	peer := func(name, zone string, leaving bool, confirmed chiveclock.Moment) chivemesh.Peer {
		return chivemesh.Peer{Entry: chivefleet.Entry{Name: name, Zone: zone, CallerAddr: name}, Leaving: leaving, ConfigConfirmedAt: confirmed}
	}
	self := chivefleet.Entry{Name: "self", Zone: "a", CallerAddr: "self"}
	fresh := &chivefleet.Fleet{Config: &chivefleet.Config{}, ConfigConfirmedAt: now}
	tests := []struct {
		give    string
		fleet   *chivefleet.Fleet
		leaving bool
		peers   []chivemesh.Peer
		zone    string
		want    []string
	}{
		{"alone", fresh, false, nil, "a", []string{"self"}},
		{"leaving and alone", fresh, true, nil, "a", []string{}},
		{"enough in the zone", fresh, false, []chivemesh.Peer{peer("n", "a", false, now), peer("f", "b", false, now)}, "a", []string{"self", "n"}},
		{"too few in the zone", fresh, false, []chivemesh.Peer{peer("f", "b", false, now)}, "b", []string{"self", "f"}},
		{"leaving peer", fresh, false, []chivemesh.Peer{peer("n", "a", true, now)}, "a", []string{"self"}},
		{"peer with stale configuration", fresh, false, []chivemesh.Peer{peer("n", "a", false, now.Add(-time.Minute))}, "a", []string{"self"}},
		{"self with stale configuration", &chivefleet.Fleet{}, false, []chivemesh.Peer{peer("n", "b", false, now)}, "a", []string{"n"}},
		{"all with stale configuration", &chivefleet.Fleet{}, false, []chivemesh.Peer{peer("n", "a", false, 0)}, "a", []string{"self", "n"}},
	}
	for _, tt := range tests {
		got := addresses(self, tt.leaving, tt.fleet, tt.peers, tt.zone, maxAge)
		if len(got) != len(tt.want) {
			t.Errorf("%s: %v, want %v", tt.give, got, tt.want)
			continue
		}
		for i := range got {
			if got[i] != tt.want[i] {
				t.Errorf("%s: %v, want %v", tt.give, got, tt.want)
			}
		}
	}
}

// restoredTable is a replica of a table after the store has returned from an older copy.
func restoredTable(since time.Duration, list ...chivefollow.Row) chivefollow.Table {
	now := chiveclock.Now()
	return chivefollow.Table{Era: 2, Restored: now.Add(-since), Confirmed: now, Rows: rows(list...)}
}

// TestOlderCopyOfOperatorsTable checks that an older copy of the store neither reverts
// the configuration nor confirms it as the newest before operators had time to write
// again what was lost, and that it does not end an evacuation at once. Otherwise a key
// that was taken away would be admitted again.
func TestOlderCopyOfOperatorsTable(t *testing.T) {
	config := func(version byte, row int64) chivefollow.Row {
		return chivefollow.Row{Key: "config", Value: []byte{version}, Version: row}
	}
	tests := []struct {
		give      string
		table     chivefollow.Table
		version   int64
		confirmed bool
		evacuated bool
	}{
		{"at once, older configuration", restoredTable(0, config(7, 20)), 9, false, true},
		{"at once, same configuration", restoredTable(0, config(9, 30)), 9, false, true},
		{"later, older configuration", restoredTable(time.Minute, config(7, 20)), 9, false, false},
		{"later, configuration is missing", restoredTable(time.Minute), 9, false, false},
		{"later, same configuration under its old row version", restoredTable(time.Minute, config(9, 30)), 9, true, false},
		{"later, newer configuration under a lower row version", restoredTable(time.Minute, config(12, 21)), 12, true, false},
		{"at once, evacuation in the copy", restoredTable(0, config(9, 30), chivefollow.Row{Key: "z", Version: 29}), 9, false, true},
	}
	for _, tt := range tests {
		tr := newTracker()
		first := chiveclock.Now().Add(-time.Hour)
		tr.applyOperators(chivefollow.Table{Era: 1, Confirmed: first, Rows: rows(config(9, 30), chivefollow.Row{Key: "z", Version: 31})})
		tr.applyOperators(tt.table)
		f := tr.Fleet()
		if f.Config.Version != tt.version || f.EvacuatedZones["z"] != tt.evacuated {
			t.Errorf("%s: version %d, evacuated %t, want %d, %t", tt.give, f.Config.Version, f.EvacuatedZones["z"], tt.version, tt.evacuated)
		}
		if confirmed := f.ConfigConfirmedAt != first; confirmed != tt.confirmed {
			t.Errorf("%s: configuration confirmed %t, want %t", tt.give, confirmed, tt.confirmed)
		}
	}
}

// leavingCodec decodes rows of runners whose value ends with "!" if they leave.
type leavingCodec struct{ plainCodec }

func (leavingCodec) Runner(id string, data []byte, _ chiveclock.Moment) (*chivefleet.Runner, error) {
	address, leaving := strings.CutSuffix(string(data), "!")
	return &chivefleet.Runner{ID: id, Service: "s", Address: address, Leaving: leaving}, nil
}

// TestOlderCopyOfRunners checks that an older copy of the store brings back no runner
// that has gone or leaves, keeps those that it lacks for a while, and that rows are
// decoded anew though their versions were given out again.
func TestOlderCopyOfRunners(t *testing.T) {
	tr := NewTracker(leavingCodec{}, log.New(io.Discard))
	row := func(key, value string, version int64) chivefollow.Row {
		return chivefollow.Row{Key: key, Value: []byte(value), Version: version}
	}
	tr.applyRunners(chivefollow.Table{Era: 1, Rows: rows(row("gone", "1:1", 1), row("leaves", "2:1!", 6), row("stays", "3:1", 3), row("late", "4:1", 7))})
	tr.applyRunners(chivefollow.Table{Era: 1, Rows: rows(row("leaves", "2:1!", 6), row("stays", "3:1", 3), row("late", "4:1", 7))})
	tr.applyRunners(restoredTable(0, row("gone", "1:1", 1), row("leaves", "2:1", 2), row("stays", "3:2", 3)))
	got := map[string]*chivefleet.Runner{}
	for _, r := range tr.Fleet().Runners["s"] {
		got[r.ID] = r
	}
	if got["gone"] != nil {
		t.Error("a runner that has gone is back")
	}
	if r := got["leaves"]; r == nil || !r.Leaving {
		t.Error("a runner that leaves takes requests again")
	}
	if got["late"] == nil {
		t.Error("a runner whose row was lost is not kept")
	}
	if r := got["stays"]; r == nil || r.Address != "3:2" {
		t.Errorf("a row with a version that was given out again is not applied: %+v", r)
	}
	tr.applyRunners(restoredTable(0, row("gone", "1:9", 8), row("leaves", "2:1", 2), row("stays", "3:2", 3)))
	if len(tr.Fleet().Runners["s"]) != 4 {
		t.Error("a runner that registers again is not taken")
	}
}

// TestOlderCopyOfEntries checks that entry VMs whose rows an older copy of the store
// lacks still count, and that this entry VM writes its row again only if it is lost.
func TestOlderCopyOfEntries(t *testing.T) {
	row := func(name string) chivefollow.Row {
		value, err := cbor.Marshal(&chivefleet.Entry{Name: name})
		if err != nil {
			t.Fatal(err)
		}
		return chivefollow.Row{Key: entryPrefix + name, Value: value, Version: 1}
	}
	for _, lost := range []bool{false, true} {
		tr := newTracker()
		d := &Daemon{tracker: tr, registrationLost: make(chan struct{}, 1), settings: Settings{Entry: chivefleet.Entry{Name: "a"}}}
		tr.entriesRestored = d.checkRegistration
		tr.applyEntries(chivefollow.Table{Era: 1, Rows: rows(row("a"), row("b"))})
		left := rows(row("a"))
		if lost {
			left = rows(row("b"))
		}
		table := restoredTable(0)
		table.Rows = left
		tr.applyEntries(table)
		tr.applyEntries(table)
		if n := len(tr.Fleet().Entries); n != 2 {
			t.Errorf("lost %t: %d entry VMs, want 2", lost, n)
		}
		if n := len(d.registrationLost); (n == 1) != lost {
			t.Errorf("lost %t: %d calls to write the row again", lost, n)
		}
	}
}

// TestConfigOfPeers guards against a process that starts as the store returns from an older copy and
// relies on the older configuration (CONFIG). It must not before it has heard its peers, and not
// while one of them has a newer one.
func TestConfigOfPeers(t *testing.T) {
	tests := []struct {
		give     string
		newest   int64
		complete bool
		// since is the time since the first configuration was read.
		since time.Duration
		era   int64
		want  bool
	}{
		{"peers are not heard yet", 0, false, 0, 1, false},
		{"the store tells no era", 0, false, 0, 0, true},
		{"peers have the same", 7, true, 0, 1, true},
		{"peers have none", 0, true, 0, 1, true},
		{"a peer has a newer one", 8, true, 0, 1, false},
		{"a peer has an older one", 6, true, 0, 1, true},
		{"one peer does not report", 7, false, discoveryTime, 1, true},
		{"a peer has a newer one, another does not report", 8, false, discoveryTime, 1, false},
		{"nobody reports", 0, false, discoveryTime, 1, true},
	}
	for _, tt := range tests {
		tr := newTracker()
		tr.peerConfig = func() (int64, bool) { return tt.newest, tt.complete }
		tr.firstConfigAt = chiveclock.Now().Add(-tt.since)
		tr.applyOperators(chivefollow.Table{Era: tt.era, Confirmed: chiveclock.Now(), Rows: rows(chivefollow.Row{Key: "config", Value: []byte{7}, Version: 20})})
		if got := tr.Fleet().ConfigConfirmedAt != 0; got != tt.want {
			t.Errorf("%s: the configuration is confirmed: %t, want %t", tt.give, got, tt.want)
		}
	}
}
