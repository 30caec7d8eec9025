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

func fixedTime() time.Time { return time.Unix(1000, 0) }

// drawOutcomes returns a function that draws the outcomes of a FaultyTable.
func drawOutcomes(t *rapid.T) func() chiverow.Outcome {
	return func() chiverow.Outcome {
		if rapid.IntRange(0, 2).Draw(t, "fails") > 0 {
			return chiverow.OutcomeOK
		}
		return rapid.SampledFrom([]chiverow.Outcome{chiverow.OutcomeNotApplied, chiverow.OutcomeReplyLost, chiverow.OutcomeDelayed}).Draw(t, "outcome")
	}
}

// operator makes one attempt at a change at a time, as Store.Change does in a
// loop.
type operator struct {
	store          *Store
	change         Change
	mayHaveWritten bool
	failure        *chiveverdict.Failure
	done           bool
}

func (o *operator) step(ctx context.Context, giveUp bool) {
	_, sent, err := o.store.tryChange(ctx, &o.change, fixedTime())
	o.mayHaveWritten = o.mayHaveWritten || sent && err != nil
	var conflict *ConflictError
	switch {
	case err == nil:
		o.done = true
	case errors.As(err, &conflict):
		o.done, o.failure = true, chiveverdict.NotRunf(chiveverdict.CodeConflict, 0, "%v", err)
	case giveUp:
		o.done, o.failure = true, chiveverdict.FromError(changeFailure(o.mayHaveWritten, err))
	}
}

// TestConcurrentChanges has several operators change the configuration through a
// table that loses replies and delays writes. A change reported as accepted must
// be in the log exactly once, one reported as not run must not be in it, and the
// versions of the log entries must be consecutive.
func TestConcurrentChanges(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		stored := &chiverow.MemoryTable{}
		faulty := &chiverow.FaultyTable{Table: stored, NextOutcome: drawOutcomes(t)}
		reliable := &Store{Table: stored}
		if _, err := reliable.Change(ctx, &Change{ID: "first", Author: "a", Kind: KindSheet, Subject: "sha256:1"}, fixedTime); err != nil {
			t.Fatal(err)
		}
		var operators []*operator
		for i := range rapid.IntRange(1, 8).Draw(t, "operators") {
			base := rapid.Uint64Range(0, 3).Draw(t, "base")
			zone := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "zone")
			kind := rapid.SampledFrom([]ChangeKind{KindZoneOut, KindZoneIn}).Draw(t, "kind")
			change := Change{ID: fmt.Sprint("op-", i), Author: fmt.Sprint(i), Kind: kind, Subject: zone, BaseVersion: base}
			operators = append(operators, &operator{store: &Store{Table: faulty}, change: change})
		}
		last := uint64(0)
		for range 60 {
			o := rapid.SampledFrom(operators).Draw(t, "operator")
			if !o.done {
				o.step(ctx, rapid.IntRange(0, 5).Draw(t, "give up") == 0)
			}
			head, err := reliable.Head(ctx)
			if err != nil || head.Version < last {
				t.Fatalf("after version %d: head %+v, error %v", last, head, err)
			}
			last = head.Version
		}
		_, _ = faulty.Get(ctx, "delivers delayed writes")
		checkOutcomes(ctx, t, reliable, operators)
	})
}

func checkOutcomes(ctx context.Context, t *rapid.T, reliable *Store, operators []*operator) {
	head, err := reliable.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	logged := map[string]int{}
	for i, e := range head.Log {
		logged[e.ID]++
		if e.Version != uint64(i)+1 {
			t.Fatalf("log entry %d has version %d", i, e.Version)
		}
	}
	for _, o := range operators {
		n := logged[o.change.ID]
		accepted := o.done && o.failure == nil
		refused := o.done && o.failure != nil && o.failure.Verdict == chiveverdict.NotRun
		if n > 1 || accepted && n != 1 || refused && n != 0 {
			t.Fatalf("change %s: accepted %t, refused %t, but %d times in the log", o.change.ID, accepted, refused, n)
		}
	}
}

// TestNextDetectsConflicts checks that a change is refused only if a change of the
// same subject was accepted after its base version.
func TestNextDetectsConflicts(t *testing.T) {
	head, err := Next(nil, &Change{ID: "1", Author: "a", Kind: KindSheet, Subject: "sha256:1"}, fixedTime())
	if err != nil {
		t.Fatal(err)
	}
	head, err = Next(head, &Change{ID: "2", Author: "anna", Kind: KindZoneOut, Subject: "north", BaseVersion: 1}, fixedTime())
	if err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		change   Change
		conflict bool
	}{
		{"same zone, old base version", Change{ID: "3", Author: "b", Kind: KindZoneIn, Subject: "north", BaseVersion: 1}, true},
		{"same zone, current base version", Change{ID: "4", Author: "b", Kind: KindZoneIn, Subject: "north", BaseVersion: 2}, false},
		{"another zone, old base version", Change{ID: "5", Author: "b", Kind: KindZoneOut, Subject: "south", BaseVersion: 1}, false},
		{"same change again", Change{ID: "2", Author: "anna", Kind: KindZoneOut, Subject: "north", BaseVersion: 1}, false},
		{"sheet, old base version", Change{ID: "6", Author: "b", Kind: KindSheet, Subject: "sha256:2", BaseVersion: 0}, true},
	}
	for _, c := range cases {
		_, err := Next(head, &c.change, fixedTime())
		var conflict *ConflictError
		if errors.As(err, &conflict) != c.conflict {
			t.Errorf("%s: got error %v", c.name, err)
		}
		if c.conflict && conflict.Winner.ID == "" {
			t.Errorf("%s: error has no winner", c.name)
		}
	}
}

// TestLogIsBounded checks that the log keeps the newest maxLogEntries changes and
// that a change is refused if its base version is older than the log.
func TestLogIsBounded(t *testing.T) {
	head, _ := Next(nil, &Change{ID: "0", Author: "a", Kind: KindSheet, Subject: "s"}, fixedTime())
	for i := range 3 * maxLogEntries {
		kind := []ChangeKind{KindZoneOut, KindZoneIn}[i%2]
		next, err := Next(head, &Change{ID: fmt.Sprint("z", i), Author: "a", Kind: kind, Subject: "north", BaseVersion: head.Version}, fixedTime())
		if err != nil {
			t.Fatal(err)
		}
		head = next
	}
	if len(head.Log) != maxLogEntries || head.Version != 3*maxLogEntries+1 {
		t.Fatalf("log has %d entries at version %d", len(head.Log), head.Version)
	}
	var conflict *ConflictError
	_, err := Next(head, &Change{ID: "late", Author: "b", Kind: KindDrain, Subject: "e", BaseVersion: 1}, fixedTime())
	if !errors.As(err, &conflict) {
		t.Fatalf("change based on a version older than the log: got error %v", err)
	}
}
