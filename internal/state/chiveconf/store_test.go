package chiveconf

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
	"github.com/chiveyoke/chiveyoke/internal/state/chiverow"
)

func clock() time.Time { return time.Unix(1000, 0) }

// draws returns the outcomes of a flaky table.
func draws(t *rapid.T) func() chiverow.Outcome {
	return func() chiverow.Outcome {
		if rapid.IntRange(0, 2).Draw(t, "fails") > 0 {
			return chiverow.OutcomeOK
		}
		return rapid.SampledFrom([]chiverow.Outcome{chiverow.OutcomeNotApplied, chiverow.OutcomeReplyLost, chiverow.OutcomeDelayed}).Draw(t, "outcome")
	}
}

// operator makes one try of a change at a time, as Store.Change does in a loop.
type operator struct {
	store  *Store
	change Change
	wrote  bool
	result *chiveverdict.Failure
	done   bool
}

func (o *operator) step(ctx context.Context, giveUp bool) {
	_, sent, err := o.store.try(ctx, &o.change, clock())
	o.wrote = o.wrote || sent && err != nil
	var conflict *ConflictError
	switch {
	case err == nil:
		o.done = true
	case errors.As(err, &conflict):
		o.done, o.result = true, chiveverdict.NotRunf(chiveverdict.CodeConflict, 0, "%v", err)
	case giveUp:
		o.done, o.result = true, chiveverdict.FromError(unsettled(o.wrote, err))
	}
}

// TestRacingOperators has operators with a flaky table race. What is said to be
// accepted is in the log exactly once, what is said to have had no effect never,
// and versions count the log.
func TestRacingOperators(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		truth := &chiverow.MemoryTable{}
		table := &chiverow.FaultyTable{Table: truth, NextOutcome: draws(t)}
		sure := &Store{Table: truth}
		if _, err := sure.Change(ctx, &Change{ID: "first", Author: "a", Kind: KindSheet, Subject: "sha256:1"}, clock); err != nil {
			t.Fatal(err)
		}
		var operators []*operator
		for i := range rapid.IntRange(1, 8).Draw(t, "operators") {
			base := rapid.Uint64Range(0, 3).Draw(t, "base")
			zone := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "zone")
			kind := rapid.SampledFrom([]ChangeKind{KindZoneOut, KindZoneIn}).Draw(t, "kind")
			change := Change{ID: fmt.Sprint("op-", i), Author: fmt.Sprint(i), Kind: kind, Subject: zone, BaseVersion: base}
			operators = append(operators, &operator{store: &Store{Table: table}, change: change})
		}
		last := uint64(0)
		for range 60 {
			o := rapid.SampledFrom(operators).Draw(t, "operator")
			if !o.done {
				o.step(ctx, rapid.IntRange(0, 5).Draw(t, "give up") == 0)
			}
			head, err := sure.Head(ctx)
			if err != nil || head.Version < last {
				t.Fatalf("version went from %d to %+v, %v", last, head, err)
			}
			last = head.Version
		}
		_, _ = table.Get(ctx, "late writes arrive")
		checkOutcomes(ctx, t, sure, operators)
	})
}

func checkOutcomes(ctx context.Context, t *rapid.T, sure *Store, operators []*operator) {
	head, err := sure.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	count := map[string]int{}
	for i, e := range head.Log {
		count[e.ID]++
		if e.Version != uint64(i)+1 {
			t.Fatalf("entry %d has version %d", i, e.Version)
		}
	}
	for _, o := range operators {
		n := count[o.change.ID]
		accepted := o.done && o.result == nil
		refused := o.done && o.result != nil && o.result.Verdict == chiveverdict.NotRun
		if n > 1 || accepted && n != 1 || refused && n != 0 {
			t.Fatalf("change %s: accepted %t, refused %t, %d times in the log", o.change.ID, accepted, refused, n)
		}
	}
}

func TestNextConflicts(t *testing.T) {
	head, err := Next(nil, &Change{ID: "1", Author: "a", Kind: KindSheet, Subject: "sha256:1"}, clock())
	if err != nil {
		t.Fatal(err)
	}
	head, err = Next(head, &Change{ID: "2", Author: "anna", Kind: KindZoneOut, Subject: "north", BaseVersion: 1}, clock())
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		change   Change
		conflict bool
	}{
		{"same zone on an old base", Change{ID: "3", Author: "b", Kind: KindZoneIn, Subject: "north", BaseVersion: 1}, true},
		{"same zone on the new base", Change{ID: "4", Author: "b", Kind: KindZoneIn, Subject: "north", BaseVersion: 2}, false},
		{"another zone on an old base", Change{ID: "5", Author: "b", Kind: KindZoneOut, Subject: "south", BaseVersion: 1}, false},
		{"the same change again", Change{ID: "2", Author: "anna", Kind: KindZoneOut, Subject: "north", BaseVersion: 1}, false},
		{"a sheet on an old base", Change{ID: "6", Author: "b", Kind: KindSheet, Subject: "sha256:2", BaseVersion: 0}, true},
	}
	for _, c := range cases {
		_, err := Next(head, &c.change, clock())
		var conflict *ConflictError
		if errors.As(err, &conflict) != c.conflict {
			t.Errorf("%s: %v", c.name, err)
		}
		if c.conflict && conflict.Winner.ID == "" {
			t.Errorf("%s: the winner is not named", c.name)
		}
	}
}

func TestLogIsBounded(t *testing.T) {
	head, _ := Next(nil, &Change{ID: "0", Author: "a", Kind: KindSheet, Subject: "s"}, clock())
	for i := range 3 * maxLog {
		kind := []ChangeKind{KindZoneOut, KindZoneIn}[i%2]
		next, err := Next(head, &Change{ID: fmt.Sprint("z", i), Author: "a", Kind: kind, Subject: "north", BaseVersion: head.Version}, clock())
		if err != nil {
			t.Fatal(err)
		}
		head = next
	}
	if len(head.Log) != maxLog || head.Version != 3*maxLog+1 {
		t.Fatalf("%d entries at version %d", len(head.Log), head.Version)
	}
	var conflict *ConflictError
	_, err := Next(head, &Change{ID: "late", Author: "b", Kind: KindDrain, Subject: "e", BaseVersion: 1}, clock())
	if !errors.As(err, &conflict) {
		t.Fatalf("a change on a forgotten version: %v", err)
	}
}
