package chivecaller

import (
	"net/http"
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// TestStatusPromisesNoMore guards against failures of requests that may have run, with a status that
// promises that they have not (REFUSED).
func TestStatusPromisesNoMore(t *testing.T) {
	for code, want := range statuses {
		if got := Status(chiveverdict.NotRunf(code, 0, "failure")); got != want {
			t.Errorf("%s, not run: status %d, want %d", code, got, want)
		}
		got := Status(chiveverdict.MayHaveRunf(code, "failure"))
		if PromisesNotRun(got) {
			t.Errorf("%s, may have run: status %d promises that the request has not", code, got)
		}
		if !PromisesNotRun(want) && got != want {
			t.Errorf("%s, may have run: status %d, want %d", code, got, want)
		}
	}
	if got := Status(chiveverdict.NotRunf("unheard-of", 0, "failure")); got != http.StatusInternalServerError {
		t.Errorf("unknown code: status %d", got)
	}
}
