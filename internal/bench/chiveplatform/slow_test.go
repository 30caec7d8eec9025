package chiveplatform

import (
	"testing"
	"time"
)

// TestSoakSlowCallers checks that runs with slow callers and a limit on the memory of entry VMs
// violate no guarantee.
func TestSoakSlowCallers(t *testing.T) {
	checkSoak(t, &Soak{Seed: 6, FaultDuration: 8 * time.Second, SlowCallers: true, EntryVMs: 4, Runners: 3, Net: testNet(26)})
}
