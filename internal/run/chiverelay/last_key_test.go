package chiverelay

import (
	"net/http"
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// TestLastKeyTakenAway guards against requests that run with a key that was taken away, with another one or
// without, once a configuration has no workspace left (CONFIG, ROUTE).
func TestLastKeyTakenAway(t *testing.T) {
	s := newTestCluster(t, 73, 0)
	if status, _ := s.sendComplete(t, "once", "before"); status != http.StatusOK {
		t.Fatalf("status %d with the key", status)
	}
	s.changeWorkspaces(t, []chivefleet.Workspace{})
	for _, kind := range []string{"once", "any", "stream"} {
		if status, _ := s.sendComplete(t, kind, "after "+kind); status != http.StatusUnauthorized || s.runs("after "+kind) > 0 {
			t.Errorf("%s: status %d, %d runs after the last key was taken away", kind, status, s.runs("after "+kind))
		}
	}
}
