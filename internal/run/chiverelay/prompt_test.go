package chiverelay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
)

// TestManyParts guards against requests whose prompts have more parts than there is memory for, and
// checks that logs name the first parts and count the others.
func TestManyParts(t *testing.T) {
	many := make([]string, ordinaryParts+1+requestSize/int(partSize))
	for i := range many {
		many[i] = fmt.Sprintf("%x", i)
	}
	for _, tt := range []struct {
		give   string
		parts  []string
		memory int64
		status int
	}{
		{"few parts", many[:ordinaryParts], 2 * requestSize, http.StatusOK},
		{"many parts and room", many, 8 * requestSize, http.StatusOK},
		{"many parts and no room", many, 2 * requestSize, http.StatusServiceUnavailable},
	} {
		s := newTestCluster(t, 94, 0)
		s.relay.Memory.Budget = chivebudget.Budget{Total: tt.memory}
		if g := s.sendPrompt(t.Context(), t, "/any/x", tt.give, "", strings.Join(tt.parts, " ")); g.status != tt.status {
			t.Errorf("%s: status %d, want %d", tt.give, g.status, tt.status)
		}
		// The caller may have its answer before the exchange ends.
		deadline := time.Now().Add(5 * time.Second)
		for s.relay.Memory.Counts().Held != 0 && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if held := s.relay.Memory.Counts().Held; held != 0 {
			t.Errorf("%s: %d bytes are held afterwards", tt.give, held)
		}
	}
	x := &exchange{request: Request{Parts: many}}
	if got := x.loggedParts(); len(got) != maxLoggedParts+1 || got[0] != "0" || got[maxLoggedParts] != fmt.Sprintf("and %d more", len(many)-maxLoggedParts) {
		t.Errorf("logged parts %q", got)
	}
	if len(x.request.Parts) != len(many) || x.request.Parts[maxLoggedParts] != many[maxLoggedParts] {
		t.Error("the parts of the request have changed")
	}
}
