package chiveshard

import (
	"fmt"
	"testing"
)

// TestPlace checks that every name has a place of its own for each subject.
func TestPlace(t *testing.T) {
	var names []string
	for i := range 46 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	firsts := map[string]bool{}
	for s := range 300 {
		subject := fmt.Sprintf("runner-%d", s)
		seen := map[int]bool{}
		for _, n := range names {
			place := Position(subject, n, names)
			if place < 0 || place >= len(names) || seen[place] {
				t.Fatalf("%s has place %d for %s", n, place, subject)
			}
			seen[place] = true
			if place == 0 {
				firsts[n] = true
			}
		}
	}
	if len(firsts) < len(names)*9/10 {
		t.Errorf("only %d names are ever first", len(firsts))
	}
	if got := Position("runner", "stranger", names); got != len(names) {
		t.Errorf("a stranger has place %d", got)
	}
}
