// Package chiveshard implements the choice of the gateways that a workspace
// uses: a stable few by weighted rendezvous hashing.
package chiveshard

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// A Gateway is a candidate.
type Gateway struct {
	Name string
	Zone string
}

const (
	// minGateways is the least number of gateways in an answer.
	minGateways = 2
	// headroom is how much more than its share of the gateways a workspace is
	// given.
	headroom = 2.0
	// nearWeight is the weight of a gateway in the caller's zone against one
	// elsewhere.
	nearWeight = 4.0
)

// GatewayCount returns the number of gateways for a workspace that owns this part of
// all shares, from 0 to 1.
func GatewayCount(part float64, gateways int) int {
	n := int(math.Ceil(part * headroom * float64(gateways)))
	return min(max(n, minGateways), gateways)
}

// Pick returns up to n gateways for the workspace, best first. Each gateway's
// score depends only on its own name, so that one that joins or leaves moves
// only the workspaces that use it. Where zones differ, the answer spans at least
// two of them, so that it outlives the loss of one.
func Pick(workspace, zone string, gateways []Gateway, n int) []Gateway {
	ranked := rank(workspace, zone, gateways)
	if n >= len(ranked) {
		return ranked
	}
	spanZones(ranked, n)
	return ranked[:n]
}

// scored is a gateway with its score.
type scored struct {
	gateway Gateway
	score   float64
}

// rank returns the gateways by falling score.
func rank(workspace, zone string, gateways []Gateway) []Gateway {
	list := make([]scored, len(gateways))
	for i, g := range gateways {
		list[i] = scored{g, score(workspace, zone, g)}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Gateway, len(list))
	for i, s := range list {
		ranked[i] = s.gateway
	}
	return ranked
}

// spanZones moves the best gateway of another zone into the last of the first n
// places where these are all of one zone.
func spanZones(ranked []Gateway, n int) {
	if n < 2 {
		return
	}
	for _, g := range ranked[1:n] {
		if g.Zone != ranked[0].Zone {
			return
		}
	}
	for i := n; i < len(ranked); i++ {
		if ranked[i].Zone != ranked[0].Zone {
			ranked[n-1] = ranked[i]
			return
		}
	}
}

// score returns the weighted rendezvous score of a gateway.
func score(workspace, zone string, g Gateway) float64 {
	weight := 1.0
	if zone != "" && g.Zone == zone {
		weight = nearWeight
	}
	h := xxh3.HashStringSeed(g.Name, xxh3.HashString(workspace))
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
