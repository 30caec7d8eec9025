package chivecrowd

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
)

// TestSoakCrowds checks that crowds at all ports beside kills, stops, suspensions and faults of the
// store and of runners end no process, exceed no memory and break no guarantee to ordinary callers.
func TestSoakCrowds(t *testing.T) {
	for seed := range uint64(2) {
		s := &chiveplatform.Soak{
			Program: filepath.Join(programs, "chiveyoke-entry"), Seed: seed + 1, FaultDuration: 15 * time.Second, Troubles: seed%2 == 1, Crowd: Visit,
			EntryVMs: 4, Runners: 3, Dir: t.TempDir(), Net: byte(20 + os.Getpid()%200),
		}
		result, err := s.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %d requests, %d served, %d refused, %d failed, faults %v", s.Seed, result.Requests, result.Served, result.Refused, result.Failed, result.Faults)
		for _, v := range result.Violations {
			t.Errorf("seed %d: %s", s.Seed, v)
		}
	}
}
