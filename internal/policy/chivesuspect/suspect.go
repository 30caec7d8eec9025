package chivesuspect

import "iter"

// Kind is a kind of suspects.
type Kind uint8

const (
	// Part is a part of prompts, which different requests share.
	Part Kind = iota
	// Request is a whole request, which may come again.
	Request

	// kindCount is the number of kinds.
	kindCount
)

// String returns the name of the kind.
func (k Kind) String() string {
	return [kindCount]string{"part", "request"}[k]
}

// Suspect is what may crash the runners that requests reach.
type Suspect struct {
	// ID is that of the part, or the fingerprint of the request. Its key is that of parts for
	// both, since earlier versions drop reports without it.
	ID   string `cbor:"part"`
	Kind Kind   `cbor:"kind,omitempty"`
}

// Suspects holds the IDs of all suspects of a request by kind.
type Suspects [kindCount][]string

// all returns the suspects, parts first.
func (s Suspects) all() iter.Seq[Suspect] {
	return func(yield func(Suspect) bool) {
		for k, ids := range s {
			for _, id := range ids {
				if !yield(Suspect{ID: id, Kind: Kind(k)}) {
					return
				}
			}
		}
	}
}
