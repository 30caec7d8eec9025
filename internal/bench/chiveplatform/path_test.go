package chiveplatform

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/run/chivecommand"
)

// entryProgram is the daemon of entry VMs, built for the tests.
var entryProgram string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chiveplatform")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	entryProgram = filepath.Join(dir, "chiveyoke-entry")
	out, err := exec.Command("go", "build", "-o", entryProgram, "github.com/chiveyoke/chiveyoke/cmd/chiveyoke-entry").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// testNet keeps runs of the tests beside each other apart.
func testNet(n int) byte {
	return byte(20 + (os.Getpid()*7+n)%200)
}

func startSite(t *testing.T, n, entries, runners int) *Site {
	t.Helper()
	s, err := NewSite(t.TempDir(), entryProgram, testNet(n), entries, runners)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := s.Configure("k1", "k2"); err != nil {
		t.Fatal(err)
	}
	for _, e := range s.EntryVMs {
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.WaitReady(10 * time.Second); err != nil {
		t.Fatal(err)
	}
	return s
}

// expectedStream returns the whole expectedStream that answers a request.
func expectedStream(id string, pieces int) string {
	var b strings.Builder
	for i := range pieces {
		b.WriteString(StreamEvent(id, i))
	}
	return b.String()
}

// TestRouteKinds serves each kind of request through separate processes.
func TestRouteKinds(t *testing.T) {
	s := startSite(t, 0, 3, 3)
	ctx, client := t.Context(), &http.Client{}
	list, err := s.EntryVMs[0].Resolve(ctx, "a")
	if err != nil || len(list) == 0 {
		t.Fatalf("addresses are %v, %v", list, err)
	}
	for i, e := range s.EntryVMs {
		addr := e.CallerAddress()
		id := fmt.Sprint("id-", i)
		if a := Send(ctx, client, addr, "stream", "s"+id, "k1"); a.Status != http.StatusOK || !a.Complete || a.Body != expectedStream("s"+id, 12) {
			t.Errorf("stream: %d %q", a.Status, a.Body)
		}
		if a := Send(ctx, client, addr, "once", "o"+id, "k2"); a.Status != http.StatusOK || a.Body != CallAnswer("o"+id) || a.Header.Get("Chiveyoke-Response-Seal") != "seal-o"+id {
			t.Errorf("call: %d %q", a.Status, a.Body)
		}
		if a := Send(ctx, client, addr, "once", "x"+id, "wrong"); a.Status != http.StatusUnauthorized {
			t.Errorf("an unknown key got %d", a.Status)
		}
		if a := Send(ctx, client, addr, "none", "n"+id, "k1"); a.Status != http.StatusNotFound {
			t.Errorf("an unknown route got %d", a.Status)
		}
	}
}

// TestGracefulStop stops an entry VM under load: no request is cut, and the directory
// leaves it out.
func TestGracefulStop(t *testing.T) {
	s := startSite(t, 1, 3, 3)
	for _, r := range s.Runners {
		r.EventInterval = 60 * time.Millisecond
	}
	leaving := s.EntryVMs[0]
	var asking sync.WaitGroup
	for i := range 30 {
		asking.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			id := fmt.Sprint("stop-", i)
			if a := Send(t.Context(), &http.Client{}, leaving.CallerAddress(), "stream", id, "k1"); a.Status != http.StatusOK || !a.Complete || a.Body != expectedStream(id, 12) {
				t.Errorf("%s: %d, whole %t", id, a.Status, a.Complete)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	leaving.Signal(syscall.SIGTERM)
	asking.Wait()
	if leaving.Ready() {
		t.Error("it says that it is ready")
	}
	list, err := s.EntryVMs[1].Resolve(t.Context(), leaving.Zone)
	if err != nil {
		t.Fatal(err)
	}
	for _, addr := range list {
		if addr == leaving.CallerAddress() {
			t.Error("the directory names it")
		}
	}
	if !leaving.WaitExit(shutdownGrace) {
		t.Error("it did not end in order within its grace")
	}
}

// TestKeyRevocation takes a key away while the store turns silent at once: the key is
// refused after the bound, by all.
func TestKeyRevocation(t *testing.T) {
	s := startSite(t, 2, 2, 2)
	s.Store.SetFault(StoreSilent)
	if err := s.Configure("k2"); err != nil {
		t.Fatal(err)
	}
	taken := time.Now()
	for i := 0; time.Since(taken) < revocationBound+2*time.Second; i++ {
		for k, e := range s.EntryVMs {
			id := fmt.Sprintf("revoke-%d-%d", i, k)
			Send(t.Context(), &http.Client{}, e.CallerAddress(), "once", id, "k1")
			for _, r := range s.Runners {
				for _, at := range r.StartTimes()[id] {
					if at.Sub(taken) > revocationBound {
						t.Errorf("%s ran %v after its key was taken away", id, at.Sub(taken))
					}
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.Store.SetFault(StoreHealthy)
	if err := s.WaitReady(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	e := s.EntryVMs[0]
	if a := Send(t.Context(), &http.Client{}, e.CallerAddress(), "once", "after-1", "k1"); a.Status != http.StatusUnauthorized {
		t.Errorf("the old key got %d", a.Status)
	}
	if a := Send(t.Context(), &http.Client{}, e.CallerAddress(), "once", "after-2", "k2"); a.Status != http.StatusOK {
		t.Errorf("the other key got %d", a.Status)
	}
}

// TestZoneEvacuation empties a zone and takes it back.
func TestZoneEvacuation(t *testing.T) {
	s := startSite(t, 3, 1, 3)
	e := s.EntryVMs[0]
	inZone := func(prefix string) (here int) {
		for i := range 40 {
			Send(t.Context(), &http.Client{}, e.CallerAddress(), "any", fmt.Sprint(prefix, i), "k1")
		}
		for id := range s.Runners[0].StartTimes() {
			if strings.HasPrefix(id, prefix) {
				here++
			}
		}
		return here
	}
	if inZone("before-") == 0 {
		t.Error("the zone is not used")
	}
	if err := s.SetZoneOut("a", true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if n := inZone("out-"); n > 0 {
		t.Errorf("%d requests went to the zone", n)
	}
	if err := s.SetZoneOut("a", false); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if inZone("back-") == 0 {
		t.Error("the zone is not used again")
	}
}

// TestExplain breaks three requests in three ways and finds each cause from the
// logs alone.
func TestExplain(t *testing.T) {
	s := startSite(t, 4, 1, 2)
	e, ctx := s.EntryVMs[0], context.WithoutCancel(t.Context())
	for _, r := range s.Runners {
		r.SetFailureRate(1)
	}
	Send(ctx, &http.Client{}, e.CallerAddress(), "stream", "torn", "k1")
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "lost", "k1")
	s.Store.SetFault(StoreBusy)
	time.Sleep(revocationBound + time.Second)
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "stale", "k1")
	time.Sleep(200 * time.Millisecond)
	tests := []struct {
		give string
		want []string
	}{
		{"torn", []string{"broke off its stream after event", "stream broke"}},
		{"lost", []string{"may-have-run", "broke off", "502"}},
		{"stale", []string{"the keys may be out of date", "not-run", "Store does not answer."}},
	}
	for _, tt := range tests {
		var out, errs bytes.Buffer
		if code := chivecommand.Main([]string{"explain", tt.give, e.LogPath}, &out, &errs); code != 0 {
			t.Errorf("%s: exit code %d: %s", tt.give, code, errs.String())
		}
		for _, w := range tt.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%s: %q is missing in:\n%s", tt.give, w, out.String())
			}
		}
	}
}

// TestBadSettings ends with one line that names the fault.
func TestBadSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(path, []byte(`{"node-name": "x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, env := range []string{"", path, path + ".none"} {
		cmd := exec.Command(entryProgram)
		cmd.Env = append(os.Environ(), "CHIVEYOKE_NODE_FILE="+env)
		out, err := cmd.CombinedOutput()
		if err == nil || !bytes.HasPrefix(out, []byte("chiveyoke-entry: ")) {
			t.Errorf("%q: %v, %s", env, err, out)
		}
	}
}

// regressionSeeds are those that failed once, each with its cause, and one for CI.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none: the short run of every CI"},
	{28, "a stopping process hung: a copy of a table was handed to a tracker that had ended"},
}

// TestSoak plays a few seconds of random faults.
func TestSoak(t *testing.T) {
	for i, tt := range regressionSeeds {
		s := &Soak{Program: entryProgram, Seed: tt.seed, FaultDuration: 8 * time.Second, EntryVMs: 4, Runners: 3, Dir: t.TempDir(), Net: testNet(10 + i)}
		result, err := s.Run(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range result.Violations {
			t.Errorf("seed %d: %s", tt.seed, b)
		}
		t.Logf("seed %d: %+v", tt.seed, result)
	}
}
