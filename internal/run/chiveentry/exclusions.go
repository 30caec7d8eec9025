package chiveentry

import "github.com/chiveyoke/chiveyoke/internal/policy/chivesuspect"

// logExclusions logs the parts of prompts and the requests that are kept from runners since the
// last call, and those that no longer are.
func (d *Daemon) logExclusions() {
	began, ended := d.relay.Crashes.ExclusionChanges()
	for s, crashes := range began {
		if s.Kind == chivesuspect.Request {
			d.relay.Log.Warn("Request is kept from runners that crash under it.", "fingerprint", s.ID, "crashes", crashes)
			continue
		}
		d.relay.Log.Warn("Part of prompts is kept from runners that crash under it.", "part", s.ID, "crashes", crashes)
	}
	for _, s := range ended {
		if s.Kind == chivesuspect.Request {
			d.relay.Log.Info("Request is no longer kept from runners.", "fingerprint", s.ID)
			continue
		}
		d.relay.Log.Info("Part of prompts is no longer kept from runners.", "part", s.ID)
	}
}
