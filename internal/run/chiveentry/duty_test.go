package chiveentry

import (
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveturn"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// fakePeers implements dutyPeers. silent is the name of the holder that is silent.
type fakePeers struct {
	list   []chivemesh.Peer
	silent string
}

// Peers implements dutyPeers.Peers.
func (f *fakePeers) Peers() []chivemesh.Peer { return f.list }

// HolderSilent implements dutyPeers.HolderSilent.
func (f *fakePeers) HolderSilent() bool { return f.silent != "" }

// IsSilent implements dutyPeers.IsSilent.
func (f *fakePeers) IsSilent(name string, boot uint64) bool { return f.silent == name && boot == 1 }

// TestSuccession checks who takes the duty over: the next in turn once the holder has ended,
// and a successor at once if it has found the holder silent.
func TestSuccession(t *testing.T) {
	self := chivefleet.Entry{Name: "c", Boot: 5}
	tests := []struct {
		give   string
		silent string
		boot   uint64
		change func(holder *chivemesh.Peer)
		// wantNext and wantEnded are the results for self and for the process a/1.
		wantNext, wantEnded bool
	}{
		{"holder is alive", "", 1, func(*chivemesh.Peer) {}, false, false},
		{"holder is silent", "a", 1, func(*chivemesh.Peer) {}, true, true},
		{"another process is silent", "b", 1, func(*chivemesh.Peer) {}, true, false},
		{"holder has restarted", "", 2, func(p *chivemesh.Peer) { p.HoldsMapDuty = false }, false, true},
		{"holder is leaving", "", 1, func(p *chivemesh.Peer) { p.Leaving, p.HoldsMapDuty = true, false }, true, true},
		{"holder is leaving and holds the duty", "", 1, func(p *chivemesh.Peer) { p.Leaving = true }, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.give, func(t *testing.T) {
			holder := chivemesh.Peer{Entry: chivefleet.Entry{Name: "a"}, HoldsMapDuty: true}
			holder.Boot, holder.StoreAnsweredAt = tt.boot, chiveclock.Now()
			tt.change(&holder)
			peers := &fakePeers{[]chivemesh.Peer{holder}, tt.silent}
			if got := new(vacancy).isNext(self, peers); got != tt.wantNext {
				t.Errorf("comes next: %t, want %t", got, tt.wantNext)
			}
			discovered := func() bool { return false }
			if got := hasEnded("a/1", self, peers, discovered); got != tt.wantEnded {
				t.Errorf("holder has ended: %t, want %t", got, tt.wantEnded)
			}
		})
	}
}

// TestTurns checks that after the loss of the hub that held the duty, when no peer of the zone
// counts as connected to the store yet, a small VM leaves its turn to a larger one, and takes the
// duty if that does not.
func TestTurns(t *testing.T) {
	small := chivefleet.Entry{Name: "a", Zone: "z", LinkRate: 40}
	large := chivefleet.Entry{Name: "b", Zone: "z", LinkRate: 200}
	tests := []struct {
		give        string
		self, other chivefleet.Entry
		vacantFor   time.Duration
		want        bool
	}{
		{"large VM", large, small, 0, true},
		{"small VM at once", small, large, 0, false},
		{"small VM after the turn of the large one", small, large, chiveturn.Delay, true},
		{"small VM, the large one in another zone", small, chivefleet.Entry{Name: "b", Zone: "y", LinkRate: 200}, 0, true},
	}
	for _, tt := range tests {
		v := vacancy{since: chiveclock.Now().Add(-tt.vacantFor)}
		peers := &fakePeers{list: []chivemesh.Peer{{Entry: tt.other}}}
		if got := v.isNext(tt.self, peers); got != tt.want {
			t.Errorf("%s: comes next: %t, want %t", tt.give, got, tt.want)
		}
	}
}
