package chivecrowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
	"github.com/chiveyoke/chiveyoke/platform"
)

const (
	// memoryMB is the limit on the memory of a process in its settings, in MB.
	memoryMB = 128
	// crowdSize is the number of clients that send more than they may, idleSize that of clients
	// that keep connections.
	crowdSize = 250
	idleSize  = 400
	// fileLimit is the number of descriptors that a process may have beside idleSize clients.
	fileLimit = 256
	// ordinaryTries is how often an ordinary client tries, ordinaryTimeout bounds a try.
	ordinaryTries   = 3
	ordinaryTimeout = 10 * time.Second
	startTimeout    = 20 * time.Second
	// dataLimit is the number of bytes above which a process fails to allocate memory.
	dataLimit = 4 << 30
)

// programs is the directory of the programs, which TestMain builds.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit status.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chivecrowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	// The processes inherit it: a fault must not take the memory of the machine.
	if err := unix.Setrlimit(unix.RLIMIT_DATA, &unix.Rlimit{Cur: dataLimit, Max: dataLimit}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if out, err := exec.Command("go", "build", "-o", dir+"/", "github.com/chiveyoke/chiveyoke/cmd/...").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "building the programs failed: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// startEntry starts a site with one entry VM and one runner whose processes have limits.
func startEntry(t *testing.T, files int) (*chiveplatform.Site, *chiveplatform.EntryVM) {
	t.Helper()
	s, err := chiveplatform.NewSite(t.TempDir(), filepath.Join(programs, "chiveyoke-entry"), byte(20+os.Getpid()%200), 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	s.MemoryMB, s.FileLimit = memoryMB, files
	if err := s.Configure("k1"); err != nil {
		t.Fatal(err)
	}
	if err := s.EntryVMs[0].Start(); err != nil {
		t.Fatal(err)
	}
	if err := s.WaitReady(startTimeout); err != nil {
		t.Fatal(err)
	}
	return s, s.EntryVMs[0]
}

// entryDoors returns the ports of an entry VM.
func entryDoors(e *chiveplatform.EntryVM) []Door {
	var list []Door
	for _, p := range e.Ports() {
		list = append(list, Door(p))
	}
	return list
}

// askEntry checks that an ordinary client gets an answer at each port, at a new connection each.
func askEntry(t *testing.T, e *chiveplatform.EntryVM) {
	t.Helper()
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range entryDoors(e) {
		status := 0
		for try := 0; try < ordinaryTries && status != http.StatusOK; try++ {
			if d.Name == chiveplatform.PortCallers {
				status = chiveplatform.Send(t.Context(), client, d.Address, "any", fmt.Sprintf("ordinary-%d", try), "k1").Status
				continue
			}
			status = get(t, client, d)
		}
		if status != http.StatusOK {
			t.Errorf("an ordinary client at port %s gets status %d", d.Name, status)
		}
	}
}

// get sends the proper request of a door and returns the status of the answer, or 0.
func get(t *testing.T, client *http.Client, d Door) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.Address+d.Line[len("GET "):], nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// checkEntry checks that the process of an entry VM lives and is within its memory and descriptors.
func checkEntry(t *testing.T, e *chiveplatform.EntryVM, files int) {
	t.Helper()
	if !e.Running() {
		t.Fatal("the process has ended")
	}
	checkUsage(t, e.PID(), e.IP, files)
}

// checkUsage checks that a process, whose sockets have an address, is within its memory and descriptors;
// files is 0 if these are not limited.
func checkUsage(t *testing.T, pid int, ip string, files int) {
	t.Helper()
	u, err := Settle(pid, ip)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("peak memory %d MB, %d kB unread, %d descriptors", u.Peak/bytesPerMB, u.Unread/bytesPerKB, u.Descriptors)
	if u.Memory() > memoryMB*bytesPerMB {
		t.Errorf("memory is %d MB, %d bytes of them unread, want at most %d MB", u.Memory()/bytesPerMB, u.Unread, memoryMB)
	}
	if files > 0 && u.Descriptors >= files {
		t.Errorf("%d descriptors are open, want less than %d", u.Descriptors, files)
	}
}

// TestEntryVM guards against clients that end an entry VM by what they send before, in and after a
// head, at each of its ports.
func TestEntryVM(t *testing.T) {
	for i, name := range []string{chiveplatform.PortCallers, "directory", "readiness", "replicas", "metrics"} {
		for _, k := range Kinds() {
			t.Run(name+"/"+k.Name, func(t *testing.T) {
				_, e := startEntry(t, 0)
				crowd := Gather(crowdSize, entryDoors(e)[i], k)
				defer crowd.Close()
				t.Logf("%d clients have sent all, %d were stalled, %d ended, %d refused", crowd.Sent, crowd.Stalled, crowd.Ended, crowd.Refused)
				checkEntry(t, e, 0)
				askEntry(t, e)
				checkEntry(t, e, 0)
			})
		}
	}
}

// TestEntryVMOutOfDescriptors guards against clients that take all descriptors of an entry VM with
// connections on which they send little, at each of its ports.
func TestEntryVMOutOfDescriptors(t *testing.T) {
	for i, name := range []string{chiveplatform.PortCallers, "directory", "readiness", "replicas", "metrics"} {
		for _, k := range Idle() {
			t.Run(name+"/"+k.Name, func(t *testing.T) {
				_, e := startEntry(t, fileLimit)
				crowd := Gather(idleSize, entryDoors(e)[i], k)
				defer crowd.Close()
				t.Logf("%d clients have sent all, %d were stalled, %d ended, %d refused", crowd.Sent, crowd.Stalled, crowd.Ended, crowd.Refused)
				checkEntry(t, e, fileLimit)
				askEntry(t, e)
				checkEntry(t, e, fileLimit)
			})
		}
	}
}

// shortFieldsKind is the kind of bytes that becomes most memory.
func shortFieldsKind() Kind {
	return Kinds()[0]
}

// TestEntryVMCrowdsAtTwoPorts guards against crowds at two ports at once, of which each alone keeps to
// the bound.
func TestEntryVMCrowdsAtTwoPorts(t *testing.T) {
	_, e := startEntry(t, 0)
	doors := entryDoors(e)
	first := Gather(crowdSize, doors[0], shortFieldsKind())
	defer first.Close()
	first.Add(crowdSize, doors[1], shortFieldsKind())
	checkEntry(t, e, 0)
	askEntry(t, e)
	checkEntry(t, e, 0)
}

// TestEntryVMLargeReplica guards against clients that read no copies of a large table, each of which an
// entry VM makes anew.
func TestEntryVMLargeReplica(t *testing.T) {
	const row = 400_000
	s, e := startEntry(t, 0)
	if err := s.Store.Put(platform.TableOperators, "notes", strings.Repeat("x", row)); err != nil {
		t.Fatal(err)
	}
	door := entryDoors(e)[3]
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(100 * time.Millisecond) {
		if size := copySize(t, door); size > row {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the table is not copied")
		}
	}
	crowd := Gather(crowdSize, door, Kind{"copies not read", func(c net.Conn, d Door) error { return send(c, d.start()+"\r\n") }})
	defer crowd.Close()
	crowd.Add(crowdSize, door, Kind{"compressed copies not read", func(c net.Conn, d Door) error { return send(c, d.start()+"Accept-Encoding: gzip\r\n\r\n") }})
	checkEntry(t, e, 0)
	askEntry(t, e)
	checkEntry(t, e, 0)
}

// TestEntryVMManyParts guards against clients that spend the memory of an entry VM with the parts of
// their prompts, as many as their heads hold, while their bodies arrive.
func TestEntryVMManyParts(t *testing.T) {
	_, e := startEntry(t, 0)
	const size = 16_000
	crowd := Gather(crowdSize, entryDoors(e)[0], Kind{"parts of a prompt, body held back", func(c net.Conn, d Door) error {
		return send(c, d.start()+"Content-Length: 1000\r\n"+chiveplatform.HeaderPromptParts+": "+strings.Repeat("a:,", size/3)+"b:1\r\n\r\n")
	}})
	defer crowd.Close()
	checkEntry(t, e, 0)
	askEntry(t, e)
	checkEntry(t, e, 0)
}

// copySize returns the size of the copy of a table.
func copySize(t *testing.T, d Door) int {
	t.Helper()
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Get("http://" + d.Address + d.Line[len("GET "):])
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// TestEntryVMStopsUnderACrowd guards against a crowd that keeps an entry VM from its planned stop.
func TestEntryVMStopsUnderACrowd(t *testing.T) {
	for _, k := range append(Kinds(), Idle()...) {
		t.Run(k.Name, func(t *testing.T) {
			_, e := startEntry(t, 0)
			crowd := Gather(crowdSize, entryDoors(e)[0], k)
			defer crowd.Close()
			checkEntry(t, e, 0)
			e.Signal(syscall.SIGTERM)
			if !e.WaitExit(startTimeout) {
				t.Error("the process has not exited with status 0")
			}
		})
	}
}

// TestEntryVMStoreAwayUnderACrowd guards against a crowd that an entry VM does not outlive while the
// store is away, or after which it does not serve again.
func TestEntryVMStoreAwayUnderACrowd(t *testing.T) {
	s, e := startEntry(t, 0)
	s.StoreLink.SetFault(chiveplatform.LinkReset)
	crowd := Gather(crowdSize, entryDoors(e)[0], shortFieldsKind())
	defer crowd.Close()
	checkEntry(t, e, 0)
	s.StoreLink.SetFault(chiveplatform.LinkHealthy)
	if err := s.WaitReady(startTimeout); err != nil {
		t.Fatal(err)
	}
	askEntry(t, e)
	checkEntry(t, e, 0)
}
