// Package chiveseed implements the seeds of generated tests: the same in every
// run, unless the environment names another.
package chiveseed

import (
	"flag"
	"fmt"
	"os"

	"pgregory.net/rapid"
)

// EnvVar is the environment variable that names another seed.
const EnvVar = "CHIVEYOKE_SEED"

// DefaultSeed is the seed of a run that names none.
const DefaultSeed = "20261204"

// Seed returns the seed of this run.
func Seed() string {
	if s := os.Getenv(EnvVar); s != "" {
		return s
	}
	return DefaultSeed
}

// Check is rapid.Check with the seed of this run. It may be called inside a
// synctest bubble.
func Check(t rapid.TB, property func(*rapid.T)) {
	t.Helper()
	if err := flag.Set("rapid.seed", Seed()); err != nil {
		t.Fatal(err)
	}
	rapid.Check(withoutDeadline{t}, property)
}

// withoutDeadline hides the deadline of a test, which may not be asked for inside a
// synctest withoutDeadline.
type withoutDeadline struct{ rapid.TB }

// Name implements rapid.TB.
func (b withoutDeadline) Name() string {
	return fmt.Sprint(b.TB.Name())
}
