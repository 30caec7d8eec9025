package chiveplatform

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
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
	"github.com/chiveyoke/chiveyoke/platform"
)

// entryProgram is the path of the entry VM daemon, which TestMain builds.
var entryProgram string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the daemon, runs the tests and returns the exit status.
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
		fmt.Fprintf(os.Stderr, "building chiveyoke-entry failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// testNet returns the second address byte of test n. It depends on the process, so
// that concurrent test runs rarely share addresses.
func testNet(n int) byte {
	return byte(20 + (os.Getpid()*7+n)%200)
}

// startSite starts a site with the keys k1 and k2 and waits until its entry VMs are
// ready. It is closed at the end of the test.
func startSite(t *testing.T, n, entryVMs, runners int) *Site {
	t.Helper()
	s, err := NewSite(t.TempDir(), entryProgram, testNet(n), entryVMs, runners)
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

// TestWaitReadyNoticesEnds guards against a process that has ended at its start and counts as
// ready.
func TestWaitReadyNoticesEnds(t *testing.T) {
	s, err := NewSite(t.TempDir(), entryProgram, testNet(7), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	e := s.EntryVMs[0]
	occupied, err := net.Listen("tcp4", e.CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := errors.Join(occupied.Close(), s.Close()); err != nil {
			t.Error(err)
		}
	})
	if err := errors.Join(s.Configure("k1"), e.Start()); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitReady(5 * time.Second); err == nil || !strings.Contains(err.Error(), "has ended") || !strings.Contains(err.Error(), e.CallerAddress()) {
		t.Errorf("error %v, want one that names the end and the address in use", err)
	}
}

// expectedStream returns the complete stream of events that answers a request.
func expectedStream(id string, eventCount int) string {
	var b strings.Builder
	for i := range eventCount {
		b.WriteString(StreamEvent(id, i))
	}
	return b.String()
}

// TestRouteKinds checks the answers of streaming and non-idempotent routes, and the
// refusal of unknown keys and routes, at each entry VM.
func TestRouteKinds(t *testing.T) {
	s := startSite(t, 0, 3, 3)
	ctx, client := t.Context(), &http.Client{}
	addresses, err := s.EntryVMs[0].Resolve(ctx, "a")
	if err != nil || len(addresses) == 0 {
		t.Fatalf("directory returned addresses %v, error %v", addresses, err)
	}
	for i, e := range s.EntryVMs {
		addr := e.CallerAddress()
		id := fmt.Sprint("id-", i)
		if a := Send(ctx, client, addr, "stream", "s"+id, "k1"); a.Status != http.StatusOK || !a.Complete || a.Body != expectedStream("s"+id, 12) {
			t.Errorf("stream: got status %d, body %q", a.Status, a.Body)
		}
		if a := Send(ctx, client, addr, "once", "o"+id, "k2"); a.Status != http.StatusOK || a.Body != CallAnswer("o"+id) || a.Header.Get("Chiveyoke-Response-Seal") != "seal-o"+id {
			t.Errorf("call: got status %d, body %q", a.Status, a.Body)
		}
		if a := Send(ctx, client, addr, "once", "x"+id, "wrong"); a.Status != http.StatusUnauthorized {
			t.Errorf("unknown key: got status %d", a.Status)
		}
		if a := Send(ctx, client, addr, "none", "n"+id, "k1"); a.Status != http.StatusNotFound {
			t.Errorf("unknown route: got status %d", a.Status)
		}
	}
}

// TestGracefulStop checks that an entry VM that stops under load completes all
// requests, is not ready, is omitted from the directory and exits with status 0.
func TestGracefulStop(t *testing.T) {
	s := startSite(t, 1, 3, 3)
	for _, r := range s.Runners {
		r.EventInterval = 60 * time.Millisecond
	}
	stopping := s.EntryVMs[0]
	var callers sync.WaitGroup
	for i := range 30 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			id := fmt.Sprint("stop-", i)
			if a := Send(t.Context(), &http.Client{}, stopping.CallerAddress(), "stream", id, "k1"); a.Status != http.StatusOK || !a.Complete || a.Body != expectedStream(id, 12) {
				t.Errorf("%s: got status %d, complete %t, or a wrong body", id, a.Status, a.Complete)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopping.Signal(syscall.SIGTERM)
	callers.Wait()
	if stopping.Ready() {
		t.Error("stopping entry VM is still ready")
	}
	addresses, err := s.EntryVMs[1].Resolve(t.Context(), stopping.Zone)
	if err != nil {
		t.Fatal(err)
	}
	for _, addr := range addresses {
		if addr == stopping.CallerAddress() {
			t.Error("directory still returns the stopping entry VM")
		}
	}
	if !stopping.WaitExit(shutdownGrace) {
		t.Error("entry VM did not exit with status 0 within its grace period")
	}
}

// startAnew kills the process of an entry VM and starts it again.
func startAnew(t *testing.T, e *EntryVM) {
	t.Helper()
	e.Signal(syscall.SIGKILL)
	e.WaitExit(shutdownGrace)
	if err := e.Start(); err != nil {
		t.Error(err)
	}
}

// TestKeyRevocation checks that no entry VM accepts a revoked key after the bound, even
// if the store stops answering at the moment of the revocation.
func TestKeyRevocation(t *testing.T) {
	s := startSite(t, 2, 2, 2)
	s.Store.SetFault(StoreSilent)
	if err := s.Configure("k2"); err != nil {
		t.Fatal(err)
	}
	revokedAt := time.Now()
	for i := 0; time.Since(revokedAt) < revocationBound+2*time.Second; i++ {
		for k, e := range s.EntryVMs {
			id := fmt.Sprintf("revoke-%d-%d", i, k)
			Send(t.Context(), &http.Client{}, e.CallerAddress(), "once", id, "k1")
			for _, r := range s.Runners {
				for _, startedAt := range r.StartTimes()[id] {
					if startedAt.Sub(revokedAt) > revocationBound {
						t.Errorf("%s started %v after its key was revoked", id, startedAt.Sub(revokedAt))
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
		t.Errorf("revoked key: got status %d", a.Status)
	}
	if a := Send(t.Context(), &http.Client{}, e.CallerAddress(), "once", "after-2", "k2"); a.Status != http.StatusOK {
		t.Errorf("valid key: got status %d", a.Status)
	}
}

// TestZoneEvacuation checks that an evacuated zone gets no requests, and gets them
// again when the evacuation ends.
func TestZoneEvacuation(t *testing.T) {
	s := startSite(t, 3, 1, 3)
	e := s.EntryVMs[0]
	countInZone := func(prefix string) (count int) {
		for i := range 40 {
			Send(t.Context(), &http.Client{}, e.CallerAddress(), "any", fmt.Sprint(prefix, i), "k1")
		}
		for id := range s.Runners[0].StartTimes() {
			if strings.HasPrefix(id, prefix) {
				count++
			}
		}
		return count
	}
	if countInZone("before-") == 0 {
		t.Error("zone got no requests before its evacuation")
	}
	if err := s.SetZoneOut("a", true); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if n := countInZone("out-"); n > 0 {
		t.Errorf("evacuated zone got %d requests", n)
	}
	if err := s.SetZoneOut("a", false); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	if countInZone("back-") == 0 {
		t.Error("zone got no requests after its evacuation")
	}
}

// TestExplain checks that the explain command finds the causes of failures in the logs: a part
// and a request that crash runners, an aborted stream, a lost answer, an answer without an end, runners that ask for a pause or
// leave, and keys that are out of date.
func TestExplain(t *testing.T) {
	s := startSite(t, 4, 1, 2)
	e, ctx := s.EntryVMs[0], context.WithoutCancel(t.Context())
	s.CrashOnPart("bad")
	prompt := func(id, parts string) Answer {
		return SendRequest(ctx, &http.Client{}, e.CallerAddress(), CallerRequest{Route: "stream", Path: "x", ID: id, Key: "k1", Body: "body of " + id, Parts: parts})
	}
	for i := range 40 {
		if a := prompt(fmt.Sprint("crash-", i), "bad:60,own:20"); strings.Contains(a.Body, "crashes") {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	prompt("excluded", "aa:40,bad:60,own:20")
	s.CrashOnBody("bad")
	repeat := func(id string) Answer {
		return SendRequest(ctx, &http.Client{}, e.CallerAddress(), CallerRequest{Route: "any", Path: "x", ID: id, Key: "k1", Body: "bad"})
	}
	for i := range 40 {
		if a := repeat(fmt.Sprint("repeat-", i)); strings.Contains(a.Body, "crashes") {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	repeat("repeated")
	s.CrashOnBody("")
	time.Sleep(2 * restartTime)
	for _, r := range s.Runners {
		r.SetFailureRate(1)
	}
	Send(ctx, &http.Client{}, e.CallerAddress(), "stream", "torn", "k1")
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "lost", "k1")
	for _, r := range s.Runners {
		r.SetFailureRate(0)
		r.SetEndless(true)
	}
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "endless", "k1")
	for _, r := range s.Runners {
		r.SetEndless(false)
		r.notices.askForPause(700*time.Millisecond, 300*time.Millisecond)
	}
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "pausing", "k1")
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "paused", "k1")
	time.Sleep(time.Second)
	for _, r := range s.Runners {
		r.notices.leave()
	}
	for i := range 2 {
		Send(ctx, &http.Client{}, e.CallerAddress(), "any", fmt.Sprint("last-", i), "k1")
	}
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "left", "k1")
	s.Store.SetFault(StoreBusy)
	time.Sleep(revocationBound + time.Second)
	Send(ctx, &http.Client{}, e.CallerAddress(), "once", "stale", "k1")
	time.Sleep(200 * time.Millisecond)
	tests := []struct {
		give string
		want []string
	}{
		{"excluded", []string{"not-run", "part bad of the prompt crashes runners", "503"}},
		{"repeated", []string{"not-run", "the request crashes runners", "503"}},
		{"torn", []string{"broke off its stream after event", "stream broke"}},
		{"lost", []string{"may-have-run", "broke off", "502"}},
		{"endless", []string{"may-have-run", "may have no end", "502"}},
		{"pausing", []string{"not-run", "asked for a pause of 700ms", "503"}},
		{"paused", []string{"not-run", "all runners have asked for a pause, the shortest of", "503"}},
		{"left", []string{"not-run", "all runners say that they are leaving", "503"}},
		{"stale", []string{"the keys may be out of date", "not-run", "Store does not answer."}},
	}
	for _, tt := range tests {
		var out, errOut bytes.Buffer
		if code := chivecommand.Main([]string{"explain", tt.give, e.LogPath}, &out, &errOut); code != 0 {
			t.Errorf("%s: exit status %d: %s", tt.give, code, errOut.String())
		}
		for _, w := range tt.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("%s: %q is missing in:\n%s", tt.give, w, out.String())
			}
		}
	}
}

// TestBadSettings checks that the daemon exits with an error message if its settings
// are missing or incomplete.
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

// TestOlderCopyOfStore checks that entry VMs follow a store that returns from an older
// copy and gives versions out again: their lost registrations are written again, a
// configuration that was accepted since stays in force, and later ones are taken.
func TestOlderCopyOfStore(t *testing.T) {
	s := startSite(t, 9, 3, 2)
	older := s.Store.Copy()
	if err := s.Configure("k2"); err != nil {
		t.Fatal(err)
	}
	send := func(id, key string) int {
		return Send(t.Context(), &http.Client{}, s.EntryVMs[0].CallerAddress(), "once", id, key).Status
	}
	waitForStatus(t, func(id string) int { return send(id, "k1") }, http.StatusUnauthorized)
	// The rows of entry VMs since the start of the site are lost, those of operators
	// and runners are not.
	for key := range older.tables[platform.TableSystem] {
		delete(older.tables[platform.TableSystem], key)
	}
	s.Store.ReturnFrom(older, IsSystemTable)
	if status := send("after-return", "k1"); status == http.StatusOK {
		t.Error("a key that was taken away is admitted after the store has returned")
	}
	waitForStatus(t, func(id string) int { return send(id, "k2") }, http.StatusOK)
	if err := s.Configure("k3"); err != nil {
		t.Fatal(err)
	}
	waitForStatus(t, func(id string) int { return send(id, "k3") }, http.StatusOK)
	deadline := time.Now().Add(5 * time.Second)
	for len(s.Store.Copy().tables[platform.TableSystem]) < len(s.EntryVMs) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d entry VMs are registered again", len(s.Store.Copy().tables[platform.TableSystem]), len(s.EntryVMs))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// TestStartAsStoreReturns guards against a process that starts as the store returns from an older
// copy and relies on a configuration with a key that was taken away (CONFIG): it has not seen that
// the store has lost a newer one, but its peers have that one.
func TestStartAsStoreReturns(t *testing.T) {
	const (
		revokeBound = 5 * time.Second
		rewriteTime = 2 * time.Second
	)
	s := startSite(t, 11, 4, 2)
	client, restarted := &http.Client{}, s.EntryVMs[1]
	send := func(key string, n int) int {
		return Send(t.Context(), client, restarted.CallerAddress(), "any", fmt.Sprintf("%s-%d", key, n), key).Status
	}
	older := s.Store.Copy()
	if err := s.Configure("k1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(revokeBound)
	s.Store.SetFault(StoreBusy)
	restarted.Signal(syscall.SIGKILL)
	restarted.WaitExit(5 * time.Second)
	if err := restarted.Start(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	s.Store.ReturnFrom(older, func(string) bool { return true })
	s.Store.SetFault(StoreHealthy)
	n := 0
	for end := time.Now().Add(rewriteTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n++; send("k2", n) == http.StatusOK {
			t.Fatalf("request %d with a key that was taken away is served", n)
		}
	}
	if err := s.Configure("k1"); err != nil {
		t.Fatal(err)
	}
	waitForStatus(t, func(string) int { n++; return send("k1", n) }, http.StatusOK)
}

// waitForStatus sends requests until one is answered with the given status.
func waitForStatus(t *testing.T, send func(id string) int, want int) {
	t.Helper()
	deadline := time.Now().Add(8 * time.Second)
	for i := 0; ; i++ {
		got := send(fmt.Sprintf("wait-%d-%d", time.Now().UnixNano(), i))
		if got == want {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("status is %d, want %d", got, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// regressionSeeds holds seeds of soak runs that failed before, each with the cause, and
// one for CI.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "none: short run for CI"},
	{28, "shutdown hung: a table replica was sent to a tracker that had already stopped"},
}

// checkSoak runs a soak and checks that it violates no guarantee.
func checkSoak(t *testing.T, s *Soak) {
	t.Helper()
	s.Program, s.Dir = entryProgram, t.TempDir()
	result, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range result.Violations {
		t.Errorf("seed %d: %s", s.Seed, v)
	}
	t.Logf("seed %d: %+v", s.Seed, result)
}

// TestSoak checks that runs with random faults violate no guarantee.
func TestSoak(t *testing.T) {
	for i, tt := range regressionSeeds {
		checkSoak(t, &Soak{Seed: tt.seed, FaultDuration: 8 * time.Second, EntryVMs: 4, Runners: 3, Net: testNet(10 + i)})
	}
}

// TestSoakOlderCopies checks that runs in which the store also returns from older copies
// violate no guarantee.
func TestSoakOlderCopies(t *testing.T) {
	checkSoak(t, &Soak{Seed: 3, FaultDuration: 8 * time.Second, OlderCopies: true, EntryVMs: 4, Runners: 3, Net: testNet(20)})
}

// TestSoakTroubles checks that runs with runners that leave, ask for pauses, name limits, crash
// under a part of prompts or a request and answer without an end, while entry VMs stop in
// series, violate no guarantee.
func TestSoakTroubles(t *testing.T) {
	for i, seed := range []uint64{2, 3} {
		checkSoak(t, &Soak{Seed: seed, FaultDuration: 10 * time.Second, Troubles: true, Silences: true, EntryVMs: 6, Runners: 4, Net: testNet(24 + i)})
	}
}

// TestSoakSilentConnections checks that runs in which all connections to the store go
// silent, and new ones work, violate no guarantee. It guards against entry VMs that
// handle requests by a configuration that is seconds too old.
func TestSoakSilentConnections(t *testing.T) {
	checkSoak(t, &Soak{Seed: 4, FaultDuration: 10 * time.Second, Silences: true, EntryVMs: 6, Runners: 3, Net: testNet(21)})
}

// TestDrainAfterSilence checks that a runner which begins to leave after all connections
// to the store have gone silent gets no requests once entry VMs are in touch again and the
// bound on drained runners has passed. It guards against feeds that wait for up to 16 s on
// a silent connection.
func TestDrainAfterSilence(t *testing.T) {
	const drainBound = 2 * time.Second
	s := startSite(t, 5, 3, 2)
	time.Sleep(time.Second)
	s.StoreLink.Silence()
	silencedAt := time.Now()
	time.Sleep(contactTime - drainBound)
	if err := s.RegisterRunner(0, "draining"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(contactTime - time.Since(silencedAt))
	for i := range 60 {
		Send(t.Context(), &http.Client{}, s.EntryVMs[i%3].CallerAddress(), "any", fmt.Sprintf("drained-%d", i), "k1")
	}
	for id := range s.Runners[0].StartTimes() {
		if strings.HasPrefix(id, "drained-") {
			t.Errorf("%s reached the runner that leaves", id)
		}
	}
}

// TestSuspension checks that an entry VM which was suspended asks the store again at once.
// Timers may not count the time, so that its calls would wait for as long as before.
func TestSuspension(t *testing.T) {
	s := startSite(t, 6, 1, 1)
	e := s.EntryVMs[0]
	e.Signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	e.Signal(syscall.SIGCONT)
	deadline := time.Now().Add(3 * time.Second)
	for {
		log, err := os.ReadFile(e.LogPath)
		if err != nil {
			t.Fatal(err)
		}
		if bytes.Contains(log, []byte("this process was suspended")) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the store was not asked again")
		}
		time.Sleep(50 * time.Millisecond)
	}
}
