package chivecrowd

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveharness"
)

// fleetNet is the second byte of the addresses of the fleet.
const fleetNet = 18

// startFleet starts a fleet with one gateway whose processes have a limit on their memory and on their
// descriptors, 0 for none.
func startFleet(t *testing.T, files int) *chiveharness.Fleet {
	t.Helper()
	t.Setenv("CHIVEYOKE_MEMORY", strconv.Itoa(memoryMB))
	f, err := chiveharness.Start(t.Context(), chiveharness.Settings{
		Sheet: chiveharness.WarmSheet(fleetNet, 1), Net: fleetNet, Gateways: 1, Bin: programs, Dir: t.TempDir(), AddressLifetime: time.Second, FileLimit: files,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Kill)
	return f
}

// fleetDoor is a port of a process of a fleet.
type fleetDoor struct {
	Door
	process string
}

// fleetDoors returns the ports of a gateway and of an agent that clients connect to.
func fleetDoors(f *chiveharness.Fleet) []fleetDoor {
	gateway, agent := f.VMs[0].Name, f.Sheet.Endpoints[0].Name
	admin := f.AdminAddresses()
	return []fleetDoor{
		{Door{"callers", f.VMs[0].CallerAddress, "POST /v1/chat/completions", "Authorization: Bearer demo-large\r\nContent-Type: application/json\r\n"}, gateway},
		{Door{"admin", admin[gateway], "GET /metrics", ""}, gateway},
		{Door{"agent", admin[agent], "GET /metrics", ""}, agent},
	}
}

// checkFleet checks that a process of a fleet lives and is within its memory and descriptors.
func checkFleet(t *testing.T, f *chiveharness.Fleet, d fleetDoor) {
	t.Helper()
	p := f.Processes[d.process]
	if !p.Running() {
		t.Fatalf("%s has ended: %s", p.Name, f.LogTail(p.Name, 3))
	}
	host, _, err := net.SplitHostPort(d.Address)
	if err != nil {
		t.Fatal(err)
	}
	checkUsage(t, p.PID(), host, f.Settings.FileLimit)
}

// askFleet checks that an ordinary client gets a whole generation and that each port answers.
func askFleet(t *testing.T, f *chiveharness.Fleet) {
	t.Helper()
	c := f.NewCaller("large")
	defer c.Close()
	var r *chiveharness.Result
	for try := 0; try < ordinaryTries && (r == nil || !r.Complete); try++ {
		r = c.Generate(t.Context(), "draft", "ordinary", 4)
	}
	if !r.Complete || r.Text != chiveharness.ExpectedAnswer("ordinary", 4) {
		t.Errorf("an ordinary client gets status %d, %q: %s", r.Status, r.Text, r.Error)
	}
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, d := range fleetDoors(f)[1:] {
		status := 0
		for try := 0; try < ordinaryTries && status != http.StatusOK; try++ {
			status = get(t, client, d.Door)
		}
		if status != http.StatusOK {
			t.Errorf("an ordinary client at port %s of %s gets status %d", d.Name, d.process, status)
		}
	}
}

// TestFleet guards against clients that end a gateway or an agent by what they send before, in and
// after a head, at each of their ports for HTTP.
func TestFleet(t *testing.T) {
	for i, name := range []string{"callers", "admin", "agent"} {
		for _, k := range Kinds() {
			t.Run(name+"/"+k.Name, func(t *testing.T) {
				f := startFleet(t, 0)
				d := fleetDoors(f)[i]
				crowd := Gather(crowdSize, d.Door, k)
				defer crowd.Close()
				t.Logf("%d clients have sent all, %d were stalled, %d ended, %d refused", crowd.Sent, crowd.Stalled, crowd.Ended, crowd.Refused)
				checkFleet(t, f, d)
				askFleet(t, f)
				checkFleet(t, f, d)
			})
		}
	}
}

// TestFleetOutOfDescriptors guards against clients that take all descriptors of a gateway or an agent with
// connections on which they send little, at each of their ports for HTTP.
func TestFleetOutOfDescriptors(t *testing.T) {
	for i, name := range []string{"callers", "admin", "agent"} {
		for _, k := range Idle() {
			t.Run(name+"/"+k.Name, func(t *testing.T) {
				f := startFleet(t, fileLimit)
				d := fleetDoors(f)[i]
				crowd := Gather(idleSize, d.Door, k)
				defer crowd.Close()
				t.Logf("%d clients have sent all, %d were stalled, %d ended, %d refused", crowd.Sent, crowd.Stalled, crowd.Ended, crowd.Refused)
				checkFleet(t, f, d)
				askFleet(t, f)
				checkFleet(t, f, d)
			})
		}
	}
}

// TestFleetLinks guards against datagrams that end a process at the ports of links between
// processes, which they reach without a certificate.
func TestFleetLinks(t *testing.T) {
	f := startFleet(t, 0)
	for _, d := range []fleetDoor{
		{Door{Name: "link of a gateway", Address: f.VMs[0].LinkAddress}, f.VMs[0].Name},
		{Door{Name: "link of an agent", Address: f.Sheet.Endpoints[0].Agent}, f.Sheet.Endpoints[0].Name},
	} {
		t.Run(d.Name, func(t *testing.T) {
			Pelt(crowdSize, d.Address)
			checkFleet(t, f, d)
			askFleet(t, f)
		})
	}
}

// TestMesh guards against datagrams that end an entry VM.
func TestMesh(t *testing.T) {
	_, e := startEntry(t, 0)
	Pelt(crowdSize, e.MeshAddress())
	checkEntry(t, e, 0)
	askEntry(t, e)
	info, err := os.Stat(e.LogPath)
	if err != nil {
		t.Fatal(err)
	}
	if info.Size() > maxLogSize {
		t.Errorf("the log has %d bytes, want at most %d", info.Size(), maxLogSize)
	}
}

// maxLogSize bounds a log after some seconds of a crowd: 150 lines a second.
const maxLogSize = 4 << 20
