package chivesetting

import (
	"errors"
	"time"
)

// An Agent holds the settings of an agent.
type Agent struct {
	// Endpoint is the endpoint's name in the sheet.
	Endpoint string `yaml:"endpoint" env:"ENDPOINT"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"zone" env:"ZONE"`
	// Admin and Link are addresses, as IP:port: for health checks, and for other
	// processes of the system.
	Admin string `yaml:"admin" env:"ADMIN"`
	Link  string `yaml:"link" env:"LINK"`
	// Engine is the address of the engine or service, as IP:port.
	Engine string `yaml:"engine" env:"ENGINE"`
	// VMs is the URL of the platform's VM list.
	VMs  string `yaml:"vms" env:"VMS"`
	Keys Keys   `yaml:"keys" envPrefix:"KEYS_"`
	// Queue is the number of requests that may wait for their turn.
	Queue int `yaml:"queue" env:"QUEUE"`
	// Grace is how long a stopping agent waits for its requests.
	Grace Duration `yaml:"grace" env:"GRACE"`
	Log   Log      `yaml:"log" envPrefix:"LOG_"`
}

// NewAgent returns a new Agent with the defaults.
func NewAgent() *Agent {
	return &Agent{Queue: 256, Grace: Duration(5 * time.Minute), Log: NewLog()}
}

// Check implements Checker.Check.
func (a *Agent) Check() error {
	if a.Queue < 1 || a.Grace <= 0 {
		return errors.New("queue and grace must be above 0")
	}
	return errors.Join(
		checkPresent("endpoint", a.Endpoint), checkPresent("zone", a.Zone), checkPresent("vms", a.VMs),
		checkAddress("admin", a.Admin), checkAddress("link", a.Link), checkAddress("engine", a.Engine),
		a.Keys.Check(), a.Log.Check(),
	)
}
