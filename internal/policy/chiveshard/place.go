package chiveshard

import "github.com/zeebo/xxh3"

// Position returns the place of a name in the order of names for a subject, from 0.
// The order differs from subject to subject. A name that is not in the list comes
// last.
func Position(subject, name string, names []string) int {
	seed := xxh3.HashString(subject)
	own := xxh3.HashStringSeed(name, seed)
	place, found := 0, false
	for _, n := range names {
		if n == name {
			found = true
			continue
		}
		if xxh3.HashStringSeed(n, seed) < own {
			place++
		}
	}
	if !found {
		return len(names)
	}
	return place
}
