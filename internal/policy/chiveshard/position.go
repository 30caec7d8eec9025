package chiveshard

import "github.com/zeebo/xxh3"

// Position returns the 0-based position of a name in the rendezvous order of names
// for a subject: the ascending order of their hashes, seeded with the subject. A
// name that isn't in names has position len(names).
func Position(subject, name string, names []string) int {
	seed := xxh3.HashString(subject)
	hash := xxh3.HashStringSeed(name, seed)
	position, found := 0, false
	for _, n := range names {
		if n == name {
			found = true
			continue
		}
		if xxh3.HashStringSeed(n, seed) < hash {
			position++
		}
	}
	if !found {
		return len(names)
	}
	return position
}
