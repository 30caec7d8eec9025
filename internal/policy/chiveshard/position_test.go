package chiveshard

import (
	"fmt"
	"testing"
)

// TestPosition checks that the names have distinct positions for each subject, and
// that nearly every name comes first for some subject.
func TestPosition(t *testing.T) {
	var names []string
	for i := range 46 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	first := map[string]bool{}
	for i := range 300 {
		subject := fmt.Sprintf("runner-%d", i)
		seen := map[int]bool{}
		for _, n := range names {
			position := Position(subject, n, names)
			if position < 0 || position >= len(names) || seen[position] {
				t.Fatalf("%s has position %d for %s", n, position, subject)
			}
			seen[position] = true
			if position == 0 {
				first[n] = true
			}
		}
	}
	if len(first) < len(names)*9/10 {
		t.Errorf("only %d names are first for at least one subject", len(first))
	}
	if got := Position("runner", "unknown", names); got != len(names) {
		t.Errorf("a name that is not in the list has position %d", got)
	}
}
