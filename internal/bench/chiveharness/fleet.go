// Package chiveharness runs fleets of processes on loopback addresses for the demo, the
// measurements and the tests. It sends load to them and compares the answers with the
// executions that the stand-ins record.
package chiveharness

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/peer/chivevm"
	"github.com/chiveyoke/chiveyoke/internal/run/chivecert"
	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// Error is the class of errors of this package.
var Error = errs.Class("harness")

// OperatorToken is the token with which operators authenticate to the gateways.
const OperatorToken = "demo-operator"

// Names of the programs.
const (
	programStandIn = "chiveyoke-standin"
	programGateway = "chiveyoke-gateway"
	programAgent   = "chiveyoke-agent"
)

// Ports of gateways and agents. They are the same for all processes, since each has its
// own IP address.
const (
	callerPort = 8080
	adminPort  = 8081
	linkPort   = 7443
)

const (
	// certLifetime is the lifetime of the certificates of gateways and agents.
	certLifetime = 24 * time.Hour
	// pollInterval is the time between two checks of a condition that is waited for.
	pollInterval = 20 * time.Millisecond
	// killTimeout bounds the wait for the exit of a killed process.
	killTimeout = 10 * time.Second
)

// Settings describes the fleet to start.
type Settings struct {
	// Sheet is the text of the sheet.
	Sheet []byte
	// StandInSheet is the sheet that the stand-ins serve; nil means Sheet.
	StandInSheet []byte
	// Net is the second byte of the loopback addresses of the fleet, 127.Net.x.x.
	Net int
	// Gateways is the number of gateways.
	Gateways int
	// Bin is the directory of the programs, Dir the directory of settings, keys and logs.
	Bin string
	Dir string
	// AddressLifetime is how long callers may cache gateway addresses; 0 means the
	// default of the gateways.
	AddressLifetime time.Duration
	// StepTime is the duration of a step of a rank group; 0 means 5 ms.
	StepTime time.Duration
	// NoAgents starts no agents, and makes Start return without waiting until the
	// sheet is in force. Map planning is off unless PlanInterval is set.
	NoAgents bool
	// FileLimit is the limit of gateways and agents on open files, 0 for that of this process.
	FileLimit int
	// PlanInterval is the time between two plans of an expert map, LeaseDuration the
	// time after which a lease lapses; 0 means the default of the gateways.
	PlanInterval  time.Duration
	LeaseDuration time.Duration
}

// Fleet is a set of running processes: stand-ins, gateways and agents.
type Fleet struct {
	Settings Settings
	Sheet    *chivesheet.Sheet
	// VMs holds the entry VMs, one per gateway.
	VMs []chivevm.VM
	// Processes holds the processes by name: "standin", the names of the entry VMs
	// for gateways, and the names of the endpoints for agents.
	Processes map[string]*Process

	client http.Client
}

// SheetNet returns the second byte of the engine addresses in a sheet, for Settings.Net.
func SheetNet(sheet *chivesheet.Sheet) int {
	host, _, _ := net.SplitHostPort(sheet.Endpoints[0].Engine)
	n, _ := strconv.Atoi(strings.Split(host, ".")[1])
	return n
}

// Start starts a fleet and waits until every process serves with the sheet in force. If
// that fails, it kills the processes that it has started.
func Start(ctx context.Context, s Settings) (*Fleet, error) {
	sheet, err := chivesheet.Parse(s.Sheet)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f := &Fleet{Settings: s, Sheet: sheet, Processes: map[string]*Process{}, client: http.Client{Timeout: 5 * time.Second}}
	if err := f.start(ctx); err != nil {
		f.Kill()
		return nil, err
	}
	return f, nil
}

// start writes the files, starts the processes and applies the sheet.
func (f *Fleet) start(ctx context.Context) error {
	if err := f.writeFiles(); err != nil {
		return err
	}
	if err := f.startStandIn(ctx); err != nil {
		return err
	}
	if err := f.PutVMs(0); err != nil {
		return err
	}
	for i := range f.VMs {
		if err := f.StartGateway(i); err != nil {
			return err
		}
	}
	if !f.Settings.NoAgents {
		for _, e := range f.Sheet.Endpoints {
			if err := f.StartAgent(e.Name); err != nil {
				return err
			}
		}
	}
	return f.applySheet(ctx)
}

// applySheet waits until the gateways are healthy, applies the sheet and waits until it
// is in force.
func (f *Fleet) applySheet(ctx context.Context) error {
	for _, vm := range f.VMs {
		if err := f.WaitHTTP(ctx, "http://"+f.vmAdminAddress(vm)+"/healthz"); err != nil {
			return err
		}
	}
	op := f.Operator()
	if _, err := op.Apply(ctx, NewChange("sheet", "sheet", 0), f.Settings.Sheet); err != nil {
		return Error.Wrap(err)
	}
	if f.Settings.NoAgents {
		return nil
	}
	return f.WaitInForce(ctx, 1)
}

// WaitInForce waits until every process serves without an error and with at least the
// given version in force.
func (f *Fleet) WaitInForce(ctx context.Context, version uint64) error {
	return f.WaitFor(ctx, "version in force", func() bool {
		nodes, err := f.Operator().Nodes(ctx)
		if err != nil {
			return false
		}
		for _, n := range nodes.Nodes {
			if n.Error != "" || n.ConfigVersion < version || n.State != "serving" {
				return false
			}
		}
		return true
	})
}

// WaitFor polls until the condition holds. If the context ends before, it returns an
// error that names what was waited for.
func (f *Fleet) WaitFor(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return Error.New("gave up waiting for %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// WaitHTTP waits until a URL answers with status 200.
func (f *Fleet) WaitHTTP(ctx context.Context, url string) error {
	return f.WaitFor(ctx, url, func() bool {
		resp, err := f.client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Operator returns an operator client of all running gateways.
func (f *Fleet) Operator() *chiveoperator.Client {
	var addresses []string
	for _, vm := range f.VMs {
		if p := f.Processes[vm.Name]; p != nil && p.Running() {
			addresses = append(addresses, f.vmAdminAddress(vm))
		}
	}
	return chiveoperator.NewClient(addresses, OperatorToken)
}

// vmAdminAddress returns the admin address of the gateway on an entry VM.
func (f *Fleet) vmAdminAddress(vm chivevm.VM) string {
	host, _, _ := net.SplitHostPort(vm.CallerAddress)
	return fmt.Sprintf("%s:%d", host, adminPort)
}

// AdminAddresses returns the admin addresses of all gateways and agents by name.
func (f *Fleet) AdminAddresses() map[string]string {
	addresses := map[string]string{}
	for _, vm := range f.VMs {
		addresses[vm.Name] = f.vmAdminAddress(vm)
	}
	for _, e := range f.Sheet.Endpoints {
		host, _, _ := net.SplitHostPort(e.Agent)
		addresses[e.Name] = fmt.Sprintf("%s:%d", host, adminPort)
	}
	return addresses
}

// AdminAddress returns the admin address of gateway i.
func (f *Fleet) AdminAddress(i int) string {
	return f.vmAdminAddress(f.VMs[i])
}

// writeFiles writes the sheet of the stand-ins, and the settings and keys of all
// gateways and agents. It sets f.VMs.
func (f *Fleet) writeFiles() error {
	standInSheet := f.Settings.StandInSheet
	if standInSheet == nil {
		standInSheet = f.Settings.Sheet
	}
	if err := os.WriteFile(f.path("sheet.csv"), standInSheet, 0o644); err != nil {
		return Error.Wrap(err)
	}
	authority, err := chivecert.NewAuthority(f.Settings.Dir, time.Now())
	if err != nil {
		return err
	}
	for i := range f.Settings.Gateways {
		host := fmt.Sprintf("127.%d.0.%d", f.Settings.Net, i+1)
		vm := chivevm.VM{
			Name: fmt.Sprintf("entry-%d", i+1), Zone: f.Sheet.Zones[i%len(f.Sheet.Zones)].Name, State: chivevm.StateLive,
			CallerAddress: fmt.Sprintf("%s:%d", host, callerPort), LinkAddress: fmt.Sprintf("%s:%d", host, linkPort),
		}
		f.VMs = append(f.VMs, vm)
		if err := f.writeGateway(authority, vm); err != nil {
			return err
		}
	}
	for _, e := range f.Sheet.Endpoints {
		if err := f.writeAgent(authority, e); err != nil {
			return err
		}
	}
	return nil
}

// writeGateway writes the settings and keys of the gateway on an entry VM.
func (f *Fleet) writeGateway(authority *chivecert.Authority, vm chivevm.VM) error {
	s := chivesetting.NewGateway()
	s.Name, s.Zone, s.Caller, s.Link, s.Admin = vm.Name, vm.Zone, vm.CallerAddress, vm.LinkAddress, f.vmAdminAddress(vm)
	s.Keys = f.keys(vm.Name)
	s.Table.URL, s.Table.Access, s.Table.Secret = "http://"+f.standInAddress(0), "chiveyoke", "chiveyoke"
	s.Object.URL, s.Object.Access, s.Object.Secret = "http://"+f.standInAddress(1), "chiveyoke", "chiveyoke"
	s.VMs = "http://" + f.standInAddress(2) + "/vms"
	s.Operators = []string{chivecert.DigestSecret(OperatorToken)}
	if f.Settings.AddressLifetime > 0 {
		s.Lifetime = chivesetting.Duration(f.Settings.AddressLifetime)
	}
	if f.Settings.NoAgents {
		s.Plan = 0
	}
	if f.Settings.PlanInterval > 0 {
		s.Plan = chivesetting.Duration(f.Settings.PlanInterval)
	}
	if f.Settings.LeaseDuration > 0 {
		s.Lease = chivesetting.Duration(f.Settings.LeaseDuration)
	}
	if err := authority.Issue(f.Settings.Dir, vm.Name, chivelink.RoleGateway, time.Now(), certLifetime); err != nil {
		return err
	}
	return f.writeYAML(vm.Name, s)
}

// writeAgent writes the settings and keys of the agent of an endpoint.
func (f *Fleet) writeAgent(authority *chivecert.Authority, e chivesheet.Endpoint) error {
	s := chivesetting.NewAgent()
	host, _, _ := net.SplitHostPort(e.Agent)
	s.Endpoint, s.Zone, s.Link, s.Engine = e.Name, e.Zone, e.Agent, e.Engine
	s.Admin = fmt.Sprintf("%s:%d", host, adminPort)
	s.Keys = f.keys(e.Name)
	s.VMs = "http://" + f.standInAddress(2) + "/vms"
	if err := authority.Issue(f.Settings.Dir, e.Name, chivelink.RoleAgent, time.Now(), certLifetime); err != nil {
		return err
	}
	return f.writeYAML(e.Name, s)
}

// keys returns the paths of the certificate, key and roots of a process.
func (f *Fleet) keys(name string) chivesetting.Keys {
	return chivesetting.Keys{Cert: f.path(name + ".pem"), Key: f.path(name + "-key.pem"), Roots: f.path("ca.pem")}
}

// writeYAML writes the settings file of a process.
func (f *Fleet) writeYAML(name string, settings any) error {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(f.path(name+".yaml"), data, 0o600))
}

// path returns the path of a file in the directory of the fleet.
func (f *Fleet) path(name string) string {
	return filepath.Join(f.Settings.Dir, name)
}

// standInAddress returns the address of an interface of the stand-in: 0 is the table, 1
// the object store and 2 the control interface.
func (f *Fleet) standInAddress(i int) string {
	return fmt.Sprintf("127.%d.90.1:%d", f.Settings.Net, 9000+i)
}

// startStandIn starts the stand-in and waits until it answers.
func (f *Fleet) startStandIn(ctx context.Context) error {
	stepTime := f.Settings.StepTime
	if stepTime == 0 {
		stepTime = 5 * time.Millisecond
	}
	err := f.startProgram("standin", programStandIn, "--sheet", f.path("sheet.csv"), "--table", f.standInAddress(0),
		"--object", f.standInAddress(1), "--control", f.standInAddress(2), "--step", stepTime.String())
	if err != nil {
		return err
	}
	return f.WaitHTTP(ctx, "http://"+f.standInAddress(2)+"/report")
}

// StartGateway starts gateway i.
func (f *Fleet) StartGateway(i int) error {
	name := f.VMs[i].Name
	return f.startLimited(name, programGateway)
}

// StartAgent starts the agent of an endpoint.
func (f *Fleet) StartAgent(endpoint string) error {
	return f.startLimited(endpoint, programAgent)
}

// Restart starts the gateway or agent with the given name again.
func (f *Fleet) Restart(name string) error {
	for i, vm := range f.VMs {
		if vm.Name == name {
			return f.StartGateway(i)
		}
	}
	return f.StartAgent(name)
}

// startLimited starts a gateway or an agent with the limit on open files.
func (f *Fleet) startLimited(name, program string) error {
	config := f.path(name + ".yaml")
	if f.Settings.FileLimit == 0 {
		return f.startProgram(name, program, "--config", config)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" --config "$1"`, f.Settings.FileLimit)
	p, err := startProcess(name, "sh", f.path(name+".log"), "-c", script, filepath.Join(f.Settings.Bin, program), config)
	if err != nil {
		return err
	}
	f.Processes[name] = p
	return nil
}

// startProgram starts a program from Settings.Bin as the process with the given name.
func (f *Fleet) startProgram(name, program string, args ...string) error {
	p, err := startProcess(name, filepath.Join(f.Settings.Bin, program), f.path(name+".log"), args...)
	if err != nil {
		return err
	}
	f.Processes[name] = p
	return nil
}

// Kill kills all processes and waits until they have exited.
func (f *Fleet) Kill() {
	for _, p := range f.Processes {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.Processes {
		_ = p.WaitExit(killTimeout)
	}
}

// Stop stops all processes with SIGTERM: first the gateways, then the agents, then the
// stand-in. It returns an error for each process that did not exit with status 0 within
// the timeout.
func (f *Fleet) Stop(timeout time.Duration) error {
	var problems []error
	stop := func(names []string) {
		for _, name := range names {
			f.Processes[name].Signal(syscall.SIGTERM)
		}
		for _, name := range names {
			problems = append(problems, f.Processes[name].WaitExit(timeout))
		}
	}
	var gateways, agents []string
	for _, vm := range f.VMs {
		gateways = append(gateways, vm.Name)
	}
	for _, e := range f.Sheet.Endpoints {
		agents = append(agents, e.Name)
	}
	stop(gateways)
	stop(agents)
	stop([]string{"standin"})
	return errors.Join(problems...)
}

// LogTail returns up to the given number of last lines of the log of a process.
func (f *Fleet) LogTail(name string, lines int) string {
	data, _ := os.ReadFile(f.path(name + ".log"))
	allLines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(allLines[max(0, len(allLines)-lines):], "\n")
}
