package chiverelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// partRunner answers with what serve writes, after the event that the caller has.
type partRunner struct {
	server *httptest.Server
	// asked counts the requests.
	asked atomic.Int32
}

// partServer writes the events after the last one that the caller has.
type partServer func(w http.ResponseWriter, q *http.Request, last int)

func newPartRunner(t *testing.T, serve partServer) *partRunner {
	t.Helper()
	r := &partRunner{}
	r.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.asked.Add(1)
		last, err := strconv.Atoi(q.Header.Get("Last"))
		if err != nil {
			last = -1
		}
		w.Header().Set("Id", q.Header.Get("Id"))
		w.Header().Set("Signature", "s")
		serve(w, q, last)
	}))
	r.server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if tcp, ok := c.(*net.TCPConn); ok && s == http.StateNew {
			_ = tcp.SetWriteBuffer(socketSize)
		}
	}
	r.server.Start()
	t.Cleanup(r.server.CloseClientConnections)
	return r
}

// writeEvents writes long events, from one to before another.
func writeEvents(w http.ResponseWriter, from, to int) {
	for n := from; n < to; n++ {
		if _, err := io.WriteString(w, longEvent(n)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// registerParts replaces the runners by those of rs that are not nil, p0 to pn.
func (s *testCluster) registerParts(rs ...*partRunner) {
	list := map[string]*chivefleet.Runner{}
	for i, r := range rs {
		if r != nil {
			id := fmt.Sprint("p", i)
			list[id] = &chivefleet.Runner{ID: id, Service: "s", Address: r.server.Listener.Addr().String(), Slots: 100}
		}
	}
	s.register(list)
}

// TestSlowTwice checks that a caller which is slow in two attempts of its request gets the whole
// stream, and that all memory is given back.
func TestSlowTwice(t *testing.T) {
	s, _ := newSlowCluster(t, 90, 136e6)
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, _ *http.Request, last int) {
		if runs.Add(1) == 1 {
			writeEvents(w, last+1, longEventCount/2)
			panic(http.ErrAbortHandler)
		}
		writeEvents(w, last+1, longEventCount)
	}
	s.registerParts(newPartRunner(t, serve), newPartRunner(t, serve))
	c := s.callSlowly(t, "/stream/x", "twice", 20*time.Second)
	if !waitFor(func() bool { return s.relay.Memory.Counts().SlowHeld > 0 }) {
		t.Fatal("the caller is not slow")
	}
	if !waitFor(func() bool { return len(s.relay.State.LocalLoad()) == 0 }) {
		t.Errorf("the runner that broke off is not free: %v", s.relay.State.LocalLoad())
	}
	var got strings.Builder
	part := make([]byte, 8<<10)
	for runs.Load() < 2 {
		_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, err := c.conn.Read(part)
		got.Write(part[:n])
		if err != nil {
			t.Fatal(err)
		}
	}
	if !waitFor(func() bool { return s.relay.Memory.Counts().SlowHeld > 0 }) {
		t.Error("the caller is not slow a second time")
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader(got.String()), c.conn)), nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != longStream() {
		t.Errorf("%d of %d bytes, error %v", len(body), len(longStream()), err)
	}
	if !waitFor(func() bool { return s.relay.Memory.Counts() == MemoryCounts{} }) {
		t.Errorf("memory is not given back: %+v", s.relay.Memory.Counts())
	}
}

// TestCutSparesIdle checks that a caller which was slow, has read all and waits for its runner is
// not cut, however long it waits, but one for which much is held.
func TestCutSparesIdle(t *testing.T) {
	s, _ := newSlowCluster(t, 91, 136e6)
	resume := make(chan struct{})
	resumeOnce := sync.OnceFunc(func() { close(resume) })
	defer resumeOnce()
	s.registerParts(newPartRunner(t, func(w http.ResponseWriter, q *http.Request, _ int) {
		if q.Header.Get("Id") != "idle" {
			writeEvents(w, 0, longEventCount)
			return
		}
		writeEvents(w, 0, longEventCount/2)
		<-resume
		writeEvents(w, longEventCount/2, longEventCount)
	}))
	idle := s.callSlowly(t, "/stream/x", "idle", 30*time.Second)
	waitFor(func() bool { return s.relay.Memory.Counts().Slow == 1 })
	resp, err := http.ReadResponse(bufio.NewReader(idle.conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	stream := longStream()
	begin := strings.Index(stream, fmt.Sprintf("id: %d\n", longEventCount/2))
	if _, err := io.ReadFull(resp.Body, make([]byte, begin)); err != nil {
		t.Fatal(err)
	}
	if !waitFor(func() bool { n := s.relay.Memory.Counts(); return n.Slow == 0 && n.SlowHeld == 0 }) {
		t.Errorf("the caller has read all: %+v", s.relay.Memory.Counts())
	}
	// With the bytes of its request it would outweigh a caller that has just read.
	time.Sleep(3 * time.Second)
	hog := s.callSlowly(t, "/stream/x", "hog", 30*time.Second)
	waitFor(func() bool { return s.relay.Memory.Counts().SlowHeld > 0 })
	time.Sleep(50 * time.Millisecond)
	h := &holding{memory: &s.relay.Memory}
	if !h.take(s.relay.Memory.Budget.Total - s.relay.Memory.Counts().Held + 1) {
		t.Error("no room is made")
	}
	h.release()
	if hog.read().complete || s.relay.Memory.Counts().Cuts != 1 {
		t.Errorf("the caller that holds most is not cut: %+v", s.relay.Memory.Counts())
	}
	resumeOnce()
	if rest, err := io.ReadAll(resp.Body); err != nil || string(rest) != stream[begin:] {
		t.Errorf("the idle caller got %d of %d bytes, error %v", len(rest), len(stream)-begin, err)
	}
}

// TestMigrationOfSlow checks that a request which migrates while its caller is slow keeps no
// place meanwhile, does not go to a runner that has left, and ends with the whole stream.
func TestMigrationOfSlow(t *testing.T) {
	s, _ := newSlowCluster(t, 93, 136e6)
	release := make(chan struct{})
	defer close(release)
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request, last int) {
		if runs.Add(1) > 1 {
			writeEvents(w, last+1, longEventCount)
			return
		}
		writeEvents(w, last+1, longEventCount/2)
		select {
		case <-release:
		case <-q.Context().Done():
		}
	}
	rs := []*partRunner{newPartRunner(t, serve), newPartRunner(t, serve), newPartRunner(t, serve)}
	s.registerParts(rs...)
	c := s.callSlowly(t, "/stream/x", "moves", 20*time.Second)
	waitFor(func() bool { return s.relay.Memory.Counts().SlowHeld >= 100<<10 })
	first := slices.IndexFunc(rs, func(r *partRunner) bool { return r.asked.Load() > 0 })
	left := (first + 1) % len(rs)
	// Of two runners that may be reserved, the one that is reserved leaves.
	s.relay.State.SetSlowRunners("holder", map[string]float64{fmt.Sprint("p", first): 12})
	waitFor(func() bool { return s.relay.State.LocalLoad()[fmt.Sprint("p", first)] == 0 })
	for id, n := range s.relay.State.LocalLoad() {
		t.Errorf("%d places are kept at %s while the caller reads nothing", n, id)
		if i := slices.Index([]string{"p0", "p1", "p2"}, id); i >= 0 && i != first {
			left = i
		}
	}
	remaining := slices.Clone(rs)
	remaining[left] = nil
	s.registerParts(remaining...)
	time.Sleep(100 * time.Millisecond)
	if g := c.read(); !g.complete || g.body != longStream() {
		t.Errorf("the caller got %d of %d bytes, complete: %t", len(g.body), len(longStream()), g.complete)
	}
	if n := rs[left].asked.Load(); n > 0 {
		t.Errorf("p%d was sent %d requests after it had left", left, n)
	}
	if n := runs.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
	if !waitFor(func() bool { return len(s.relay.State.LocalLoad()) == 0 && s.relay.Memory.Counts() == MemoryCounts{} }) {
		t.Errorf("load %v, %+v", s.relay.State.LocalLoad(), s.relay.Memory.Counts())
	}
}

// TestMigrationToLeft checks the same where memory is not limited, so that the caller holds up
// the attempt and the runner that is reserved.
func TestMigrationToLeft(t *testing.T) {
	s, _ := newSlowCluster(t, 95, 0)
	var runs atomic.Int32
	serve := func(w http.ResponseWriter, q *http.Request, last int) {
		if runs.Add(1) > 1 {
			writeEvents(w, last+1, longEventCount)
			return
		}
		writeEvents(w, last+1, longEventCount/2)
		<-q.Context().Done()
	}
	rs := []*partRunner{newPartRunner(t, serve), newPartRunner(t, serve), newPartRunner(t, serve)}
	s.registerParts(rs...)
	c := s.callSlowly(t, "/stream/x", "moves", 20*time.Second)
	time.Sleep(200 * time.Millisecond)
	first := slices.IndexFunc(rs, func(r *partRunner) bool { return r.asked.Load() > 0 })
	s.relay.State.SetSlowRunners("holder", map[string]float64{fmt.Sprint("p", first): 12})
	left := slices.IndexFunc(rs, func(r *partRunner) bool {
		i := slices.Index(rs, r)
		return i != first && s.relay.State.LocalLoad()[fmt.Sprint("p", i)] > 0
	})
	if left < 0 {
		t.Fatalf("no runner is reserved: %v", s.relay.State.LocalLoad())
	}
	remaining := slices.Clone(rs)
	remaining[left] = nil
	s.registerParts(remaining...)
	if g := c.read(); !g.complete || g.body != longStream() {
		t.Errorf("the caller got %d of %d bytes, complete: %t", len(g.body), len(longStream()), g.complete)
	}
	if n := rs[left].asked.Load(); n > 0 {
		t.Errorf("p%d was sent %d requests after it had left", left, n)
	}
	if !waitFor(func() bool { return len(s.relay.State.LocalLoad()) == 0 }) {
		t.Errorf("load %v", s.relay.State.LocalLoad())
	}
}

// TestPausesOfSlowCaller checks that the time for which a full buffer waits for its caller does
// not count as a pause of the runner.
func TestPausesOfSlowCaller(t *testing.T) {
	const slots, pauseTarget, eventSize = 100, 40 * time.Millisecond, 32 << 10
	s, _ := newSlowCluster(t, 96, 136e6)
	for i := range s.fleet.Config.Routes {
		s.fleet.Config.Routes[i].PauseTarget = pauseTarget
	}
	s.registerParts(newPartRunner(t, func(w http.ResponseWriter, _ *http.Request, _ int) {
		for n := range 100 {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", eventSize)); err != nil {
				return
			}
		}
	}))
	c := s.callSlowly(t, "/stream/x", "pauses", 30*time.Second)
	if !waitFor(func() bool { return s.relay.Memory.Counts().SlowHeld >= s.relay.Memory.Budget.PerCaller() }) {
		t.Fatalf("the buffer is not full: %+v", s.relay.Memory.Counts())
	}
	// endInterval ends an interval in which all slots were in use, and returns the limit.
	endInterval := func() float64 {
		s.relay.State.mu.Lock()
		defer s.relay.State.mu.Unlock()
		l := s.relay.State.limiter("s")
		l.EndInterval(pauseTarget, time.Millisecond, slots, slots)
		return l.Limit(slots)
	}
	endInterval()
	for range 24 {
		_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadFull(c.conn, make([]byte, eventSize)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * pauseTarget)
	}
	if limit := endInterval(); limit < slots {
		t.Errorf("the limit of the runner has sunk to %v of %d", limit, slots)
	}
}

// TestSlowHeld checks that what a caller holds up is counted once however often it is registered,
// without its request, and only while it is slow.
func TestSlowHeld(t *testing.T) {
	const body, answer = 1 << 10, 8 << 10
	m := Memory{Budget: chivebudget.ForMemory(136e6)}
	h := &holding{memory: &m}
	if !h.admit(body) || !h.addBody(body) {
		t.Fatal("the request is refused")
	}
	h.take(answer)
	tests := []struct {
		give string
		do   func()
		want MemoryCounts
	}{
		{"not slow", func() {}, MemoryCounts{Held: requestSize + body + answer}},
		{"slow", h.noteSlow, MemoryCounts{Held: requestSize + body + answer, Slow: 1, SlowHeld: answer}},
		{"slow again", h.noteSlow, MemoryCounts{Held: requestSize + body + answer, Slow: 1, SlowHeld: answer}},
		{"more waits", func() { h.take(answer) }, MemoryCounts{Held: requestSize + body + 2*answer, Slow: 1, SlowHeld: 2 * answer}},
		{"has read some", func() { h.addAnswer(-answer) }, MemoryCounts{Held: requestSize + body + answer, Slow: 1, SlowHeld: answer}},
		{"has read all", func() { h.setSlow(false) }, MemoryCounts{Held: requestSize + body + answer}},
		{"has read all again", func() { h.setSlow(false) }, MemoryCounts{Held: requestSize + body + answer}},
		{"slow once more", h.noteSlow, MemoryCounts{Held: requestSize + body + answer, Slow: 1, SlowHeld: answer}},
		{"end", h.release, MemoryCounts{}},
		{"end again", h.release, MemoryCounts{}},
	}
	for _, tt := range tests {
		tt.do()
		if got := m.Counts(); got != tt.want {
			t.Errorf("%s: %+v, want %+v", tt.give, got, tt.want)
		}
	}
}
