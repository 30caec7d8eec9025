package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of each machine, at an address of its own.
const (
	portCallers, portReady, portDirectory = 8227, 8220, 8224
	portInternal, portStore, portRunner   = 7340, 8223, 8080
)

// lab is a small deployment: the platform's store, runners, and the project's entry VMs as processes.
type lab struct {
	net     string
	dir     string
	store   *store
	runners []*runnerStand
	entries []*entryVM
	config  map[string]any

	mu       sync.Mutex
	arrivals []arrival
	results  []result
	notes    []string
	began    time.Time
}

// entryVM is a machine with the project's daemon.
type entryVM struct {
	name, ip, zone string
	lab            *lab
	cmd            *exec.Cmd
}

// result is what a client sent and got.
type result struct {
	id, entry, path, key string
	sent, done           time.Time
	status               int
	header               http.Header
	body                 string
	complete             bool
	err                  string
}

// newLab finds loopback addresses of which no port is in use.
func newLab() (*lab, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp4", net.JoinHostPort(prefix+"1", fmt.Sprint(portStore)))
		if err != nil {
			continue
		}
		_ = l.Close()
		return &lab{net: prefix, dir: dir, store: newStore(), began: time.Now()}, nil
	}
	return nil, fmt.Errorf("no loopback address is free")
}

// note adds a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes = append(l.notes, summary(l, format, args...))
}

func (l *lab) arrived(a arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// addRunner adds a runner.
func (l *lab) addRunner(service, zone string, slots int, work time.Duration) (*runnerStand, error) {
	n := len(l.runners)
	r := &runnerStand{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: slots, work: work, lab: l,
		addr: net.JoinHostPort(fmt.Sprintf("%s%d", l.net, 100+n), fmt.Sprint(portRunner)),
	}
	l.runners = append(l.runners, r)
	if err := r.start(); err != nil {
		return nil, err
	}
	r.register()
	return r, nil
}

// configure writes the next version of the configuration.
func (l *lab) configure(version int, routes []map[string]any, services []map[string]any, keys map[string][]string) {
	tenants := []map[string]any{}
	names := make([]string, 0, len(keys))
	for name := range keys {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		tenants = append(tenants, map[string]any{"name": name, "api-keys": keys[name], "priority": 1})
	}
	l.store.put("op", "config", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// route returns a route.
func route(name, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": "/" + name + "/", "route-type": kind, "timeout-ms": timeoutMS, "latency-goal-ms": 300,
		"priority": 1, "service": service, "max-attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// service returns a service of plain runners.
func service(name string, coldPerS float64) map[string]any {
	return map[string]any{
		"name": name, "health-path": "/healthz", "max-connections": 288, "protocol": "h1", "tls": false,
		"cold-start-s": 3.0, "cold-per-s": coldPerS,
	}
}

const host = "site.example"

// addEntry adds an entry VM and starts its process.
func (l *lab) addEntry(zone string) (*entryVM, error) {
	n := len(l.entries)
	e := &entryVM{name: fmt.Sprintf("edge-%s-%d", zone, n), ip: fmt.Sprintf("%s%d", l.net, 10+n), zone: zone, lab: l}
	l.entries = append(l.entries, e)
	if err := l.store.listen(e.storeAddr()); err != nil {
		return nil, err
	}
	return e, e.start()
}

func (e *entryVM) address(port int) string { return net.JoinHostPort(e.ip, fmt.Sprint(port)) }

// storeAddr is where this machine reaches the store.
func (e *entryVM) storeAddr() string { return e.address(portStore) }

// start writes the settings file and starts the process with the command of the deploy file.
func (e *entryVM) start() error {
	settings := map[string]any{
		"node-name": e.name, "role": "entry", "machine-class": "edge", "serves": []string{"edge", "registry"}, "ip": e.ip, "zone": e.zone, "region": "r",
		"zones":          map[string]string{"a": "r", "b": "r", "c": "r"},
		"listen":         map[string]string{"frontend": e.address(portCallers), "readiness": e.address(portReady), "directory": e.address(portDirectory)},
		"internal-ports": []int{portInternal, portInternal + 15}, "seeds": []string{}, "bootstrap": true, "loss-counts": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
			"config-apply-ms": 2000, "rollback-slack-ms": 250, "outer-ms": 5000, "strict-revocation": true, "revoke-ms": 5000, "retry-ratio": 0.2,
			"retry-window-s": 10, "retry-slack": 92, "cold-overrun": 1.5, "cold-slack": 5, "evacuation-ms": 5000, "recovery-s": 12,
			"event-latency-ms": 120, "retry-after-s": 0, "stall_ms": 1500, "fencing-enabled": true, "ttl_max_s": 5,
		},
		"platform": map[string]any{"address": e.storeAddr(), "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "tx-ms": 5.0, "part-writes-per-s": 200, "row-bytes": 65536, "across": false, "history-s": 20},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(e.lab.dir, e.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(e.lab.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	program := "target/chiveyoke-entry"
	if p := os.Getenv("ENTRY"); p != "" {
		program = p
	}
	e.cmd = exec.Command(program)
	e.cmd.Env = []string{"CHIVEYOKE_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	e.cmd.Stdout, e.cmd.Stderr = out, out
	// The process ends with this program, also if that is killed.
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return e.cmd.Start()
}

// signal sends a signal to the process.
func (e *entryVM) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, e := range l.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_ = e.cmd.Wait()
		}
	}
	for _, r := range l.runners {
		r.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// awaitReady waits until all entry VMs are ready.
func (l *lab) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range l.entries {
			resp, err := client.Get("http://" + e.address(portReady) + "/-/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(l.entries) {
			return nil
		}
	}
	return fmt.Errorf("entry VMs are not ready")
}

// call is a request of a client.
type call struct {
	method, path, id, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

// newClient returns a client that keeps connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 4, DisableCompression: true, IdleConnTimeout: 11 * time.Second,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// send sends a request to an entry VM and records the answer.
func (l *lab) send(client *http.Client, e *entryVM, c call) result {
	r := result{id: c.id, entry: e.name, path: c.path, key: c.key, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	var body io.Reader
	if c.body != "" {
		body = strings.NewReader(c.body)
	}
	q, err := http.NewRequestWithContext(ctx, c.method, "http://"+e.address(portCallers)+c.path, body)
	if err != nil {
		panic(err)
	}
	// Without GetBody the client never repeats a request by itself.
	q.GetBody = nil
	q.Host = host
	q.Header.Set("Chiveyoke-Attempt-Id", c.id)
	q.Header.Set("Chiveyoke-Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.key != "" {
		q.Header.Set("Authorization", "Token "+c.key)
	}
	for name, value := range c.header {
		q.Header.Set(name, value)
	}
	resp, err := client.Do(q)
	if err != nil {
		r.err = err.Error()
	} else {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.header, r.body, r.complete = resp.StatusCode, resp.Header, string(data), err == nil
		if err != nil {
			r.err = err.Error()
		}
	}
	r.done = time.Now()
	l.mu.Lock()
	l.results = append(l.results, r)
	l.mu.Unlock()
	return r
}

var (
	idMu   sync.Mutex
	lastID int
)

// newID returns the id of a client attempt.
func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	lastID++
	return fmt.Sprintf("%012x%04x", lastID, rand.IntN(1<<16))
}

// runsOf returns the runs of each request.
func (l *lab) runsOf() map[string][]arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := map[string][]arrival{}
	for _, a := range l.arrivals {
		if a.ran {
			runs[a.id] = append(runs[a.id], a)
		}
	}
	return runs
}

// writeRecord writes what was sent, answered and run.
func (l *lab) writeRecord(path string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var b strings.Builder
	at := func(t time.Time) string { return fmt.Sprintf("%8.3f s", t.Sub(l.began).Seconds()) }
	b.WriteString("# events\n")
	for _, n := range l.notes {
		b.WriteString(n + "\n")
	}
	b.WriteString("# requests: sent, done, id, entry VM, path, status (0: no answer), complete, error\n")
	for _, r := range l.results {
		fmt.Fprintf(&b, "%s %s  %s %s %s %d %t %s\n", at(r.sent), at(r.done), r.id, r.entry, r.path, r.status, r.complete, r.err)
	}
	b.WriteString("# arrivals at runners: time, id, runner, path, tenant, ran, cold\n")
	for _, a := range l.arrivals {
		fmt.Fprintf(&b, "%s  %s %s %s %s %t %t\n", at(a.at), a.id, a.runner, a.path, a.tenant, a.ran, a.cold)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// summary returns a line for the record.
func summary(l *lab, format string, args ...any) string {
	return fmt.Sprintf("%8.3f s  ", time.Since(l.began).Seconds()) + fmt.Sprintf(format, args...)
}

// load has clients send requests for a time, each with a pause of the given mean between two.
func (l *lab) load(d time.Duration, clients int, pause time.Duration, send func(client *http.Client, n int)) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := range clients {
		wg.Go(func() {
			client := newClient()
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(pause)))
				send(client, n)
			}
		})
	}
	wg.Wait()
}
