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

// skewedClock runs faster or slower than the simulated time by a factor that
// holdFraction allows for.
type skewedClock struct {
	now  *time.Duration
	rate float64
}

func (c skewedClock) read() time.Time {
	return time.Unix(0, 0).Add(time.Duration(float64(*c.now) * c.rate))
}

// TestAtMostOneHolder checks that two keepers never hold the lease at once and that
// a fencing token never has two holders. The keepers pause at any time, their clocks
// run at different rates, and the table loses replies and delays writes.
func TestAtMostOneHolder(t *testing.T) {
	tokens := 0
	chiveseed.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		var now time.Duration
		outcome := func() chiverow.Outcome {
			if rapid.IntRange(0, 3).Draw(t, "fails") > 0 {
				return chiverow.OutcomeOK
			}
			return rapid.SampledFrom([]chiverow.Outcome{chiverow.OutcomeNotApplied, chiverow.OutcomeReplyLost, chiverow.OutcomeDelayed}).Draw(t, "outcome")
		}
		stored := &chiverow.MemoryTable{}
		var keepers []*Keeper
		for i := range 3 {
			clock := skewedClock{&now, rapid.Float64Range(0.9, 1.1).Draw(t, "rate")}
			keepers = append(keepers, &Keeper{
				Table: &chiverow.FaultyTable{Table: stored, NextOutcome: outcome}, Duty: "d", Holder: fmt.Sprint(i), TTL: time.Second, Now: clock.read,
			})
		}
		fences := map[uint64]string{}
		for range 200 {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond
			k := rapid.SampledFrom(keepers).Draw(t, "keeper")
			_ = k.Step(ctx)
			tokens += checkHolders(t, keepers, fences)
		}
	})
	if tokens == 0 {
		t.Fatal("no keeper ever acquired the lease")
	}
}

// checkHolders fails the test if several keepers hold the lease or a fencing token
// has two holders. It adds the holders to fences, by fencing token, and returns the
// number of new tokens.
func checkHolders(t *rapid.T, keepers []*Keeper, fences map[uint64]string) int {
	holders, tokens := 0, 0
	for _, k := range keepers {
		fence, held := k.Held()
		if !held {
			continue
		}
		holders++
		if other, ok := fences[fence]; ok && other != k.Holder {
			t.Fatalf("fencing token %d belongs to both %s and %s", fence, other, k.Holder)
		} else if !ok {
			tokens++
		}
		fences[fence] = k.Holder
	}
	if holders > 1 {
		t.Fatalf("%d keepers hold the lease", holders)
	}
	return tokens
}

// TestReleaseAllowsTakeover checks that another keeper can acquire a released lease
// before the TTL has passed.
func TestReleaseAllowsTakeover(t *testing.T) {
	ctx := context.Background()
	var now time.Duration
	clock := skewedClock{&now, 1}
	table := &chiverow.MemoryTable{}
	a := &Keeper{Table: table, Duty: "d", Holder: "a", TTL: time.Second, Now: clock.read}
	b := &Keeper{Table: table, Duty: "d", Holder: "b", TTL: time.Second, Now: clock.read}
	for _, err := range []error{a.Step(ctx), b.Step(ctx), a.Release(ctx), b.Step(ctx)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if fence, held := b.Held(); !held || fence != 2 {
		t.Fatalf("next keeper after a release: fencing token %d, held %t, want 2, true", fence, held)
	}
}

// TestStateIsInherited checks that the next holder gets the state that the previous
// one stored last, whether it released the lease or let it expire.
func TestStateIsInherited(t *testing.T) {
	for _, release := range []bool{true, false} {
		ctx := context.Background()
		var now time.Duration
		clock := skewedClock{&now, 1}
		table := &chiverow.MemoryTable{}
		state := "first"
		a := &Keeper{Table: table, Duty: "d", Holder: "a", TTL: time.Second, Now: clock.read, State: func() []byte { return []byte(state) }}
		b := &Keeper{Table: table, Duty: "d", Holder: "b", TTL: time.Second, Now: clock.read, HasEnded: func(string) bool { return true }}
		if err := a.Step(ctx); err != nil {
			t.Fatal(err)
		}
		state = "second"
		if err := a.Step(ctx); err != nil {
			t.Fatal(err)
		}
		if release {
			state = "last"
			if err := a.Release(ctx); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.Step(ctx); err != nil {
			t.Fatal(err)
		}
		if got := string(b.Inherited()); got != state {
			t.Errorf("released %t: the next holder inherits %q, want %q", release, got, state)
		}
	}
}
