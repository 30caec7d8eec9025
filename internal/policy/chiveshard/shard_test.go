package chiveshard

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveseed"
)

func newGateways(n, zones int) []Gateway {
	list := make([]Gateway, n)
	for i := range list {
		list[i] = Gateway{Name: fmt.Sprint("entry-", i), Zone: fmt.Sprint("zone-", i%zones)}
	}
	return list
}

func TestPickIsStableAndSpansZones(t *testing.T) {
	chiveseed.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 8).Draw(t, "zones")
		all := newGateways(rapid.IntRange(zones, 60).Draw(t, "gateways"), zones)
		n := rapid.IntRange(1, 8).Draw(t, "n")
		w := rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "workspace")
		picked := Pick(w, "", all, n)
		if len(picked) != min(n, len(all)) {
			t.Fatalf("picked %d of %d gateways, not %d", len(picked), len(all), n)
		}
		if n >= 2 && zones >= 2 && !slices.ContainsFunc(picked, func(g Gateway) bool { return g.Zone != picked[0].Zone }) {
			t.Fatalf("all of %v are in one zone", picked)
		}
		shuffled := slices.Clone(all)
		slices.Reverse(shuffled)
		if !slices.Equal(picked, Pick(w, "", shuffled, n)) {
			t.Fatal("the order of the candidates matters")
		}
		gone := all[rapid.IntRange(0, len(all)-1).Draw(t, "gone")]
		rest := slices.DeleteFunc(slices.Clone(all), func(g Gateway) bool { return g == gone })
		if len(rest) > n && !slices.Contains(picked, gone) && !slices.Equal(picked, Pick(w, "", rest, n)) {
			t.Fatal("a workspace moved when a gateway left that it did not use")
		}
	})
}

func TestSize(t *testing.T) {
	cases := []struct {
		part     float64
		gateways int
		want     int
	}{
		{0, 8, 2}, {0.5, 8, 8}, {0.1, 320, 64}, {1.0 / 460, 320, 2}, {0.3, 1, 1}, {1, 0, 0},
	}
	for _, c := range cases {
		if got := GatewayCount(c.part, c.gateways); got != c.want {
			t.Errorf("Size(%g, %d) = %d, want %d", c.part, c.gateways, got, c.want)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	all := newGateways(320, 8)
	for b.Loop() {
		Pick("workspace", "", all, 4)
	}
}
