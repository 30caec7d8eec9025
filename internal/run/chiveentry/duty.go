package chiveentry

import (
	"fmt"
	"strings"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// settled reports whether this entry VM has known the others for long enough to
// have heard of those that live.
func (e *Daemon) settled() bool {
	met := chiveboot.Moment(e.met.Load())
	return met != 0 && chiveboot.Since(met) > settleTime
}

// process names an incarnation of an entry VM's process.
func process(e chivefleet.Entry, boot uint64) string {
	return fmt.Sprintf("%s/%x", e.Name, boot)
}

// gone reports whether the process of a name has ended, is leaving or is silent,
// as far as the entry VM itself or its peers show.
func (e *Daemon) gone(name string) bool {
	entry, _, _ := strings.Cut(name, "/")
	if entry == e.settings.Entry.Name {
		return name != process(e.settings.Entry, e.settings.Entry.Boot)
	}
	for _, p := range e.mesh.Peers() {
		if p.Entry.Name == entry {
			return p.Leaving || name != process(p.Entry, p.Boot)
		}
	}
	return e.settled()
}

// candidate reports whether this entry VM should try to hold the duty to balance
// expert maps: the store answers it, nobody alive holds the duty, and the store
// answers no peer with a smaller name.
func (e *Daemon) candidate() bool {
	if answered := e.source.Answered(); e.leaving.Load() || !e.settled() || answered < 0 || answered > answerAge {
		return false
	}
	for _, p := range e.mesh.Peers() {
		if p.Duty || !p.Leaving && p.Entry.Name < e.settings.Entry.Name && p.Answered != 0 && chiveboot.Since(p.Answered) < answerAge {
			return false
		}
	}
	return true
}
