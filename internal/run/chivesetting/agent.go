package chivesetting

import (
	"errors"
	"time"
)

// Agent holds the settings of an agent.
type Agent struct {
	// Endpoint is the name of the agent's endpoint in the sheet.
	Endpoint string `yaml:"endpoint" env:"ENDPOINT"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"zone" env:"ZONE"`
	// Admin is the address, as IP:port, that serves health checks and metrics.
	Admin string `yaml:"admin" env:"ADMIN"`
	// Link is the address, as IP:port, that serves gateways and other processes
	// of the system.
	Link string `yaml:"link" env:"LINK"`
	// Engine is the address of the engine or service, as IP:port.
	Engine string `yaml:"engine" env:"ENGINE"`
	// VMs is the URL of the platform's VM list.
	VMs  string `yaml:"vms" env:"VMS"`
	Keys Keys   `yaml:"keys" envPrefix:"KEYS_"`
	// Queue is the maximum number of queued requests.
	Queue int `yaml:"queue" env:"QUEUE"`
	// Memory is the memory that the process may use in MB. With 0 it is that of the machine.
	Memory int `yaml:"memory" env:"MEMORY"`
	// Grace is how long a stopping agent waits for its requests to finish.
	Grace Duration `yaml:"grace" env:"GRACE"`
	Log   Log      `yaml:"log" envPrefix:"LOG_"`
}

// NewAgent returns an Agent that holds the defaults.
func NewAgent() *Agent {
	return &Agent{Queue: 256, Grace: Duration(5 * time.Minute), Log: NewLog()}
}

// Check implements Checker. It returns an error for settings that are missing or
// out of range, and for addresses that are not IP:port.
func (a *Agent) Check() error {
	if a.Queue < 1 || a.Grace <= 0 {
		return errors.New("queue and grace must be above 0")
	}
	if a.Memory < 0 {
		return errors.New("memory must not be negative")
	}
	return errors.Join(
		checkPresent("endpoint", a.Endpoint), checkPresent("zone", a.Zone), checkPresent("vms", a.VMs),
		checkAddress("admin", a.Admin), checkAddress("link", a.Link), checkAddress("engine", a.Engine),
		a.Keys.Check(), a.Log.Check(),
	)
}
