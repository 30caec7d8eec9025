// Package chiveseed sets the seed of property-based tests. It is the same in every run
// unless an environment variable overrides it.
package chiveseed

import (
	"flag"
	"fmt"
	"os"

	"pgregory.net/rapid"
)

// EnvVar is the environment variable that overrides DefaultSeed.
const EnvVar = "CHIVEYOKE_SEED"

// DefaultSeed is the seed of runs that set no other.
const DefaultSeed = "20261204"

// Seed returns the seed of this run.
func Seed() string {
	if s := os.Getenv(EnvVar); s != "" {
		return s
	}
	return DefaultSeed
}

// Check calls rapid.Check with the seed of this run. Unlike rapid.Check, it may be called
// inside a synctest bubble.
func Check(t rapid.TB, property func(*rapid.T)) {
	t.Helper()
	if err := flag.Set("rapid.seed", Seed()); err != nil {
		t.Fatal(err)
	}
	rapid.Check(withoutDeadline{t}, property)
}

// withoutDeadline is a rapid.TB without the Deadline method of testing.T, which must not
// be called inside a synctest bubble.
type withoutDeadline struct{ rapid.TB }

// Name implements rapid.TB.
func (b withoutDeadline) Name() string {
	return fmt.Sprint(b.TB.Name())
}
