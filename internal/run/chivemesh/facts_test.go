package chivemesh

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"
)

// spreadBound is the time within which all entry VMs must have learned of a fact: a few
// periods of reports and of digests.
const spreadBound = 2 * time.Second

// TestFactsReachAll guards against crashes that only some entry VMs know of: one in another
// zone, one that starts later, or all others once the only witness has ended.
func TestFactsReachAll(t *testing.T) {
	for seed := range uint64(16) {
		kind := []chivesuspect.Kind{chivesuspect.Part, chivesuspect.Request}[seed/8]
		var bad chivesuspect.Suspects
		bad[kind] = []string{"bad"}
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(t, 3, 4, seed)
			n.lossRate = 0.02 * float64(seed%3)
			start := time.Now()
			moment := func() time.Duration { return time.Hour + time.Since(start) }
			ledgers := map[string]*chivesuspect.Ledger{}
			for name, m := range n.meshes {
				l := &chivesuspect.Ledger{}
				ledgers[name] = l
				m.Facts = func() Facts { return Facts{Suspects: l.Facts(moment())} }
				m.OnFacts = func(f Facts, delay time.Duration) { l.Merge(f.Suspects, delay, moment()) }
			}
			const witness, late = "vm-1-2", "vm-2-3"
			n.stopped[late] = true
			n.run(3 * time.Second)
			for _, runner := range []string{"r1", "r2", "r3"} {
				ledgers[witness].AddBreak(runner, bad, moment())
				ledgers[witness].AddEnd(runner, moment())
				n.run(spreadBound)
			}
			excluded := func(name string) bool {
				first, _ := ledgers[name].Excluded(bad, moment())
				return first.ID == "bad"
			}
			for name := range ledgers {
				if name != late && !excluded(name) {
					t.Errorf("seed %d: %s does not know of the crashes", seed, name)
				}
			}
			n.stopped[witness], n.stopped[late] = true, false
			n.run(spreadBound)
			if !excluded(late) {
				t.Errorf("seed %d: an entry VM that starts after the witness has ended does not know of the crashes", seed)
			}
			facts := ledgers[late].Facts(moment())
			if age := facts[0].Crashes[0].Age; age < spreadBound || age > 4*spreadBound {
				t.Errorf("seed %d: the last crash is %v old there", seed, age)
			}
		})
	}
}
