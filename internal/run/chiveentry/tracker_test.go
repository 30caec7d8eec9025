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

// plainCodec reads rows whose value is the address of a runner, or a version.
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

func rows(list ...chivefollow.Row) map[string]chivefollow.Row {
	m := map[string]chivefollow.Row{}
	for _, r := range list {
		m[r.Key] = r
	}
	return m
}

// TestMissingRunnerGrace keeps runners whose entries lapsed in an outage for a while.
func TestMissingRunnerGrace(t *testing.T) {
	now := chiveclock.Now()
	both := rows(chivefollow.Row{Key: "a", Value: []byte("1:1"), Version: 1}, chivefollow.Row{Key: "b", Value: []byte("2:1"), Version: 2})
	one := rows(chivefollow.Row{Key: "a", Value: []byte("1:1"), Version: 1})
	tests := []struct {
		give   string
		outage chiveclock.Moment
		want   int
	}{
		{"without an outage it is gone", 0, 1},
		{"long after an outage it is gone", now.Add(-time.Minute), 1},
		{"just after an outage it stays", now.Add(-time.Second), 2},
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
		t.Errorf("a runner that did not come back is still there: %d", got)
	}
}

// TestSendTableAfterStop gives a copy up where the tracker has ended first: a process that
// stops must not wait for it.
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
		t.Fatal("still waits for the tracker")
	}
}

// TestMalformedRows passes over rows that cannot be read and keeps the others.
func TestMalformedRows(t *testing.T) {
	tr := newTracker()
	tr.applyRunners(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "a", Value: []byte("1:1"), Version: 1}, chivefollow.Row{Key: "b", Version: 2})})
	if got := len(tr.Fleet().Runners["s"]); got != 1 {
		t.Errorf("%d runners", got)
	}
	tr.applyRunners(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "a", Version: 3})})
	if got := len(tr.Fleet().Runners["s"]); got != 0 {
		t.Errorf("%d runners after the entry became malformed", got)
	}
}

// TestConfigVersionNeverDecreases takes versions in any order.
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

// TestZoneEvacuation takes zones out and back.
func TestZoneEvacuation(t *testing.T) {
	tr := newTracker()
	tr.applyOperators(chivefollow.Table{Rows: rows(chivefollow.Row{Key: "z", Version: 1})})
	if !tr.Fleet().EvacuatedZones["z"] {
		t.Error("zone is not evacuated")
	}
	tr.applyOperators(chivefollow.Table{Rows: rows()})
	if tr.Fleet().EvacuatedZones["z"] {
		t.Error("zone is not taken back")
	}
}

// TestAddresses answers with entry VMs that live, are up to date and near.
func TestAddresses(t *testing.T) {
	now := chiveclock.Now()
	const age = 4 * time.Second
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
		{"near ones", fresh, false, []chivemesh.Peer{peer("n", "a", false, now), peer("f", "b", false, now)}, "a", []string{"self", "n"}},
		{"too few near ones", fresh, false, []chivemesh.Peer{peer("f", "b", false, now)}, "b", []string{"self", "f"}},
		{"a leaving peer", fresh, false, []chivemesh.Peer{peer("n", "a", true, now)}, "a", []string{"self"}},
		{"a peer out of date", fresh, false, []chivemesh.Peer{peer("n", "a", false, now.Add(-time.Minute))}, "a", []string{"self"}},
		{"self out of date", &chivefleet.Fleet{}, false, []chivemesh.Peer{peer("n", "b", false, now)}, "a", []string{"n"}},
		{"all out of date", &chivefleet.Fleet{}, false, []chivemesh.Peer{peer("n", "a", false, 0)}, "a", []string{"self", "n"}},
	}
	for _, tt := range tests {
		got := addresses(self, tt.leaving, tt.fleet, tt.peers, tt.zone, age)
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
