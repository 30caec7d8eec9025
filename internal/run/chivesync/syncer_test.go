package chivesync

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// newTestSyncer returns the Syncer of a gateway.
func newTestSyncer(name string) *Syncer {
	node := chivelink.Node{Name: name, Role: chivelink.RoleGateway, Zone: "z", Boot: 1}
	return NewSyncer(node, chivetime.NewRing(name, 16))
}

// readExampleSheet returns the example sheet.
func readExampleSheet(t *testing.T) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "..", "examples", "ferraro", "sheet.csv"))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestChangeMessageSize bounds the size of a change on each stream, with a head
// whose log is full. At 1,600 changes a day and 12 streams per gateway, 1 KB per
// change comes to 0.4 KB/s in both directions, a tenth of the bandwidth that control
// traffic may use.
func TestChangeMessageSize(t *testing.T) {
	const maxChangeBytes = 1 << 10
	raw := readExampleSheet(t)
	s := newTestSyncer("a")
	head := &chiveconf.Head{Version: 100, Digest: chiveconf.SheetDigest(raw), OutZones: []string{"palermo"}}
	for i := range 64 {
		head.Log = append(head.Log, chiveconf.LogEntry{ID: fmt.Sprintf("%036d", i), Author: "an operator", Kind: chiveconf.KindZoneOut, Subject: "palermo", Version: uint64(i)})
	}
	if err := s.Apply(head, raw, "test"); err != nil {
		t.Fatal(err)
	}
	m, err := s.buildSync(chivelink.Sync{ConfigVersion: 99, SheetDigest: head.Digest})
	if err != nil {
		t.Fatal(err)
	}
	if n := len(m.Head) + len(m.Sheet); n > maxChangeBytes {
		t.Fatalf("a change is sent as %d bytes, more than %d", n, maxChangeBytes)
	}
}

// TestVersionNeverDecreases checks that a head which arrives late does not replace a
// newer one, and that a head whose sheet is missing is refused.
func TestVersionNeverDecreases(t *testing.T) {
	raw := readExampleSheet(t)
	digest := chiveconf.SheetDigest(raw)
	s := newTestSyncer("a")
	last := uint64(0)
	for _, v := range []uint64{3, 1, 5, 4, 5, 2, 7, 6} {
		if err := s.Apply(&chiveconf.Head{Version: v, Digest: digest}, raw, "test"); err != nil {
			t.Fatal(err)
		}
		if s.Version() < last || s.Version() < v {
			t.Fatalf("after version %d: version %d in force, before it %d", v, s.Version(), last)
		}
		last = s.Version()
	}
	if err := s.Apply(&chiveconf.Head{Version: 9, Digest: "sha256:other"}, nil, "test"); err == nil {
		t.Fatal("a head was applied whose sheet is missing")
	}
	if s.Version() != last {
		t.Fatalf("version %d in force after a refused head", s.Version())
	}
}

// TestDepartureRemovedOnRestart checks that a departure is removed by a sync from
// the gateway's next incarnation.
func TestDepartureRemovedOnRestart(t *testing.T) {
	s := newTestSyncer("a")
	s.AddDeparture(chivelink.Departure{Name: "b", Boot: 1, TTL: 1 << 40})
	if len(s.Departures()) != 1 {
		t.Fatal("departure was not recorded")
	}
	restarted := &chivelink.Sync{Node: chivelink.Node{Name: "b", Role: chivelink.RoleGateway, Boot: 2}}
	if err := s.handleSync(restarted); err != nil {
		t.Fatal(err)
	}
	if len(s.Departures()) != 0 {
		t.Fatal("departure was not removed by the next incarnation")
	}
}
