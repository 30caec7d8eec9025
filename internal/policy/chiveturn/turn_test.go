package chiveturn

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestWait checks who takes over a duty when its holder is lost, on VMs of even and of
// uneven size.
func TestWait(t *testing.T) {
	tests := []struct {
		give   string
		self   Candidate
		others []Candidate
		want   time.Duration
	}{
		{"alone", Candidate{Name: "b"}, nil, 0},
		{"sizes are not known", Candidate{Name: "b"}, []Candidate{{Name: "a"}, {Name: "c"}}, Delay},
		{"larger than all", Candidate{"z", 200, 0.8}, []Candidate{{"a", 40, 0.4}, {"b", 40, 0.4}}, 0},
		{"smaller than one", Candidate{"a", 40, 0.4}, []Candidate{{"z", 200, 0.8}, {"b", 40, 0.4}}, Delay},
		{"fewer cores", Candidate{"a", 40, 0.3}, []Candidate{{"b", 40, 0.4}}, Delay},
		{"one of unknown size", Candidate{"a", 40, 0.3}, []Candidate{{Name: "0"}}, 0},
		{"last of many", Candidate{Name: "z"}, slices.Repeat([]Candidate{{Name: "a"}}, 70), maxPlace * Delay},
	}
	for _, tt := range tests {
		if got := Wait(tt.self, tt.others); got != tt.want {
			t.Errorf("%s: waits %v, want %v", tt.give, got, tt.want)
		}
	}
}

// TestLargestTakesOver draws zones of uneven VMs whose holder of the duty is lost, and the
// next VMs with it. Of those that are left the largest must act, alone in its turn; with a
// naive twin, in which all act at once and any of them wins, it mostly is a small one.
func TestLargestTakesOver(t *testing.T) {
	const rounds = 500
	r := rand.New(rand.NewPCG(1, 2))
	naive := 0
	for range rounds {
		list := make([]Candidate, 3+r.IntN(20))
		for i := range list {
			list[i] = Candidate{Name: string(rune('a' + i)), LinkRate: 40, Cores: 0.4}
			if r.IntN(6) == 0 {
				list[i].LinkRate = 200
			}
		}
		list = list[:len(list)-r.IntN(2)]
		first := slices.MinFunc(list, Compare)
		var atOnce []Candidate
		for i, c := range list {
			others := slices.Delete(slices.Clone(list), i, i+1)
			if Wait(c, others) == 0 {
				atOnce = append(atOnce, c)
			}
		}
		if len(atOnce) != 1 || atOnce[0] != first {
			t.Fatalf("of %v, %v act at once, want only %v", list, atOnce, first)
		}
		if list[r.IntN(len(list))].LinkRate < first.LinkRate {
			naive++
		}
	}
	if naive < rounds/4 {
		t.Errorf("the naive twin chose a small VM in %d of %d rounds: the test does not tell the two apart", naive, rounds)
	}
}
