// Package chiveharness implements fleets of real processes on loopback, with
// callers that keep their own record, for the demo and the tests.
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

// OperatorToken is the token of the fleets' operators.
const OperatorToken = "demo-operator"

// The names of the processes' programs.
const (
	programStandIn = "chiveyoke-standin"
	programGateway = "chiveyoke-gateway"
	programAgent   = "chiveyoke-agent"
)

// The ports of a fleet.
const (
	callerPort = 8080
	adminPort  = 8081
	linkPort   = 7443
)

const (
	certLifetime = 24 * time.Hour
	pollInterval = 20 * time.Millisecond
	// killTimeout bounds the end of a process that was killed.
	killTimeout = 10 * time.Second
)

// A Settings says which fleet to start.
type Settings struct {
	// Sheet is the sheet's text.
	Sheet []byte
	// StandInSheet is the sheet that the stand-ins play, where it is another.
	StandInSheet []byte
	// Net is the second number of the fleet's addresses, 127.NET.0.1 and on.
	Net int
	// Gateways is the number of gateways.
	Gateways int
	// Bin is the directory of the programs, Dir that of the fleet's files.
	Bin string
	Dir string
	// AddressLifetime is that of answers of addresses.
	AddressLifetime time.Duration
	// StepTime is the time of one step of a rank group.
	StepTime time.Duration
	// NoAgents starts no agents.
	NoAgents bool
	// PlanInterval and Lease are those of the gateways' settings, where not 0.
	PlanInterval  time.Duration
	LeaseDuration time.Duration
}

// A Fleet is a running set of processes.
type Fleet struct {
	Settings  Settings
	Sheet     *chivesheet.Sheet
	VMs       []chivevm.VM
	Processes map[string]*Process

	client http.Client
}

// SheetNet returns the second number of a sheet's addresses, for Settings.Net.
func SheetNet(sheet *chivesheet.Sheet) int {
	host, _, _ := net.SplitHostPort(sheet.Endpoints[0].Engine)
	n, _ := strconv.Atoi(strings.Split(host, ".")[1])
	return n
}

// Start starts a fleet and waits until every process serves.
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

// applySheet puts the sheet in force and waits for every process.
func (f *Fleet) applySheet(ctx context.Context) error {
	for _, vm := range f.VMs {
		if err := f.WaitHTTP(ctx, "http://"+f.adminAddress(vm)+"/healthz"); err != nil {
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

// WaitInForce waits until every process has a version.
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

// WaitFor polls until the condition holds or the context ends.
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

// WaitHTTP waits until a URL answers 200.
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

// Operator returns a client of all gateways.
func (f *Fleet) Operator() *chiveoperator.Client {
	var addrs []string
	for _, vm := range f.VMs {
		if p := f.Processes[vm.Name]; p != nil && p.Running() {
			addrs = append(addrs, f.adminAddress(vm))
		}
	}
	return chiveoperator.NewClient(addrs, OperatorToken)
}

func (f *Fleet) adminAddress(vm chivevm.VM) string {
	host, _, _ := net.SplitHostPort(vm.CallerAddress)
	return fmt.Sprintf("%s:%d", host, adminPort)
}

// AdminAddresses returns the admin address of every gateway and agent by name.
func (f *Fleet) AdminAddresses() map[string]string {
	admins := map[string]string{}
	for _, vm := range f.VMs {
		admins[vm.Name] = f.adminAddress(vm)
	}
	for _, e := range f.Sheet.Endpoints {
		host, _, _ := net.SplitHostPort(e.Agent)
		admins[e.Name] = fmt.Sprintf("%s:%d", host, adminPort)
	}
	return admins
}

// AdminAddress returns the admin address of the gateway at a position.
func (f *Fleet) AdminAddress(i int) string {
	return f.adminAddress(f.VMs[i])
}

func (f *Fleet) writeFiles() error {
	played := f.Settings.StandInSheet
	if played == nil {
		played = f.Settings.Sheet
	}
	if err := os.WriteFile(f.path("sheet.csv"), played, 0o644); err != nil {
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

func (f *Fleet) writeGateway(authority *chivecert.Authority, vm chivevm.VM) error {
	s := chivesetting.NewGateway()
	s.Name, s.Zone, s.Caller, s.Link, s.Admin = vm.Name, vm.Zone, vm.CallerAddress, vm.LinkAddress, f.adminAddress(vm)
	s.Keys = f.keys(vm.Name)
	s.Table.URL, s.Table.Access, s.Table.Secret = "http://"+f.platformAddress(0), "chiveyoke", "chiveyoke"
	s.Object.URL, s.Object.Access, s.Object.Secret = "http://"+f.platformAddress(1), "chiveyoke", "chiveyoke"
	s.VMs = "http://" + f.platformAddress(2) + "/vms"
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

func (f *Fleet) writeAgent(authority *chivecert.Authority, e chivesheet.Endpoint) error {
	s := chivesetting.NewAgent()
	host, _, _ := net.SplitHostPort(e.Agent)
	s.Endpoint, s.Zone, s.Link, s.Engine = e.Name, e.Zone, e.Agent, e.Engine
	s.Admin = fmt.Sprintf("%s:%d", host, adminPort)
	s.Keys = f.keys(e.Name)
	s.VMs = "http://" + f.platformAddress(2) + "/vms"
	if err := authority.Issue(f.Settings.Dir, e.Name, chivelink.RoleAgent, time.Now(), certLifetime); err != nil {
		return err
	}
	return f.writeYAML(e.Name, s)
}

func (f *Fleet) keys(name string) chivesetting.Keys {
	return chivesetting.Keys{Cert: f.path(name + ".pem"), Key: f.path(name + "-key.pem"), Roots: f.path("ca.pem")}
}

func (f *Fleet) writeYAML(name string, settings any) error {
	data, err := yaml.Marshal(settings)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(f.path(name+".yaml"), data, 0o600))
}

func (f *Fleet) path(name string) string {
	return filepath.Join(f.Settings.Dir, name)
}

// platformAddress returns the address of the table, the object store or the control
// interface of the stand-in.
func (f *Fleet) platformAddress(i int) string {
	return fmt.Sprintf("127.%d.90.1:%d", f.Settings.Net, 9000+i)
}

func (f *Fleet) startStandIn(ctx context.Context) error {
	step := f.Settings.StepTime
	if step == 0 {
		step = 5 * time.Millisecond
	}
	err := f.startProgram("standin", programStandIn, "--sheet", f.path("sheet.csv"), "--table", f.platformAddress(0),
		"--object", f.platformAddress(1), "--control", f.platformAddress(2), "--step", step.String())
	if err != nil {
		return err
	}
	return f.WaitHTTP(ctx, "http://"+f.platformAddress(2)+"/report")
}

// StartGateway starts the gateway at a position.
func (f *Fleet) StartGateway(i int) error {
	name := f.VMs[i].Name
	return f.startProgram(name, programGateway, "--config", f.path(name+".yaml"))
}

// StartAgent starts the agent of an endpoint.
func (f *Fleet) StartAgent(endpoint string) error {
	return f.startProgram(endpoint, programAgent, "--config", f.path(endpoint+".yaml"))
}

// Restart starts a process of that name again.
func (f *Fleet) Restart(name string) error {
	for i, vm := range f.VMs {
		if vm.Name == name {
			return f.StartGateway(i)
		}
	}
	return f.StartAgent(name)
}

func (f *Fleet) startProgram(name, program string, args ...string) error {
	p, err := startProcess(name, filepath.Join(f.Settings.Bin, program), f.path(name+".log"), args...)
	if err != nil {
		return err
	}
	f.Processes[name] = p
	return nil
}

// Kill ends every process at once.
func (f *Fleet) Kill() {
	for _, p := range f.Processes {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.Processes {
		_ = p.WaitExit(killTimeout)
	}
}

// Stop ends every process gracefully, gateways first, and returns those that
// did not end in order.
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

// LogTail returns the last lines of a process's log.
func (f *Fleet) LogTail(name string, lines int) string {
	data, _ := os.ReadFile(f.path(name + ".log"))
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(all[max(0, len(all)-lines):], "\n")
}
