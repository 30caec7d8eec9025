package chiveplatform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chiveyoke/chiveyoke/platform"
)

// The bounds and ports of a site.
const (
	shutdownGrace   = 6 * time.Second
	revocationBound = 5 * time.Second
	callerPort      = 21001
	readinessPort   = 21002
	directoryPort   = 21003
	internalPortMin = 21010
	internalPortMax = 21019
	runnerPort      = 21030
	storePort       = 21040
	headerTimeout   = 5 * time.Second
)

// Zones are those of a site.
var Zones = []string{"a", "b", "c"}

// A Site is the stand-in of the platform with entry VMs as processes, each at a
// loopback address of its own.
type Site struct {
	Store   *Store
	Runners []*Runner
	// Links are those to the runners.
	Links    []*Proxy
	EntryVMs []*EntryVM
	// Dir holds settings and logs.
	Dir string

	program string
	net     byte
	version int
	servers []*http.Server
	// listeners are those of the links.
	listeners []net.Listener
}

// An EntryVM is an entry VM.
type EntryVM struct {
	Name string
	Zone string
	IP   string
	// LogPath is the file with its lines.
	LogPath string

	site *Site
	// restartMu is held while the process ends and starts again.
	restartMu sync.Mutex
	// mu guards cmd and done, which a new start replaces.
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// current returns the process that was started last; it is nil before any.
func (e *EntryVM) current() (*exec.Cmd, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd, e.done
}

// NewSite returns a new Site whose addresses are in 127.n.0.0/16, with the store
// and runners running. Program is the daemon of entry VMs.
func NewSite(dir, program string, n byte, entries, runners int) (*Site, error) {
	s := &Site{Store: NewStore(), Dir: dir, program: program, net: n}
	if err := s.listen(s.ip(200, 1), storePort, s.Store); err != nil {
		return nil, err
	}
	for i := range runners {
		r := NewRunner(fmt.Sprintf("i-%d", i), Zones[i%len(Zones)], 24)
		if err := s.listen(s.ip(101, i+1), runnerPort, r); err != nil {
			return nil, errors.Join(err, s.Close())
		}
		l, err := net.Listen("tcp4", s.runnerAddress(i))
		if err != nil {
			return nil, errors.Join(err, s.Close())
		}
		s.listeners = append(s.listeners, l)
		s.Links = append(s.Links, NewProxy(l, fmt.Sprintf("%s:%d", s.ip(101, i+1), runnerPort)))
		s.Runners = append(s.Runners, r)
		if err := s.RegisterRunner(i, "ready"); err != nil {
			return nil, errors.Join(err, s.Close())
		}
	}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		s.EntryVMs = append(s.EntryVMs, &EntryVM{
			Name: name, Zone: Zones[i%len(Zones)], IP: s.ip(1, i+1), LogPath: filepath.Join(dir, name+".log"), site: s,
		})
	}
	return s, nil
}

func (s *Site) ip(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.net, kind, n)
}

// runnerAddress is that of the link to a runner.
func (s *Site) runnerAddress(i int) string {
	return fmt.Sprintf("%s:%d", s.ip(100, i+1), runnerPort)
}

func (s *Site) listen(ip string, port int, h http.Handler) error {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic("stand-in: " + err.Error())
		}
	}()
	return nil
}

// RegisterRunner writes the entry of a runner.
func (s *Site) RegisterRunner(i int, state string) error {
	r := s.Runners[i]
	return s.Store.Put(platform.TableRunners, r.ID, &platform.RunnerEntry{
		Service: "svc", Address: s.runnerAddress(i), Zone: r.Zone, Slots: r.Slots, State: state,
		StartedUnixMS: int64(i + 1),
	})
}

// Configure writes a new version of the configuration with these keys.
func (s *Site) Configure(keys ...string) error {
	s.version++
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "hostname": "site.example", "prefix": "/" + name + "/", "route-type": kind, "timeout-ms": 5000,
			"latency-goal-ms": 500, "priority": 1, "service": "svc", "max-attempts": 3, "resumable": kind == "streaming",
			"gap-target-ms": 200,
		}
	}
	return s.Store.Put(platform.TableOperators, "config", map[string]any{
		"version":  s.version,
		"routes":   []any{route("stream", "streaming"), route("once", "non_idempotent"), route("any", "idempotent")},
		"services": []any{map[string]any{"name": "svc", "max-connections": 200}},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "team", "api-keys": keys}},
	})
}

// Start starts the process of an entry VM; its log goes on where it ended.
func (e *EntryVM) Start() error {
	settings := filepath.Join(e.site.Dir, e.Name+".json")
	data, err := json.Marshal(e.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(e.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd, done := exec.Command(e.site.program), make(chan struct{})
	cmd.Env = append(os.Environ(), "CHIVEYOKE_NODE_FILE="+settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.cmd, e.done = cmd, done
	e.mu.Unlock()
	go func() {
		// How it ended is read from its state.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (e *EntryVM) settings() map[string]any {
	at := func(port int) string { return fmt.Sprintf("%s:%d", e.IP, port) }
	return map[string]any{
		"node-name": e.Name, "ip": e.IP, "zone": e.Zone,
		"listen":         map[string]any{"frontend": at(callerPort), "readiness": at(readinessPort), "directory": at(directoryPort)},
		"internal-ports": []int{internalPortMin, internalPortMax},
		"bounds": map[string]any{
			"grace-s": shutdownGrace.Seconds(), "revoke-ms": revocationBound.Milliseconds(), "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 90,
		},
		"platform": map[string]any{"address": fmt.Sprintf("%s:%d", e.site.ip(200, 1), storePort)},
	}
}

// Signal sends a signal to the process.
func (e *EntryVM) Signal(sig syscall.Signal) {
	if cmd, _ := e.current(); cmd != nil && e.Running() {
		// A process that has just ended gets none.
		_ = cmd.Process.Signal(sig)
	}
}

// Running reports whether the process runs.
func (e *EntryVM) Running() bool {
	_, done := e.current()
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// WaitExit waits for the end of the process and reports whether it ended in order.
func (e *EntryVM) WaitExit(limit time.Duration) bool {
	cmd, done := e.current()
	select {
	case <-done:
		return cmd.ProcessState.Success()
	case <-time.After(limit):
		return false
	}
}

// Ready reports whether the entry VM says that it is ready.
func (e *EntryVM) Ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/-/readyz", e.IP, readinessPort))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until all entry VMs that run are ready.
func (s *Site) WaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, e := range s.EntryVMs {
			ready = ready && (!e.Running() || e.Ready())
		}
		if ready {
			return nil
		}
	}
	return errors.New("entry VMs are not ready")
}

// Resolve asks an entry VM which addresses to use.
func (e *EntryVM) Resolve(ctx context.Context, zone string) ([]string, error) {
	url := fmt.Sprintf("http://%s:%d/-/resolve?name=site.example&region=r&zone=%s", e.IP, directoryPort, zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
	}
	return found.Addresses, json.NewDecoder(resp.Body).Decode(&found)
}

// An Answer is what a caller got.
type Answer struct {
	// Status is 0 where there was no answer.
	Status int
	Header http.Header
	Body   string
	// Complete says that the answer ended as it should.
	Complete bool
}

// Send sends a request of a kind of route to an address.
func Send(ctx context.Context, client *http.Client, addr, kind, id, key string) Answer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/"+kind+"/x", strings.NewReader("body of "+id))
	if err != nil {
		return Answer{}
	}
	req.Host = "site.example"
	req.Header.Set("Chiveyoke-Attempt-Id", id)
	req.Header.Set("Chiveyoke-Deadline-Ms", "4000")
	req.Header.Set("Authorization", "Token "+key)
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Complete: err == nil}
}

// CallerAddress is that for callers.
func (e *EntryVM) CallerAddress() string {
	return fmt.Sprintf("%s:%d", e.IP, callerPort)
}

// Close ends all that the site started.
func (s *Site) Close() error {
	var failures []error
	for _, e := range s.EntryVMs {
		if e.Running() {
			e.Signal(syscall.SIGCONT)
			e.Signal(syscall.SIGKILL)
			e.WaitExit(shutdownGrace)
		}
	}
	for _, l := range s.listeners {
		failures = append(failures, l.Close())
	}
	for _, server := range s.servers {
		failures = append(failures, server.Close())
	}
	return errors.Join(failures...)
}
