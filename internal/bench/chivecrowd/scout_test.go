package chivecrowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivescout"
)

const (
	// scoutIP is the address of the scout.
	scoutIP = "127.19.1.1"
	// A body of some megabytes holds outerLists lists of emptyLists empty lists each, which take
	// more memory than their bytes.
	outerLists = 31
	emptyLists = 1 << 17
)

// scoutDoor returns the port of a scout.
func scoutDoor(s *chiveplatform.Scout) Door {
	return Door{"scout", s.Address(), "POST /report", ""}
}

// startScout starts a scout with a limit on its memory and on its descriptors, 0 for none.
func startScout(t *testing.T, files int) *chiveplatform.Scout {
	t.Helper()
	s, err := chiveplatform.StartScout(t.TempDir(), filepath.Join(programs, "chiveyoke-scout"), scoutIP, memoryMB, files)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", s.Address())
		if err == nil {
			_ = c.Close()
			return s
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}

// checkScout checks that the process lives and is within its memory and descriptors.
func checkScout(t *testing.T, s *chiveplatform.Scout, files int) {
	t.Helper()
	if !s.Running() {
		t.Fatal("the process has ended")
	}
	checkUsage(t, s.PID(), s.IP, files)
}

// askScout checks that an ordinary client gets the report of the rank, on a new connection.
func askScout(t *testing.T, s *chiveplatform.Scout) {
	t.Helper()
	client := &http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	body, err := cbor.Marshal(chivescout.Request{ID: "i-1"})
	if err != nil {
		t.Fatal(err)
	}
	var problem error
	for range ordinaryTries {
		resp, err := client.Post("http://"+s.Address()+"/report", "application/cbor", bytes.NewReader(body))
		if problem = err; err != nil {
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		var reply chivescout.Reply
		if problem = cbor.Unmarshal(data, &reply); err == nil && problem == nil && reply.Report != nil && reply.Report.Open {
			return
		}
		problem = fmt.Errorf("status %d, reply %+v, %w", resp.StatusCode, reply, problem)
	}
	t.Errorf("an ordinary client gets no report: %v", problem)
}

// scoutKinds returns what clients send to a scout.
func scoutKinds() []Kind {
	// The body {"order": {"map": ...}} in CBOR.
	inner := append([]byte{0x9a, 0, emptyLists >> 16, 0, 0}, bytes.Repeat([]byte{0x80}, emptyLists)...)
	lists := append([]byte("\xa1\x65order\xa1\x63map\x98"), outerLists)
	lists = append(lists, bytes.Repeat(inner, outerLists)...)
	head := fmt.Sprintf("POST /order HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(lists))
	return append(Kinds(),
		Kind{"body that unpacks", func(c net.Conn, _ Door) error { return send(c, head+string(lists)) }},
		Kind{"body without its end", func(c net.Conn, _ Door) error { return send(c, head+string(lists[:len(lists)/2])) }})
}

// TestScout guards against clients that end a scout by what they send before, in and after a head.
func TestScout(t *testing.T) {
	for _, k := range scoutKinds() {
		t.Run(k.Name, func(t *testing.T) {
			s := startScout(t, 0)
			crowd := Gather(crowdSize, scoutDoor(s), k)
			defer crowd.Close()
			t.Logf("%d clients have sent all, %d were stalled, %d ended, %d refused", crowd.Sent, crowd.Stalled, crowd.Ended, crowd.Refused)
			checkScout(t, s, 0)
			askScout(t, s)
			checkScout(t, s, 0)
		})
	}
}

// TestScoutOutOfDescriptors guards against clients that take all descriptors of a scout.
func TestScoutOutOfDescriptors(t *testing.T) {
	for _, k := range Idle() {
		t.Run(k.Name, func(t *testing.T) {
			s := startScout(t, fileLimit)
			crowd := Gather(idleSize, scoutDoor(s), k)
			defer crowd.Close()
			t.Logf("%d clients have sent all, %d were stalled, %d ended, %d refused", crowd.Sent, crowd.Stalled, crowd.Ended, crowd.Refused)
			checkScout(t, s, fileLimit)
			askScout(t, s)
			checkScout(t, s, fileLimit)
		})
	}
}
