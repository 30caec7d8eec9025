package chivelease

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

// rate lets a keeper's clock run fast or slow, within what safety covers.
type rate struct {
	now  *time.Duration
	rate float64
}

func (r rate) read() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(*r.now) * r.rate))
}

// TestOneHolderAtATime runs keepers that are paused at any moment, with a table
// that loses answers and delays writes, under clocks of different rates.
func TestOneHolderAtATime(t *testing.T) {
	changes := 0
	chiveseed.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		var now time.Duration
		outcome := func() chiverow.Outcome {
			if rapid.IntRange(0, 3).Draw(t, "fails") > 0 {
				return chiverow.OutcomeOK
			}
			return rapid.SampledFrom([]chiverow.Outcome{chiverow.OutcomeNotApplied, chiverow.OutcomeReplyLost, chiverow.OutcomeDelayed}).Draw(t, "outcome")
		}
		truth := &chiverow.MemoryTable{}
		var keepers []*Keeper
		for i := range 3 {
			clock := rate{&now, rapid.Float64Range(0.9, 1.1).Draw(t, "rate")}
			keepers = append(keepers, &Keeper{
				Table: &chiverow.FaultyTable{Table: truth, NextOutcome: outcome}, Duty: "d", Holder: fmt.Sprint(i), TTL: time.Second, Now: clock.read,
			})
		}
		fences := map[uint64]string{}
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond
			k := rapid.SampledFrom(keepers).Draw(t, "keeper")
			_ = k.Step(ctx)
			changes += checkHolders(t, keepers, fences)
		}
	})
	if changes == 0 {
		t.Fatal("the lease never changed hands, so the schedules show nothing")
	}
}

// checkHolders checks that one keeper holds the lease and that no fencing token
// has two holders. It returns the number of new tokens.
func checkHolders(t *rapid.T, keepers []*Keeper, fences map[uint64]string) int {
	holders, changes := 0, 0
	for _, k := range keepers {
		fence, held := k.Held()
		if !held {
			continue
		}
		holders++
		if other, ok := fences[fence]; ok && other != k.Holder {
			t.Fatalf("fence %d belongs to %s and %s", fence, other, k.Holder)
		} else if !ok {
			changes++
		}
		fences[fence] = k.Holder
	}
	if holders > 1 {
		t.Fatalf("%d keepers hold the lease", holders)
	}
	return changes
}

func TestReleaseHandsOver(t *testing.T) {
	ctx := context.Background()
	var now time.Duration
	clock := rate{&now, 1}
	table := &chiverow.MemoryTable{}
	a := &Keeper{Table: table, Duty: "d", Holder: "a", TTL: time.Second, Now: clock.read}
	b := &Keeper{Table: table, Duty: "d", Holder: "b", TTL: time.Second, Now: clock.read}
	for _, err := range []error{a.Step(ctx), b.Step(ctx), a.Release(ctx), b.Step(ctx)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if fence, held := b.Held(); !held || fence != 2 {
		t.Fatalf("after a release the next holder has fence %d, held %t", fence, held)
	}
}
