package chiverelay

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// changeWorkspaces puts a version of the configuration with other workspaces in force.
func (s *testCluster) changeWorkspaces(t *testing.T, list []chivefleet.Workspace) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.fleet.Config
	next := &chivefleet.Config{Version: c.Version + 1, Services: c.Services, Routes: c.Routes, Workspaces: list}
	if err := next.Index(); err != nil {
		t.Fatal(err)
	}
	fleet := *s.fleet
	fleet.Config, fleet.ConfigConfirmedAt = next, chiveclock.Now()
	s.fleet = &fleet
}

// workspaceLog records for which workspace the runner that it returns has run a request last. The runner
// calls onRun at each run, and answers only if that returns true.
func (s *testCluster) workspaceLog(t *testing.T, onRun func() bool) (ranFor func() []string) {
	t.Helper()
	var mu sync.Mutex
	var names []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		names = append(names, r.Header.Get("Workspace"))
		mu.Unlock()
		if !onRun() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
	}))
	t.Cleanup(server.Close)
	list := map[string]*chivefleet.Runner{}
	for _, id := range []string{"x", "y"} {
		list[id] = &chivefleet.Runner{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 10}
	}
	s.register(list)
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return names
	}
}

// keyChanges are the ways in which a configuration changes what a key admits, with the status that a
// request with it gets and the workspace for which it runs.
var keyChanges = []struct {
	give   string
	list   []chivefleet.Workspace
	status int
	ranFor string
}{
	{"nothing changes", []chivefleet.Workspace{{Name: "w", Keys: []string{"k"}}}, http.StatusOK, "w"},
	{"given to another workspace", []chivefleet.Workspace{{Name: "w", Keys: []string{"k2"}}, {Name: "v", Keys: []string{"k"}}}, http.StatusOK, "v"},
	{"replaced by another key", []chivefleet.Workspace{{Name: "w", Keys: []string{"k2"}}}, http.StatusUnauthorized, ""},
	{"the workspace keeps no key", []chivefleet.Workspace{{Name: "w"}}, http.StatusUnauthorized, ""},
	{"the workspace is gone", []chivefleet.Workspace{{Name: "v", Keys: []string{"k2"}}}, http.StatusUnauthorized, ""},
	{"no workspace is left", []chivefleet.Workspace{}, http.StatusUnauthorized, ""},
	{"there is no list of workspaces", nil, http.StatusUnauthorized, ""},
}

// TestKeyChangesWhileBodyArrives guards against requests that run for a workspace which no longer holds
// their key, since the key was looked up when the head had arrived (UNASKED).
func TestKeyChangesWhileBodyArrives(t *testing.T) {
	for k, tt := range keyChanges {
		s := newTestCluster(t, uint64(95+k), 0)
		ranFor := s.workspaceLog(t, func() bool { return true })
		in, out := io.Pipe()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL+"/once/x", in)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Id", "slow")
		req.Header.Set("Key", "k")
		go func() {
			_, _ = io.WriteString(out, "first half")
			time.Sleep(100 * time.Millisecond)
			s.changeWorkspaces(t, tt.list)
			_, _ = io.WriteString(out, "second half")
			_ = out.Close()
		}()
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if got := strings.Join(ranFor(), " "); resp.StatusCode != tt.status || got != tt.ranFor {
			t.Errorf("%s: status %d, ran for %q, want %d, %q", tt.give, resp.StatusCode, got, tt.status, tt.ranFor)
		}
	}
}

// TestKeyChangesBetweenAttempts guards against requests that are sent again for a workspace which no
// longer holds their key (UNASKED).
func TestKeyChangesBetweenAttempts(t *testing.T) {
	for k, tt := range keyChanges {
		s := newTestCluster(t, uint64(95+k), 0)
		runs := 0
		ranFor := s.workspaceLog(t, func() bool {
			if runs++; runs == 1 {
				s.changeWorkspaces(t, tt.list)
			}
			return runs > 1
		})
		g := s.send(t.Context(), t, "/any/x", fmt.Sprint("again-", k), "")
		want := "w"
		status := http.StatusBadGateway
		if tt.ranFor == "w" {
			want, status = "w w", http.StatusOK
		}
		if got := strings.Join(ranFor(), " "); g.status != status || got != want {
			t.Errorf("%s: status %d, ran for %q, want %d, %q", tt.give, g.status, got, status, want)
		}
	}
}

// TestKeysWithoutWorkspaces guards against requests that run with a key which was taken away by a
// configuration without a list of workspaces, or which none ever held (CONFIG, ROUTE). Requests without
// a key run, and on public routes those with any.
func TestKeysWithoutWorkspaces(t *testing.T) {
	s := newTestCluster(t, 99, 0)
	s.mu.Lock()
	s.fleet.Config.Routes[0].Public = true
	s.mu.Unlock()
	s.changeWorkspaces(t, nil)
	for _, tt := range []struct {
		kind, key string
		want      int
	}{
		{"any", "k", http.StatusUnauthorized}, {"any", "other", http.StatusUnauthorized}, {"any", "", http.StatusOK},
		{"once", "k", http.StatusOK}, {"once", "", http.StatusOK},
	} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL+"/"+tt.kind+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Id", tt.kind+tt.key)
		req.Header.Set("Key", tt.key)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if ran := s.runs(tt.kind+tt.key) > 0; resp.StatusCode != tt.want || ran != (tt.want == http.StatusOK) {
			t.Errorf("%s with key %q: status %d, ran %t, want %d", tt.kind, tt.key, resp.StatusCode, ran, tt.want)
		}
	}
}
