package chiverelay

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// statusRunner runs each request and answers with a status and the header fields.
func statusRunner(t *testing.T, id string, status int, header map[string]string) *chivefleet.Runner {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		for name, value := range header {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return &chivefleet.Runner{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 10}
}

// TestStatusOfRunRequest guards against requests that have run and are answered with a status that
// promises that they have not (REFUSED), whichever way the answer takes: held while the request is
// retried, or passed on at once.
func TestStatusOfRunRequest(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	tests := []struct {
		give   string
		header map[string]string
		// proven is set if the runner says that it has not run the request.
		proven bool
	}{
		{give: "unsigned"},
		{give: "signed", header: map[string]string{"Signature": "s"}},
		{give: "unsigned with a pause", header: map[string]string{"Pause": "1s"}},
		{give: "not run", header: map[string]string{"Notrun": "1"}, proven: true},
	}
	for _, tt := range tests {
		for _, status := range promises {
			for _, kind := range []string{"once", "any", "stream"} {
				s := newTestCluster(t, 91, 0)
				s.register(map[string]*chivefleet.Runner{"x": statusRunner(t, "x", status, tt.header)})
				want := http.StatusBadGateway
				if tt.proven {
					want = http.StatusServiceUnavailable
				}
				g := s.send(t.Context(), t, "/"+kind+"/x", tt.give, "")
				if g.status != want || g.header.Get("Signature") != "" {
					t.Errorf("%s, %s, answered %d: status %d with signature %q, want %d without", kind, tt.give, status, g.status, g.header.Get("Signature"), want)
				}
			}
		}
	}
}

// TestRefusalAfterRun guards against a request that one runner has run and failed, and another has
// refused, and that is answered as not run (REFUSED).
func TestRefusalAfterRun(t *testing.T) {
	for _, first := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusInternalServerError} {
		for _, kind := range []string{"any", "stream"} {
			s := newTestCluster(t, 92, 0)
			s.register(map[string]*chivefleet.Runner{
				"x": statusRunner(t, "x", first, nil), "y": statusRunner(t, "y", http.StatusTooManyRequests, map[string]string{"Notrun": "1"}),
			})
			for n := range 8 {
				g := s.send(t.Context(), t, "/"+kind+"/x", fmt.Sprint(kind, first, n), "")
				if g.status != http.StatusBadGateway && g.status != http.StatusInternalServerError {
					t.Errorf("%s, request %d failed with %d at one runner and refused by the other: status %d", kind, n, first, g.status)
				}
			}
		}
	}
}

// TestRetryAfterUnprovenRefusal guards against repeatable requests that fail although another runner
// would serve them: the status of the first says that it is too busy, but not that it has not run them.
func TestRetryAfterUnprovenRefusal(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout} {
		s := newTestCluster(t, 93, 0)
		s.register(map[string]*chivefleet.Runner{
			"x": statusRunner(t, "x", status, nil), "y": {ID: "y", Service: "s", Address: s.runners[0].listener.Addr().String(), Slots: 10},
		})
		for n := range 10 {
			if got, _ := s.sendComplete(t, "any", fmt.Sprint("any-", n)); got != http.StatusOK {
				t.Errorf("request %d beside a runner that answers %d: status %d", n, status, got)
			}
		}
	}
}
