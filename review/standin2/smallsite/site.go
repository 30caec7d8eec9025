package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/bench/chiveplatform"
)

// Bounds and sizes of a small deployment, as in the users' small site files.
const (
	contact  = 3 * time.Second
	recovery = 12 * time.Second
	revoke   = 5 * time.Second

	modelService, plainService = "drafts", "office"
	modelSlots, plainSlots     = 12, 6
	groupSize                  = 4
	// A rank holds at most rankPlaces experts of a set.
	expertSets, experts, rankPlaces = 2, 16, 5
	plainRunners                    = 5

	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 500 * time.Millisecond
	startTimeout = 20 * time.Second
)

var zones = []string{"north", "middle", "south"}

// service describes a service of the deployment.
type service struct {
	name   string
	engine bool
}

// site is the stand-in of the platform with the processes of the system.
type site struct {
	record  *record
	dir     string
	store   *chiveplatform.Store
	runners []*runner
	nodes   []*node

	// itemPath begins the last part of the path of an order.
	itemPath string

	// host is the beginning of all addresses, port the first of the ports.
	host string
	port int

	servers []*http.Server
}

// node is a machine that runs one process of the system.
type node struct {
	site     *site
	name, ip string
	zone     string
	command  []string
	settings string
	frontend string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	// ownEnds counts the ends of its processes that nobody asked for.
	ownEnds int
}

// Offsets of the ports from site.port.
const (
	portFrontend = iota
	portReadiness
	portDirectory
	portRunner
	portStore
	portInternal
	portInternalEnd = portInternal + 9
)

// newSite returns a site at free addresses.
func newSite(recordPath, dir string) (*site, error) {
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{record: r, dir: dir, store: chiveplatform.NewStore()}
	for range 50 {
		s.host, s.port = fmt.Sprintf("127.%d", 20+rand.IntN(200)), 20100+20*rand.IntN(400)
		if s.addressesAreFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free addresses")
}

// addressesAreFree reports whether nothing listens at the addresses of the site.
func (s *site) addressesAreFree() bool {
	for _, kind := range []int{1, 2, 3} {
		for n := range 10 {
			for p := range portInternalEnd + 1 {
				l, err := net.Listen("tcp4", s.address(kind, n+1, p))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// ip returns the address of host n of a kind: 1 for entry VMs, 2 for runners, 3 for others.
func (s *site) ip(kind, n int) string { return fmt.Sprintf("%s.%d.%d", s.host, kind, n) }

func (s *site) address(kind, n, port int) string {
	return fmt.Sprintf("%s:%d", s.ip(kind, n), s.port+port)
}

// listen serves a handler at an address until close.
func (s *site) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// listenForeign starts a server that is no runner and knows none of the paths.
func (s *site) listenForeign() (address string, err error) {
	address = s.address(3, 2, portRunner)
	return address, s.listen(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.record.event("foreign", r.Header.Get("Chiveyoke-Attempt-Id"), r.Method+" "+r.URL.Path)
		http.NotFound(w, r)
	}))
}

// putEntry writes an entry among those of the runners.
func (s *site) putEntry(id string, entry map[string]any) {
	text, _ := json.Marshal(entry)
	s.record.note("entry %s: %s", id, text)
	if err := s.store.Put("servers", id, entry); err != nil {
		s.record.note("entry %s could not be written: %v", id, err)
	}
}

// start starts the store, the runners and the processes of the system, and waits until all entry
// VMs are ready.
func (s *site) start() error {
	if err := s.listen(s.address(3, 1, portStore), s.store); err != nil {
		return err
	}
	if err := s.putConfig(1, true); err != nil {
		return err
	}
	for i := range groupSize + plainRunners {
		r := newRunner(s, fmt.Sprintf("i-%d", i), service{name: modelService, engine: true}, i+1)
		if i >= groupSize {
			r.service = service{name: plainService}
		} else {
			r.group, r.groupSize, r.rank = "g0", groupSize, i
		}
		if err := r.listen(); err != nil {
			return err
		}
		s.runners = append(s.runners, r)
		s.putEntry(r.id, r.entry())
	}
	commands, err := deployCommands("deploy/system.toml")
	if err != nil {
		return err
	}
	for i, zone := range zones {
		s.addNode(fmt.Sprintf("edge-%d", i+1), "entry", "edge", zone, s.ip(1, i+1), commands, "")
	}
	for i := range groupSize {
		s.addNode(fmt.Sprintf("side-%d", i+1), "scout", "side", zones[i%len(zones)], s.ip(2, i+1), commands, s.runners[i].address)
	}
	if err := s.startProcesses(); err != nil {
		return err
	}
	for deadline := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range s.nodes[:len(zones)] {
			ready = ready && n.ready()
		}
		if ready {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("entry VMs are not ready")
		}
	}
}

// deployCommands returns the commands of the roles in the deploy file.
func deployCommands(path string) (map[string][]string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	list := map[string][]string{}
	for _, m := range regexp.MustCompile(`(?m)^\[roles\.(\w+)\]\s*\nrun = "([^"]+)"`).FindAllStringSubmatch(string(data), -1) {
		list[m[1]] = strings.Fields(m[2])
	}
	if len(list["entry"]) == 0 || len(list["scout"]) == 0 {
		return nil, errors.New("deploy file has no roles entry and scout")
	}
	return list, nil
}

// addNode adds a machine and writes its settings file.
func (s *site) addNode(name, role, class, zone, ip string, commands map[string][]string, app string) {
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, s.port+port) }
	region := map[string]string{}
	for _, z := range zones {
		region[z] = "region"
	}
	settings := map[string]any{
		"node-name": name, "role": role, "machine-class": class, "ip": ip, "zone": zone, "region": "region", "zones": region,
		"internal-ports": []int{s.port + portInternal, s.port + portInternalEnd}, "bootstrap": true,
		"limits":       map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0},
		"heartbeat-ms": 1200, "seeds": []string{}, "data-dir": nil,
		"bounds": map[string]any{
			"contact-ms": contact.Milliseconds(), "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250,
			"strict-revocation": true, "revoke-ms": revoke.Milliseconds(), "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 92, "evacuation-ms": 5000,
			"recovery-s": recovery.Seconds(), "fencing-enabled": true, "ttl_max_s": 5, "stall_ms": 1500, "reuse-after-s": 2,
		},
		"platform": map[string]any{"address": s.address(3, 1, portStore), "form": "table", "writes-per-s": 400, "reads-per-s": 2000, "row-bytes": 65536, "history-s": 20},
	}
	if class == "edge" {
		settings["listen"] = map[string]any{"frontend": at(portFrontend), "readiness": at(portReadiness), "directory": at(portDirectory)}
	} else {
		settings["app"] = app
	}
	data, _ := json.Marshal(settings)
	n := &node{site: s, name: name, ip: ip, zone: zone, command: commands[role], settings: filepath.Join(s.dir, name+".json"), frontend: at(portFrontend)}
	if err := os.WriteFile(n.settings, data, 0o600); err != nil {
		s.record.note("settings of %s: %v", name, err)
	}
	s.nodes = append(s.nodes, n)
}

// startProcesses starts the processes of all machines.
func (s *site) startProcesses() error {
	for _, n := range s.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills the processes of all machines, which the platform does not start again by itself.
func (s *site) killAll() {
	for _, n := range s.nodes {
		n.kill()
	}
}

// close ends everything that the site has started.
func (s *site) close() {
	s.killAll()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.record.close()
}

// ownEnds returns how often the processes of each machine have ended by themselves.
func (s *site) ownEnds() map[string]int {
	list := map[string]int{}
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.ownEnds > 0 {
			list[n.name] = n.ownEnds
		}
		n.mu.Unlock()
	}
	return list
}

// start starts the process of the machine.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.site.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(n.command[0], n.command[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVEYOKE_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done, n.stopped = cmd, done, false
	n.mu.Unlock()
	n.site.record.event("start", n.name, "")
	go func() {
		_ = cmd.Wait()
		close(done)
		n.mu.Lock()
		own := !n.stopped
		if own {
			n.ownEnds++
		}
		n.mu.Unlock()
		if own {
			n.site.record.event("own end", n.name, cmd.ProcessState.String())
			time.Sleep(restartDelay)
			n.mu.Lock()
			stopped := n.stopped
			n.mu.Unlock()
			if !stopped {
				if err := n.start(); err != nil {
					n.site.record.note("%s could not be started again: %v", n.name, err)
				}
			}
		}
	}()
	return nil
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	n.stopped = true
	cmd, done := n.cmd, n.done
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	// The process may have ended already.
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// ready reports whether the machine counts as ready.
func (n *node) ready() bool {
	resp, err := (&http.Client{Timeout: time.Second}).Get(fmt.Sprintf("http://%s:%d/-/readyz", n.ip, n.site.port+portReadiness))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// putConfig writes a version of the operator's configuration, with the tenant or without any.
func (s *site) putConfig(version int, tenant bool) error {
	tenants := []any{}
	if tenant {
		tenants = append(tenants, map[string]any{"name": "team", "api-keys": []string{"key"}, "priority": 1})
	}
	c := s.config(version)
	c["tenants"] = tenants
	if err := s.store.Put("op", "config", c); err != nil {
		return err
	}
	s.record.note("version %d of the configuration is acknowledged, with %d tenants", version, len(tenants))
	return nil
}

// config returns a version of the operator's configuration, without tenants.
func (s *site) config(version int) map[string]any {
	route := func(name, kind, service string, timeout, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": "site.example", "prefix": "/" + name + "/", "route-type": kind, "timeout-ms": timeout, "latency-goal-ms": 500,
			"priority": 1, "service": service, "max-attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": kind == "streaming", "gap-target-ms": 120,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "streaming", modelService, 8000, 2), route("order", "non_idempotent", plainService, 1500, 1), route("look", "idempotent", plainService, 1500, 2),
			route("order/look", "idempotent", plainService, 1500, 2),
		},
		"services": []any{
			map[string]any{"name": modelService, "health-path": "/healthz", "max-connections": 288, "cold-per-s": 28.0, "engine": map[string]any{
				"slots": modelSlots, "kv-capacity": 280000, "link-mbps": 180000.0, "stride": 4, "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
				"read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0, "usual": map[string]any{"prompt": 835, "answer": 97},
				"sets": expertSets, "experts": experts, "placements": rankPlaces, "spare": 2, "expert-mb": 2500.0, "expert-share": 0.85, "form_ms": 600.0,
			}},
			map[string]any{"name": plainService, "health-path": "/healthz", "max-connections": 110, "cold-per-s": 0.0},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
