package chiverelay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// unreadTime is how long a long runner waits for its answer to be read: some seconds.
	unreadTime = 2 * time.Second
	// longEventSize and longEventCount give the size of the streams of a long runner, which
	// exceed what the sockets between a runner and a caller hold.
	longEventSize, longEventCount = 4 << 10, 160
	// socketSize is the size of the socket buffers of long runners and slow callers.
	socketSize = 16 << 10
	// soundTries is how often a caller that reads at once sends its request if it is refused.
	soundTries = 5
)

// longRunner is a runner with few slots that answers with long streams, and cuts off those that
// stay unread for unreadTime, or for a time of its own.
type longRunner struct {
	server     *httptest.Server
	slots      int32
	unreadTime time.Duration
	// cutOff counts the answers that were not read, ended the streams that were read to
	// their end.
	running, cutOff, ended atomic.Int32
	// ran holds the ids of the requests that have run.
	ran sync.Map
}

// longEvent returns event n of the stream of a long runner.
func longEvent(n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat(string(rune('a'+n%26)), longEventSize))
}

// longStream returns the whole stream of a long runner.
func longStream() string {
	var b strings.Builder
	for n := range longEventCount {
		b.WriteString(longEvent(n))
	}
	return b.String()
}

func newLongRunner(t *testing.T, slots int32) *longRunner {
	t.Helper()
	r := &longRunner{slots: slots, unreadTime: unreadTime}
	r.server = httptest.NewUnstartedServer(r)
	r.server.Config.ConnState = func(c net.Conn, s http.ConnState) {
		if tcp, ok := c.(*net.TCPConn); ok && s == http.StateNew {
			_ = tcp.SetWriteBuffer(socketSize)
		}
	}
	r.server.Start()
	t.Cleanup(r.server.Close)
	return r
}

// ServeHTTP implements http.Handler.
func (r *longRunner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if r.running.Add(1) > r.slots {
		r.running.Add(-1)
		w.Header().Set("Notrun", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer r.running.Add(-1)
	r.ran.Store(q.Header.Get("Id"), true)
	w.Header().Set("Id", q.Header.Get("Id"))
	w.Header().Set("Signature", "s")
	if strings.HasSuffix(q.URL.Path, "/short") {
		_, _ = io.WriteString(w, longEvent(0))
		return
	}
	c := http.NewResponseController(w)
	if strings.HasPrefix(q.URL.Path, "/any/") {
		_ = c.SetWriteDeadline(time.Now().Add(r.unreadTime))
		r.count(io.WriteString(w, longStream()))
		return
	}
	for n := range longEventCount {
		_ = c.SetWriteDeadline(time.Now().Add(r.unreadTime))
		_, err := io.WriteString(w, longEvent(n))
		if err == nil {
			err = c.Flush()
		}
		if err != nil {
			r.count(0, err)
			return
		}
	}
	r.ended.Add(1)
}

// count counts an answer by the result of writing it. One whose reader leaves counts as neither.
func (r *longRunner) count(_ int, err error) {
	switch {
	case err == nil:
		r.ended.Add(1)
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.cutOff.Add(1)
	}
}

// newSlowCluster starts a relay with a limit on its memory before long runners with the given
// numbers of slots.
func newSlowCluster(t *testing.T, seed uint64, memory int64, slots ...int32) (*testCluster, []*longRunner) {
	t.Helper()
	s := newTestCluster(t, seed, 0)
	s.server.Close()
	s.relay.Memory.Budget = chivebudget.ForMemory(memory)
	s.server = httptest.NewUnstartedServer(s.relay)
	s.server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetWriteBuffer(socketSize)
		}
		return WithConn(ctx, c)
	}
	s.server.Start()
	t.Cleanup(s.server.Close)
	list := map[string]*chivefleet.Runner{}
	var runners []*longRunner
	for i, n := range slots {
		r := newLongRunner(t, n)
		runners = append(runners, r)
		id := fmt.Sprint("l", i)
		list[id] = &chivefleet.Runner{ID: id, Service: "s", Address: r.server.Listener.Addr().String(), Slots: int(n)}
	}
	s.register(list)
	return s, runners
}

// slowCaller is a caller that reads nothing until it is told to.
type slowCaller struct {
	conn net.Conn
}

// callSlowly sends a request and reads nothing of the response.
func (s *testCluster) callSlowly(t *testing.T, path, id string, deadline time.Duration) *slowCaller {
	t.Helper()
	c, err := net.Dial("tcp4", s.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(socketSize)
	}
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: %s\r\nKey: k\r\nDeadline: %v\r\nContent-Length: 4\r\n\r\nbody", path, id, deadline); err != nil {
		t.Fatal(err)
	}
	return &slowCaller{conn: c}
}

// read reads the response to its end.
func (c *slowCaller) read() callerResult {
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return callerResult{}
	}
	data, err := io.ReadAll(resp.Body)
	return callerResult{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

// waitFor waits until the condition holds, for five seconds at most, and reports whether it does.
func waitFor(condition func() bool) bool {
	for range 500 {
		if condition() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return condition()
}

// TestSlowCallerDoesNotHoldRunner checks that the answer to a caller that reads nothing at first
// is read to its end, that the runner is then free, and that the caller gets all of it later. Its
// twin is a relay without a limit on memory, which writes to the caller before it reads on.
func TestSlowCallerDoesNotHoldRunner(t *testing.T) {
	for _, tt := range []struct {
		path   string
		memory int64
		want   bool
	}{
		{"/stream/x", 136e6, true},
		{"/any/x", 136e6, true},
		{"/stream/x", 0, false},
	} {
		s, runners := newSlowCluster(t, 70, tt.memory, 1)
		r := runners[0]
		c := s.callSlowly(t, tt.path, "slow", 10*time.Second)
		waitFor(func() bool { return r.ended.Load()+r.cutOff.Load() > 0 })
		if got := r.ended.Load() == 1 && r.cutOff.Load() == 0; got != tt.want {
			t.Errorf("%s, memory %d: %d answers ended, %d were cut off", tt.path, tt.memory, r.ended.Load(), r.cutOff.Load())
		}
		if free := waitFor(func() bool { return len(s.relay.State.LocalLoad()) == 0 }); free != tt.want {
			t.Errorf("%s, memory %d: the runner is free: %t", tt.path, tt.memory, free)
		}
		if !tt.want {
			continue
		}
		if g := c.read(); !g.complete || g.body != longStream() {
			t.Errorf("%s: the caller got %d bytes, complete: %t", tt.path, len(g.body), g.complete)
		}
		if !waitFor(func() bool { return s.relay.Memory.Counts() == MemoryCounts{} }) {
			t.Errorf("%s: memory is not given back: %+v", tt.path, s.relay.Memory.Counts())
		}
	}
}

// TestManySlowCallers answers a load of 200 callers that read nothing of long answers, at an
// entry VM with 136 MB: sound callers are served as without them, what is held stays within the
// budget, and no answer stays at its runner until its caller reads. Its twin, without a limit on memory, serves them
// worse.
func TestManySlowCallers(t *testing.T) {
	for _, limited := range []bool{true, false} {
		memory := int64(0)
		if limited {
			memory = 136e6
		}
		s, runners := newSlowCluster(t, 71, memory, 8, 8)
		for _, r := range runners {
			// Answers end because they are read, not after a time.
			r.unreadTime = time.Minute
		}
		var callers sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		for i := range 200 {
			callers.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					c := s.callSlowly(t, "/stream/x", fmt.Sprintf("slow-%d-%d", i, k), 20*time.Second)
					_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
					// Refused callers come back, others wait for the end of the test.
					head := make([]byte, 12)
					if _, err := io.ReadFull(c.conn, head); err == nil && string(head[9:]) == "200" {
						<-ctx.Done()
					}
					_ = c.conn.Close()
				}
			})
		}
		time.Sleep(time.Second)
		served, count := 0, 40
		if !limited {
			count = 3
		}
		var peak int64
		for i := range count {
			// Callers come back after a refusal, as the slow ones do.
			for range soundTries {
				g := s.send(t.Context(), t, "/any/short", fmt.Sprint("sound-", i), "body")
				if g.status == http.StatusOK && g.complete {
					served++
				}
				if g.status != http.StatusServiceUnavailable {
					break
				}
				time.Sleep(retryAfter)
			}
			peak = max(peak, s.relay.Memory.Counts().Held)
			time.Sleep(20 * time.Millisecond)
		}
		// The slow callers have read nothing yet.
		read := waitFor(func() bool { return runners[0].running.Load()+runners[1].running.Load() == 0 })
		var cutOff, ended int32
		for _, r := range runners {
			cutOff, ended = cutOff+r.cutOff.Load(), ended+r.ended.Load()
		}
		t.Logf("limited %t: %d of %d served, at most %d KB held, %d answers read, %d cut off, none left: %t", limited, served, count, peak>>10, ended, cutOff, read)
		if limited && (served < count*98/100 || !read || cutOff > 0 || peak > s.relay.Memory.Budget.Total) {
			t.Errorf("%d of %d sound callers are served, %d answers cut off, none left: %t, %d of %d bytes held", served, count, cutOff, read, peak, s.relay.Memory.Budget.Total)
		}
		if !limited && served >= count*98/100 && read && cutOff == 0 {
			t.Error("the twin serves as well")
		}
		cancel()
		callers.Wait()
		if !waitFor(func() bool { return s.relay.Memory.Counts().Held == 0 }) {
			t.Errorf("memory is not given back: %+v", s.relay.Memory.Counts())
		}
	}
}

// TestSlowCallersAreCut checks what happens when the memory for callers is spent: the caller that
// holds most and has not read is cut, its response does not look complete, callers that read are
// served, and further requests are refused and do not run.
func TestSlowCallersAreCut(t *testing.T) {
	const memory = 20e6
	s, runners := newSlowCluster(t, 72, memory, 100)
	budget := s.relay.Memory.Budget
	var list []*slowCaller
	for i := range 12 {
		list = append(list, s.callSlowly(t, "/any/x", fmt.Sprint("slow-", i), 10*time.Second))
		time.Sleep(100 * time.Millisecond)
	}
	if n := s.relay.Memory.Counts(); n.Cuts+n.Refusals == 0 || n.Held > budget.Total {
		t.Errorf("budget of %d bytes: %+v", budget.Total, n)
	}
	complete, cut, refused := 0, 0, 0
	for i, c := range list {
		switch g := c.read(); {
		case g.status == http.StatusServiceUnavailable:
			refused++
			if _, ran := runners[0].ran.Load(fmt.Sprint("slow-", i)); ran {
				t.Errorf("caller %d was refused and its request has run", i)
			}
		case g.complete && g.body == longStream():
			complete++
		case g.complete:
			t.Errorf("caller %d got %d bytes that look complete", i, len(g.body))
		default:
			cut++
		}
	}
	if int64(cut) > s.relay.Memory.Counts().Cuts || complete == 0 || refused+cut == 0 {
		t.Errorf("%d complete, %d cut, %d refused: %+v", complete, cut, refused, s.relay.Memory.Counts())
	}
}

// TestCutOrder checks that a spent budget resets the slow caller with the largest product of
// bytes and time, and that its request ends without a complete answer.
func TestCutOrder(t *testing.T) {
	s, _ := newSlowCluster(t, 73, 136e6, 100)
	first := s.callSlowly(t, "/stream/x", "first", 10*time.Second)
	waitFor(func() bool { return s.relay.Memory.Counts().Slow == 1 })
	second := s.callSlowly(t, "/stream/x", "second", 10*time.Second)
	waitFor(func() bool { return s.relay.Memory.Counts().Slow == 2 })
	time.Sleep(100 * time.Millisecond)
	h := &holding{memory: &s.relay.Memory}
	if !h.take(s.relay.Memory.Budget.Total - s.relay.Memory.Counts().Held + 1) {
		t.Error("no room is made")
	}
	if g := second.read(); !g.complete || g.body != longStream() {
		t.Errorf("the later caller got %d bytes, complete: %t", len(g.body), g.complete)
	}
	if g := first.read(); g.complete {
		t.Error("the response of the caller that was cut looks complete")
	}
	if n := s.relay.Memory.Counts().Cuts; n != 1 {
		t.Errorf("%d callers are cut", n)
	}
	h.release()
}

// TestFullBuffer checks that no more is held for a caller than its bound while its runner has more
// to send, and that the work of the runner ends within half a second once the caller leaves or
// the deadline of its request has passed.
func TestFullBuffer(t *testing.T) {
	const deadline = 3 * time.Second
	for _, leaves := range []bool{true, false} {
		s, _ := newSlowCluster(t, 74, 136e6)
		ended := make(chan time.Time, 1)
		s.registerParts(newPartRunner(t, func(w http.ResponseWriter, q *http.Request, _ int) {
			context.AfterFunc(q.Context(), func() { ended <- time.Now() })
			// More than the bound and the sockets take.
			writeEvents(w, 0, 4*longEventCount)
			<-q.Context().Done()
		}))
		start := time.Now()
		c := s.callSlowly(t, "/stream/x", "full", deadline)
		perCaller := s.relay.Memory.Budget.PerCaller()
		if !waitFor(func() bool { return s.relay.Memory.Counts().SlowHeld >= perCaller }) {
			t.Errorf("leaves %t: the buffer is not full: %+v", leaves, s.relay.Memory.Counts())
		}
		time.Sleep(200 * time.Millisecond)
		if n := s.relay.Memory.Counts(); n.SlowHeld > perCaller+2*blockSize {
			t.Errorf("leaves %t: %d bytes are held, the bound is %d", leaves, n.SlowHeld, perCaller)
		}
		want := start.Add(deadline)
		if leaves {
			want = time.Now()
			_ = c.conn.Close()
		}
		select {
		case at := <-ended:
			if late := at.Sub(want); late > 500*time.Millisecond || late < -500*time.Millisecond {
				t.Errorf("leaves %t: the work of the runner ended after %v", leaves, late)
			}
		case <-time.After(2 * deadline):
			t.Errorf("leaves %t: the work of the runner goes on", leaves)
		}
		if !leaves && c.read().complete {
			t.Error("the response looks complete")
		}
		_ = c.conn.Close()
		if !waitFor(func() bool { return s.relay.Memory.Counts() == MemoryCounts{} }) {
			t.Errorf("leaves %t: memory is not given back: %+v", leaves, s.relay.Memory.Counts())
		}
	}
}

// TestCutWhileIdle checks that the response to a caller that is cut while the relay waits for the
// runner does not look complete, and that the request is not sent again.
func TestCutWhileIdle(t *testing.T) {
	for _, tt := range []struct {
		give string
		end  func(q *http.Request)
	}{
		{"the runner ends its stream", func(*http.Request) {}},
		{"the runner breaks off", func(*http.Request) { panic(http.ErrAbortHandler) }},
		{"the runner sends no more", func(q *http.Request) { <-q.Context().Done() }},
	} {
		s, _ := newSlowCluster(t, 78, 136e6)
		cut := make(chan struct{})
		serve := func(w http.ResponseWriter, q *http.Request, last int) {
			writeEvents(w, last+1, longEventCount)
			<-cut
			tt.end(q)
		}
		first, second := newPartRunner(t, serve), newPartRunner(t, serve)
		s.registerParts(first, second)
		c := s.callSlowly(t, "/stream/x", "cut", 10*time.Second)
		waitFor(func() bool { return s.relay.Memory.Counts().Slow == 1 })
		s.relay.Memory.mu.Lock()
		h := slices.Collect(maps.Keys(s.relay.Memory.slow))[0]
		s.relay.Memory.mu.Unlock()
		resp, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(resp.Body, make([]byte, len(longStream()))); err != nil {
			t.Fatal(err)
		}
		waitFor(func() bool { return s.relay.Memory.Counts().Slow == 0 })
		// As if it had just read when it was chosen.
		s.relay.Memory.mu.Lock()
		h.cutCaller()
		s.relay.Memory.mu.Unlock()
		close(cut)
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: the response looks complete", tt.give)
		}
		if n := first.asked.Load() + second.asked.Load(); n != 1 {
			t.Errorf("%s: %d attempts", tt.give, n)
		}
		if !waitFor(func() bool { return len(s.relay.State.LocalLoad()) == 0 && s.relay.Memory.Counts() == MemoryCounts{} }) {
			t.Errorf("%s: load %v, %+v", tt.give, s.relay.State.LocalLoad(), s.relay.Memory.Counts())
		}
	}
}

// TestBodiesCount checks that the memory of request bodies is limited: callers that send long
// bodies slowly are refused once it is spent, and short requests before that are served.
func TestBodiesCount(t *testing.T) {
	s := newTestCluster(t, 75, 0)
	s.relay.Memory.Budget = chivebudget.ForMemory(16e6)
	total := s.relay.Memory.Budget.Total
	const bodySize = 512 << 10
	var open []net.Conn
	for i := range 12 {
		c, err := net.Dial("tcp4", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: body-%d\r\nKey: k\r\nContent-Length: %d\r\n\r\n%s", i, bodySize, strings.Repeat("x", bodySize-1)); err != nil {
			break
		}
		open = append(open, c)
		time.Sleep(20 * time.Millisecond)
	}
	n := s.relay.Memory.Counts()
	if n.Held > total || n.Refusals == 0 {
		t.Errorf("%+v of %d bytes", n, total)
	}
	if g := s.send(t.Context(), t, "/once/x", "refused", strings.Repeat("y", bodySize)); g.status != http.StatusServiceUnavailable && g.status != 0 {
		t.Errorf("status %d without memory", g.status)
	}
	for _, c := range open {
		_ = c.Close()
	}
	if !waitFor(func() bool { return s.relay.Memory.Counts().Held == 0 }) {
		t.Errorf("memory is not given back: %+v", s.relay.Memory.Counts())
	}
	if g := s.send(t.Context(), t, "/once/x", "after", "body"); g.status != http.StatusOK {
		t.Errorf("status %d with memory", g.status)
	}
	if s.runs("refused") > 0 {
		t.Error("a refused request has run")
	}
}

// TestRunnerThatReadsNothing checks that a request to a runner that accepts connections and reads
// nothing ends at its deadline, and that requests to others go on meanwhile.
func TestRunnerThatReadsNothing(t *testing.T) {
	for _, size := range []int{4, 3 << 20} {
		s := newTestCluster(t, 76, 0)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		deaf, sound := &chivefleet.Runner{ID: "deaf", Service: "s", Address: l.Addr().String(), Slots: 4}, s.runners[0]
		s.register(map[string]*chivefleet.Runner{"deaf": deaf})
		const deadline = 500 * time.Millisecond
		ended := make(chan time.Duration, 1)
		before := runtime.NumGoroutine()
		go func() {
			start := time.Now()
			req, _ := http.NewRequestWithContext(context.WithoutCancel(t.Context()), http.MethodPost, s.server.URL+"/once/x", strings.NewReader(strings.Repeat("x", size)))
			req.Header = http.Header{"Id": {"deaf"}, "Key": {"k"}, "Deadline": {deadline.String()}}
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
			ended <- time.Since(start)
		}()
		time.Sleep(100 * time.Millisecond)
		s.register(map[string]*chivefleet.Runner{"r0": {ID: "r0", Service: "s", Address: sound.listener.Addr().String(), Slots: 4}})
		if g := s.send(t.Context(), t, "/once/x", "sound", "body"); g.status != http.StatusOK {
			t.Errorf("%d bytes: status %d at a sound runner", size, g.status)
		}
		if took := <-ended; took > deadline+300*time.Millisecond {
			t.Errorf("%d bytes: ended after %v", size, took)
		}
		http.DefaultClient.CloseIdleConnections()
		if !waitFor(func() bool { return runtime.NumGoroutine() <= before+6 }) {
			t.Errorf("%d bytes: goroutines remain", size)
		}
	}
}
