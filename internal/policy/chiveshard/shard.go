// Package chiveshard assigns each workspace a small, stable subset of the gateways
// by weighted rendezvous hashing.
package chiveshard

import (
	"cmp"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
)

// Gateway is a candidate for the subset of a workspace.
type Gateway struct {
	Name string
	// Zone is the name of the gateway's availability zone.
	Zone string
}

const (
	// minGateways is the least number of gateways of a workspace, unless there are
	// fewer in all.
	minGateways = 2
	// headroomFactor is the number of gateways of a workspace divided by its
	// proportional part of all gateways.
	headroomFactor = 2.0
	// sameZoneWeight is the weight of a gateway in the caller's zone; other
	// gateways have weight 1.
	sameZoneWeight = 4.0
)

// GatewayCount returns the number of gateways of a workspace, out of all gateways.
// fraction is the workspace's share divided by the sum of all shares.
func GatewayCount(fraction float64, gateways int) int {
	n := int(math.Ceil(fraction * headroomFactor * float64(gateways)))
	return min(max(n, minGateways), gateways)
}

// Pick returns the n gateways with the highest scores for the workspace, best
// first, or all gateways if there are fewer. Gateways in the given zone are
// preferred; an empty zone means no preference. The scores of gateways are
// independent of each other, so a gateway that joins or leaves affects only the
// workspaces that use it. If n is at least 2 and the gateways are in several
// zones, the result spans at least two of them, so that the workspace survives the
// loss of a zone.
func Pick(workspace, zone string, gateways []Gateway, n int) []Gateway {
	sorted := sortByScore(workspace, zone, gateways)
	if n >= len(sorted) {
		return sorted
	}
	spanZones(sorted, n)
	return sorted[:n]
}

// scoredGateway is a gateway with its score.
type scoredGateway struct {
	gateway Gateway
	score   float64
}

// sortByScore returns the gateways in descending order of their scores.
func sortByScore(workspace, zone string, gateways []Gateway) []Gateway {
	list := make([]scoredGateway, len(gateways))
	for i, g := range gateways {
		list[i] = scoredGateway{g, score(workspace, zone, g)}
	}
	slices.SortFunc(list, func(a, b scoredGateway) int { return cmp.Compare(b.score, a.score) })
	sorted := make([]Gateway, len(list))
	for i, s := range list {
		sorted[i] = s.gateway
	}
	return sorted
}

// spanZones replaces the last of the first n gateways by the best gateway of
// another zone if all n are in one zone.
func spanZones(sorted []Gateway, n int) {
	if n < 2 {
		return
	}
	for _, g := range sorted[1:n] {
		if g.Zone != sorted[0].Zone {
			return
		}
	}
	for i := n; i < len(sorted); i++ {
		if sorted[i].Zone != sorted[0].Zone {
			sorted[n-1] = sorted[i]
			return
		}
	}
}

// score returns the weighted rendezvous score of a gateway, which is positive.
func score(workspace, zone string, g Gateway) float64 {
	weight := 1.0
	if zone != "" && g.Zone == zone {
		weight = sameZoneWeight
	}
	h := xxh3.HashStringSeed(g.Name, xxh3.HashString(workspace))
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}
