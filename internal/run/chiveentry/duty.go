package chiveentry

import (
	"fmt"
	"strings"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// peersDiscovered reports whether this entry VM has known the others for long enough to
// have heard of those that live.
func (e *Daemon) peersDiscovered() bool {
	met := chiveclock.Moment(e.peersKnownAt.Load())
	return met != 0 && chiveclock.Since(met) > discoveryTime
}

// processName names an incarnation of an entry VM's processName.
func processName(e chivefleet.Entry, boot uint64) string {
	return fmt.Sprintf("%s/%x", e.Name, boot)
}

// processEnded reports whether the process of a name has ended, is leaving or is silent,
// as far as the entry VM itself or its peers show.
func (e *Daemon) processEnded(name string) bool {
	entry, _, _ := strings.Cut(name, "/")
	if entry == e.settings.Entry.Name {
		return name != processName(e.settings.Entry, e.settings.Entry.Boot)
	}
	for _, p := range e.mesh.Peers() {
		if p.Entry.Name == entry {
			return p.Leaving || name != processName(p.Entry, p.Boot)
		}
	}
	return e.peersDiscovered()
}

// dutyCandidate reports whether this entry VM should try to hold the duty to balance
// expert maps: the store answers it, nobody alive holds the duty, and the store
// answers no peer with a smaller name.
func (e *Daemon) dutyCandidate() bool {
	if answered := e.source.SinceStoreAnswer(); e.leaving.Load() || !e.peersDiscovered() || answered < 0 || answered > storeAnswerMaxAge {
		return false
	}
	for _, p := range e.mesh.Peers() {
		if p.HoldsMapDuty || !p.Leaving && p.Entry.Name < e.settings.Entry.Name && p.StoreAnsweredAt != 0 && chiveclock.Since(p.StoreAnsweredAt) < storeAnswerMaxAge {
			return false
		}
	}
	return true
}
