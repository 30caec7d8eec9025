package chiveplatform

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// keysTakenAway are the ways in which a version of the configuration takes the key k1 away.
var keysTakenAway = []struct {
	give    string
	tenants any
}{
	{"another key", []any{map[string]any{"name": "team", "api-keys": []string{"k9"}}}},
	{"no key", []any{map[string]any{"name": "team", "api-keys": []string{}}}},
	{"no list of keys", []any{map[string]any{"name": "team"}}},
	{"no tenant", []any{}},
	{"null for tenants", nil},
	{"no list of tenants", noTenants{}},
}

// revocationTroubles are what else happens as a key is taken away. Each has ended when it returns.
var revocationTroubles = []struct {
	give   string
	happen func(t *testing.T, s *Site)
}{
	{"nothing else happens", func(*testing.T, *Site) {}},
	{"the store is silent", func(_ *testing.T, s *Site) {
		s.Store.SetFault(StoreSilent)
		time.Sleep(revocationBound)
		s.Store.SetFault(StoreHealthy)
	}},
	{"the hub is suspended", func(_ *testing.T, s *Site) {
		s.EntryVMs[0].Signal(syscall.SIGSTOP)
		time.Sleep(revocationBound + time.Second)
		s.EntryVMs[0].Signal(syscall.SIGCONT)
	}},
	{"entry VMs start anew while the store is busy", func(t *testing.T, s *Site) {
		s.Store.SetFault(StoreBusy)
		for _, e := range s.EntryVMs {
			startAnew(t, e)
		}
		time.Sleep(2 * time.Second)
		s.Store.SetFault(StoreHealthy)
	}},
}

// TestKeyTakenAwayInAnyForm guards against requests that run with a key that was taken away, whatever
// form the configuration gives that and whatever else happens (CONFIG).
func TestKeyTakenAwayInAnyForm(t *testing.T) {
	for i, form := range keysTakenAway {
		for k, trouble := range revocationTroubles {
			t.Run(form.give+", "+trouble.give, func(t *testing.T) {
				t.Parallel()
				s := startSite(t, 90+len(revocationTroubles)*i+k, 3, 2)
				if err := s.configureTenants(form.tenants); err != nil {
					t.Fatal(err)
				}
				takenAt := time.Now()
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					trouble.happen(t, s)
				}()
				client := &http.Client{Timeout: time.Second}
				for n := 0; time.Since(takenAt) < revocationBound+2*time.Second; n++ {
					for _, e := range s.EntryVMs {
						Send(t.Context(), client, e.CallerAddress(), "any", fmt.Sprintf("%s-%d", e.Name, n), "k1")
					}
					time.Sleep(50 * time.Millisecond)
				}
				<-ended
				for _, r := range s.Runners {
					for id, starts := range r.StartTimes() {
						for _, at := range starts {
							if late := at.Sub(takenAt); late > revocationBound {
								t.Errorf("%s started %v after its key was taken away", id, late)
							}
						}
					}
				}
				if err := s.WaitReady(10 * time.Second); err != nil {
					t.Fatal(err)
				}
				for _, e := range s.EntryVMs {
					if a := Send(t.Context(), client, e.CallerAddress(), "any", "last-"+e.Name, "k1"); a.Status != http.StatusUnauthorized {
						t.Errorf("%s answers %d in the end", e.Name, a.Status)
					}
				}
			})
		}
	}
}
