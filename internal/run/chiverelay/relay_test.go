package chiverelay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// testDialect uses short headers of its own.
type testDialect struct{}

func (testDialect) Request(r *http.Request) (Request, error) {
	q := Request{ID: r.Header.Get("Id"), Key: r.Header.Get("Key"), LastEvent: -1, Timeout: 5 * time.Second}
	if q.ID == "" {
		return q, errors.New("id is missing")
	}
	if text := r.Header.Get("Deadline"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return q, err
		}
		q.Timeout = d
	}
	return q, nil
}

func (testDialect) Outgoing(in http.Header, o RunnerRequest) http.Header {
	h := http.Header{"Id": in["Id"], "Runner": {o.Runner}, "Left": {o.TimeLeft.String()}, "Workspace": {o.Workspace}}
	h.Set("Last", strconv.FormatInt(o.LastEvent, 10))
	return h
}

func (testDialect) Matches(id string, resp *http.Response) bool {
	got := resp.Header.Get("Id")
	return got == id || got == "" && resp.StatusCode >= http.StatusBadRequest
}

func (testDialect) Answer(resp *http.Response) Response {
	return Response{Signed: resp.Header.Get("Signature") != "", NotRun: resp.Header.Get("Notrun") != ""}
}

func (testDialect) Returned(to, from http.Header) {
	for _, name := range []string{"Id", "Signature"} {
		to[name] = from[name]
	}
}

func (testDialect) Refuse(h http.Header, after time.Duration) {
	h.Set("After", after.String())
}

// The faultCount of a runner.
const (
	faultNone = iota
	// faultBusy refuses without running.
	faultBusy
	// faultNoResponse runs and closes without an answer.
	faultNoResponse
	// faultReset runs and resets the connection.
	faultReset
	// faultGarbage runs and sends bytes that are no answer.
	faultGarbage
	// faultExtraResponse answers and sends the answer to another request, too.
	faultExtraResponse
	// faultForeignResponse sends the answer to another request first.
	faultForeignResponse
	// faultUnframed ends its answer with the connection.
	faultUnframed
	// faultTruncated ends its answer before its length.
	faultTruncated
	// faultServerError runs and answers with a failure of its own.
	faultServerError
	// faultUnsigned answers without a signature.
	faultUnsigned
	faultCount
)

// runner is an endpoint with faults, by raw connections.
type runner struct {
	listener  net.Listener
	mu        sync.Mutex
	rand      *rand.Rand
	faultRate float64
	runs      map[string]int
	// eventCount is the number of events of a stream.
	eventCount int64
	delay      time.Duration
	// pause is the time between two events.
	pause time.Duration
}

func newRunner(t testing.TB, seed uint64, faulty float64) *runner {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &runner{listener: l, rand: rand.New(rand.NewPCG(seed, 1)), faultRate: faulty, runs: map[string]int{}, eventCount: 12}
	t.Cleanup(func() { _ = l.Close() })
	go r.accept()
	return r
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *runner) drawFault() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rand.Float64() >= r.faultRate {
		return faultNone
	}
	return 1 + r.rand.IntN(faultCount-1)
}

func (r *runner) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if !r.respond(c, q, body) {
			return
		}
	}
}

// countRun notes that the request runs.
func (r *runner) countRun(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *runner) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// responseBody is the body of the whole answer to a request.
func responseBody(id string) string {
	return strings.Repeat("answer to "+id+";", 20)
}

// respond reports whether the connection stays open.
func (r *runner) respond(c net.Conn, q *http.Request, _ []byte) bool {
	id, fault := q.Header.Get("Id"), r.drawFault()
	if fault == faultBusy {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	r.countRun(id)
	time.Sleep(r.delay)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		return r.stream(c, q, fault)
	}
	whole := func(id string) string {
		b := responseBody(id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(b), b)
	}
	text, open := whole(id), true
	switch fault {
	case faultNoResponse:
		return false
	case faultReset:
		reset(c)
		return false
	case faultGarbage:
		text, open = "\x00\x01 nonsense\r\n\r\n", false
	case faultExtraResponse:
		text += whole("stranger")
	case faultForeignResponse:
		text = whole("stranger") + text
	case faultUnframed:
		text, open = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\n\r\n%s", id, responseBody(id)), false
	case faultTruncated:
		text, open = text[:len(text)-7], false
	case faultServerError:
		text = fmt.Sprintf("HTTP/1.1 500 Failed\r\nId: %s\r\nSignature: s\r\nContent-Length: 3\r\n\r\nbad", id)
	case faultUnsigned:
		text = strings.Replace(text, "Signature: s\r\n", "", 1)
	}
	_, err := io.WriteString(c, text)
	return err == nil && open
}

// stream sends events after the last that the caller has.
func (r *runner) stream(c net.Conn, q *http.Request, fault int) bool {
	last, err := strconv.ParseInt(q.Header.Get("Last"), 10, 64)
	if err != nil {
		return false
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("Id"))
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	breakAt := int64(-1)
	if fault == faultNoResponse || fault == faultReset || fault == faultTruncated {
		r.mu.Lock()
		breakAt = r.rand.Int64N(r.eventCount)
		r.mu.Unlock()
	}
	for i := last + 1; i < r.eventCount; i++ {
		time.Sleep(r.pause)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, q.Header.Get("Id"))
		if i == breakAt {
			if fault == faultTruncated {
				event = event[:len(event)/2]
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			}
			if fault == faultReset {
				reset(c)
			}
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err = io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// reset makes the peer see a reset rather than an end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// testCluster is a relay before some runners.
type testCluster struct {
	relay   *Relay
	server  *httptest.Server
	runners []*runner
	mu      sync.Mutex
	fleet   *chivefleet.Fleet
}

func newTestCluster(t testing.TB, seed uint64, faulty float64) *testCluster {
	t.Helper()
	s := &testCluster{}
	config := &chivefleet.Config{
		Version: 1, Services: map[string]*chivefleet.Service{"s": {Name: "s"}},
		Workspaces: []chivefleet.Workspace{{Name: "w", Keys: []string{"k"}}},
	}
	targets := []chivefleet.Target{{Service: "s", Weight: 1}}
	config.Routes = []chivefleet.Route{
		{Name: "once", Host: "127.0.0.1", Prefix: "/once/", Kind: chivefleet.NonIdempotent, Targets: targets, MaxAttempts: 3},
		{Name: "any", Host: "127.0.0.1", Prefix: "/any/", Kind: chivefleet.Idempotent, Targets: targets, MaxAttempts: 3},
		{Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Kind: chivefleet.Streaming, Targets: targets, MaxAttempts: 4, Resumable: true},
	}
	if err := config.Index(); err != nil {
		t.Fatal(err)
	}
	list := map[string]*chivefleet.Runner{}
	for i := range 3 {
		r := newRunner(t, seed*10+uint64(i), faulty)
		s.runners = append(s.runners, r)
		id := fmt.Sprint("r", i)
		list[id] = &chivefleet.Runner{ID: id, Service: "s", Address: r.listener.Addr().String(), Slots: 100}
	}
	s.fleet = &chivefleet.Fleet{Config: config, Runners: chivefleet.GroupByService(list), ConfigConfirmedAt: chiveclock.Now()}
	s.relay = &Relay{
		Dialect: testDialect{}, State: NewRunnerState("e", RetryLimits{RetryRatio: 1, RetrySlack: 1000, RetryWindow: 10 * time.Second}),
		Pool: &chiverunner.Pool{}, Log: log.New(io.Discard), ConfigMaxAge: time.Minute,
		Fleet: func() *chivefleet.Fleet {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.fleet
		},
	}
	s.server = httptest.NewServer(s.relay)
	t.Cleanup(s.server.Close)
	return s
}

func (s *testCluster) runs(id string) int {
	n := 0
	for _, r := range s.runners {
		n += r.runsOf(id)
	}
	return n
}

// callerResult is what a caller sees.
type callerResult struct {
	status   int
	header   http.Header
	body     string
	complete bool
}

func (s *testCluster) send(ctx context.Context, t *testing.T, path, id, body string) callerResult {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", id)
	req.Header.Set("Key", "k")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callerResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return callerResult{status: resp.StatusCode, header: resp.Header, body: string(data), complete: err == nil}
}

// TestRunnerFaults sends requests of each kind to runners that fail in every way, and
// checks the promises from what callers and runners saw.
func TestRunnerFaults(t *testing.T) {
	for _, faulty := range []float64{0, 0.3, 0.8} {
		t.Run(fmt.Sprint("faulty ", faulty), func(t *testing.T) {
			s := newTestCluster(t, 1+uint64(faulty*10), faulty)
			var asking sync.WaitGroup
			for i := range 240 {
				asking.Go(func() {
					kind := []string{"once", "any", "stream"}[i%3]
					id := fmt.Sprintf("%s-%d", kind, i)
					checkResult(t, s, kind, id, s.send(t.Context(), t, "/"+kind+"/x", id, "body"))
				})
				if i%20 == 19 {
					asking.Wait()
				}
			}
			asking.Wait()
		})
	}
}

func checkResult(t *testing.T, s *testCluster, kind, id string, g callerResult) {
	t.Helper()
	runs := s.runs(id)
	if kind == "once" && runs > 1 {
		t.Errorf("%s ran %d times", id, runs)
	}
	if (g.status == http.StatusServiceUnavailable || g.status == http.StatusTooManyRequests) && runs > 0 {
		t.Errorf("%s was refused with %d and ran", id, g.status)
	}
	if g.status == http.StatusServiceUnavailable && g.header.Get("After") == "" {
		t.Errorf("%s was refused without a time to come back", id)
	}
	if g.status != http.StatusOK {
		return
	}
	if g.header.Get("Id") != id || g.header.Get("Signature") != "s" {
		t.Errorf("%s got the header %v", id, g.header)
	}
	want := responseBody(id)
	if kind == "stream" {
		want = ""
		for i := range int64(12) {
			want += fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id)
		}
	}
	if g.complete && g.body != want {
		t.Errorf("%s got a whole answer of %q", id, g.body)
	}
	if !g.complete && !strings.HasPrefix(want, g.body) {
		t.Errorf("%s got the pieces %q", id, g.body)
	}
}

// TestCallerDisconnect ends the runner's work soon after the caller has left, also
// before the first byte.
func TestCallerDisconnect(t *testing.T) {
	s := newTestCluster(t, 5, 0)
	for _, r := range s.runners {
		r.delay = 300 * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if g := s.send(ctx, t, "/any/x", "left", ""); g.status != 0 {
		t.Fatalf("got %d", g.status)
	}
	time.Sleep(100 * time.Millisecond)
	if busy := s.relay.State.LocalLoad(); len(busy) > 0 {
		t.Errorf("requests are still counted at %v", busy)
	}
}

// TestKeyAdmission admits requests only under keys that are known and fresh.
func TestKeyAdmission(t *testing.T) {
	s := newTestCluster(t, 6, 0)
	now := chiveclock.Now()
	without := &chivefleet.Config{Version: 2, Services: s.fleet.Config.Services, Routes: s.fleet.Config.Routes, Workspaces: []chivefleet.Workspace{{Name: "w", Keys: []string{"other"}}}}
	if err := without.Index(); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		give  string
		fleet chivefleet.Fleet
		path  string
		want  int
	}{
		{"fresh", chivefleet.Fleet{Config: s.fleet.Config, ConfigConfirmedAt: now}, "/any/x", http.StatusOK},
		{"stale", chivefleet.Fleet{Config: s.fleet.Config, ConfigConfirmedAt: now.Add(-2 * time.Minute)}, "/any/x", http.StatusServiceUnavailable},
		{"never confirmed", chivefleet.Fleet{Config: s.fleet.Config}, "/any/x", http.StatusServiceUnavailable},
		{"no configuration", chivefleet.Fleet{}, "/any/x", http.StatusServiceUnavailable},
		{"key was taken away", chivefleet.Fleet{Config: without, ConfigConfirmedAt: now}, "/any/x", http.StatusUnauthorized},
		{"no route", chivefleet.Fleet{Config: s.fleet.Config, ConfigConfirmedAt: now}, "/none/x", http.StatusNotFound},
		{"no route as far as known", chivefleet.Fleet{Config: s.fleet.Config}, "/none/x", http.StatusServiceUnavailable},
	}
	runners := s.fleet.Runners
	for i, tt := range tests {
		tt.fleet.Runners = runners
		s.mu.Lock()
		s.fleet = &tt.fleet
		s.mu.Unlock()
		id := fmt.Sprint("key-", i)
		if g := s.send(t.Context(), t, tt.path, id, ""); g.status != tt.want {
			t.Errorf("%s: status %d, want %d", tt.give, g.status, tt.want)
		}
	}
}

// TestRouteTimeout answers in time when a runner does not.
func TestRouteTimeout(t *testing.T) {
	s := newTestCluster(t, 7, 0)
	for _, r := range s.runners {
		r.delay = 2 * time.Second
	}
	for i := range s.fleet.Config.Routes {
		s.fleet.Config.Routes[i].Timeout = 150 * time.Millisecond
	}
	began := time.Now()
	g := s.send(t.Context(), t, "/once/x", "slow", "")
	if took := time.Since(began); g.status != http.StatusGatewayTimeout || took > 600*time.Millisecond {
		t.Errorf("status %d after %v", g.status, took)
	}
}

// TestLargeBody passes a body of megabytes on unchanged.
func TestLargeBody(t *testing.T) {
	s := newTestCluster(t, 8, 0)
	body := string(bytes.Repeat([]byte("0123456789abcdef"), 200_000))
	if g := s.send(t.Context(), t, "/once/x", "long", body); g.status != http.StatusOK || g.body != responseBody("long") {
		t.Errorf("status %d", g.status)
	}
}
