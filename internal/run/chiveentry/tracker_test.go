package chiveentry

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"

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
