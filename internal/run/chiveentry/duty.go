package chiveentry

import (
	"fmt"
	"strings"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveturn"
	"github.com/chiveyoke/chiveyoke/internal/run/chivemesh"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// peersDiscovered reports whether this entry VM has known its peers for longer than
// discoveryTime, so that it has heard from all that are alive.
func (d *Daemon) peersDiscovered() bool {
	knownAt := chiveclock.Moment(d.peersKnownAt.Load())
	return knownAt != 0 && chiveclock.Since(knownAt) > discoveryTime
}

// processName returns the name of an incarnation of an entry VM's process: NAME/BOOT,
// with BOOT in hexadecimal.
func processName(e chivefleet.Entry, boot uint64) string {
	return fmt.Sprintf("%s/%x", e.Name, boot)
}

// dutyPeers tells of the other entry VMs. A Mesh implements it.
type dutyPeers interface {
	Peers() []chivemesh.Peer
	HolderSilent() bool
	IsSilent(name string, boot uint64) bool
}

// processEnded reports whether a process, named as by processName, has ended or is
// leaving, or is silent while it holds a group. A process of an entry VM that is not among
// the live peers counts as ended once peers had time to report.
func (d *Daemon) processEnded(name string) bool {
	return hasEnded(name, d.settings.Entry, d.mesh, d.peersDiscovered)
}

func hasEnded(name string, self chivefleet.Entry, peers dutyPeers, discovered func() bool) bool {
	entry, _, _ := strings.Cut(name, "/")
	if entry == self.Name {
		return name != processName(self, self.Boot)
	}
	for _, p := range peers.Peers() {
		if p.Entry.Name == entry {
			return p.Leaving || name != processName(p.Entry, p.Boot) || peers.IsSilent(entry, p.Boot)
		}
	}
	return discovered()
}

// firstRegistered reports whether this entry VM is registered and its turn at the duty comes
// before that of all others. After a loss of power of all, it takes the duty before it has
// heard from its peers; a holder that is alive keeps the lease all the same.
func (d *Daemon) firstRegistered() bool {
	entries := d.tracker.Fleet().Entries
	self, ok := entries[d.settings.Entry.Name]
	if !ok {
		return false
	}
	for _, e := range entries {
		if chiveturn.Compare(e.TurnCandidate(), self.TurnCandidate()) < 0 {
			return false
		}
	}
	return true
}

// dutyCandidate reports whether this entry VM should try to take the duty of balancing
// expert maps. It should if it is connected to the store, no peer that is alive holds
// the duty, no peer whose turn comes before its own is connected to the store, and the
// duty has been vacant for the time of those turns in its zone: peers that read the store
// through a hub that was lost with the duty do not count as connected yet. A
// successor that has found the holder silent does not wait for peers.
func (d *Daemon) dutyCandidate() bool {
	if answered := d.source.SinceStoreAnswer(); d.leaving.Load() || answered < 0 || answered > storeAnswerMaxAge {
		return false
	}
	if !d.peersDiscovered() && !d.firstRegistered() {
		return false
	}
	return d.vacancy.isNext(d.settings.Entry, d.mesh)
}

// vacancy tells how long no peer has held the map duty. The zero value knows of no such time.
type vacancy struct {
	// since is when the duty was first found vacant, 0 while a peer holds it.
	since chiveclock.Moment
}

// isNext reports whether it is the turn of the entry VM self among its peers.
func (v *vacancy) isNext(self chivefleet.Entry, peers dutyPeers) bool {
	if peers.HolderSilent() {
		return true
	}
	candidate := self.TurnCandidate()
	var inZone []chiveturn.Candidate
	for _, p := range peers.Peers() {
		if p.HoldsMapDuty {
			v.since = 0
			return false
		}
		if p.Leaving || chiveturn.Compare(candidate, p.Entry.TurnCandidate()) < 0 {
			continue
		}
		if p.StoreAnsweredAt != 0 && chiveclock.Since(p.StoreAnsweredAt) < storeAnswerMaxAge {
			return false
		}
		if p.Entry.Zone == self.Zone {
			inZone = append(inZone, p.Entry.TurnCandidate())
		}
	}
	if v.since == 0 {
		v.since = chiveclock.Now()
	}
	return chiveclock.Since(v.since) >= chiveturn.Wait(candidate, inZone)
}
