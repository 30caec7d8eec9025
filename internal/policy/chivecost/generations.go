package chivecost

import "strings"

// scopeKey names a workspace or a part of a prompt on a route.
type scopeKey struct {
	route, name string
}

// maxGeneration is the number of scopes in a generation.
const maxGeneration = 1024

// generations holds the records of the scopes that were used last, at most two generations
// of them.
type generations struct {
	young, old map[scopeKey]*records
}

// find returns the records of a scope, or nil.
func (g *generations) find(k scopeKey) *records {
	if r := g.young[k]; r != nil {
		return r
	}
	return g.old[k]
}

// use returns the records of a scope, created on first use, and keeps them young.
func (g *generations) use(k scopeKey) *records {
	if r := g.young[k]; r != nil {
		return r
	}
	r := g.old[k]
	if r == nil {
		r = &records{}
	}
	if g.young == nil || len(g.young) >= maxGeneration {
		g.old, g.young = g.young, map[scopeKey]*records{}
	}
	// The name may refer to the memory of a whole head.
	k.name = strings.Clone(k.name)
	g.young[k] = r
	return r
}
