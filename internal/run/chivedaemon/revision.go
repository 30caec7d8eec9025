package chivedaemon

import "runtime/debug"

// Revision returns the revision of the sources that the program was built from, with "+changed" if
// they were changed since, or "unknown" if the build did not record it.
func Revision() string {
	revision, changed := "unknown", ""
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return revision
	}
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			revision = s.Value
		case "vcs.modified":
			if s.Value == "true" {
				changed = "+changed"
			}
		}
	}
	return revision + changed
}
