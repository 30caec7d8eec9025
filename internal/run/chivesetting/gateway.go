package chivesetting

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// Gateway holds the settings of a gateway.
type Gateway struct {
	// Name is the name of the process, the same as the name of its VM.
	Name string `yaml:"name" env:"NAME"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"zone" env:"ZONE"`
	// Caller is the address, as IP:port, that serves callers.
	Caller string `yaml:"caller" env:"CALLER"`
	// Admin is the address, as IP:port, that serves operators, health checks and
	// metrics.
	Admin string `yaml:"admin" env:"ADMIN"`
	// Link is the address, as IP:port, that serves other processes of the system.
	Link   string `yaml:"link" env:"LINK"`
	Keys   Keys   `yaml:"keys" envPrefix:"KEYS_"`
	Table  Table  `yaml:"table" envPrefix:"TABLE_"`
	Object Object `yaml:"object" envPrefix:"OBJECT_"`
	// VMs is the URL of the platform's VM list.
	VMs string `yaml:"vms" env:"VMS"`
	// Operators holds the digests of the operators' tokens, as "sha256:" and 64
	// hex digits.
	Operators []string `yaml:"operators" env:"OPERATORS"`
	// Lifetime is how long a caller may cache the list of gateway addresses.
	Lifetime Duration `yaml:"lifetime" env:"LIFETIME"`
	// Timeout limits the time of a request that states no deadline.
	Timeout Duration `yaml:"timeout" env:"TIMEOUT"`
	// Plan is the time between two plans of a group's expert map. With 0, maps are
	// not planned.
	Plan Duration `yaml:"plan" env:"PLAN"`
	// Lease is the time after which a duty's lease expires if it is not renewed.
	Lease Duration `yaml:"lease" env:"LEASE"`
	// Memory is the memory that the process may use in MB. With 0 it is that of the machine.
	Memory int `yaml:"memory" env:"MEMORY"`
	// Grace is how long a stopping gateway waits for its streams to finish.
	Grace Duration `yaml:"grace" env:"GRACE"`
	Log   Log      `yaml:"log" envPrefix:"LOG_"`
}

// NewGateway returns a Gateway that holds the defaults.
func NewGateway() *Gateway {
	return &Gateway{
		Lifetime: Duration(30 * time.Second),
		Timeout:  Duration(time.Minute),
		Plan:     Duration(30 * time.Second),
		Lease:    Duration(12 * time.Second),
		Grace:    Duration(5 * time.Minute),
		Table:    Table{Name: "chiveyoke", Region: "local"},
		Object:   Object{Bucket: "chiveyoke", Region: "local"},
		Log:      NewLog(),
	}
}

var digestPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)

// Check implements Checker. It returns an error for settings that are missing or
// out of range, for malformed digests and for addresses that are not IP:port.
func (g *Gateway) Check() error {
	for _, d := range g.Operators {
		if !digestPattern.MatchString(d) {
			return fmt.Errorf("operators: %q is not sha256: and 64 hex digits", d)
		}
	}
	if g.Lifetime <= 0 || g.Timeout <= 0 || g.Grace <= 0 || g.Lease <= 0 || g.Plan < 0 {
		return errors.New("lifetime, timeout, grace and lease must be above 0, and plan must not be negative")
	}
	if g.Memory < 0 {
		return errors.New("memory must not be negative")
	}
	return errors.Join(
		checkPresent("name", g.Name), checkPresent("zone", g.Zone), checkPresent("vms", g.VMs),
		checkAddress("caller", g.Caller), checkAddress("admin", g.Admin), checkAddress("link", g.Link),
		g.Keys.Check(), checkPresent("table.url", g.Table.URL), checkPresent("object.url", g.Object.URL), g.Log.Check(),
	)
}

// Keys holds the paths of the PEM files for mutual TLS.
type Keys struct {
	// Cert and Key hold the certificate of the process and its private key.
	Cert string `yaml:"cert" env:"CERT"`
	Key  string `yaml:"key" env:"KEY"`
	// Roots holds the certificates of the authorities that sign peers.
	Roots string `yaml:"roots" env:"ROOTS"`
}

// Check implements Checker. It returns an error if a path is empty.
func (k *Keys) Check() error {
	return errors.Join(checkPresent("keys.cert", k.Cert), checkPresent("keys.key", k.Key), checkPresent("keys.roots", k.Roots))
}

// Table holds the location and the credentials of the platform's table.
type Table struct {
	URL    string `yaml:"url" env:"URL"`
	Name   string `yaml:"name" env:"NAME"`
	Region string `yaml:"region" env:"REGION"`
	// Access and Secret are the access key ID and the secret access key.
	Access string `yaml:"access" env:"ACCESS"`
	Secret string `yaml:"secret" env:"SECRET"`
}

// Object holds the location and the credentials of the platform's object store.
type Object struct {
	URL    string `yaml:"url" env:"URL"`
	Bucket string `yaml:"bucket" env:"BUCKET"`
	Region string `yaml:"region" env:"REGION"`
	// Access and Secret are the access key ID and the secret access key.
	Access string `yaml:"access" env:"ACCESS"`
	Secret string `yaml:"secret" env:"SECRET"`
}

func checkPresent(key, value string) error {
	if value == "" {
		return fmt.Errorf("%s: is missing", key)
	}
	return nil
}

func checkAddress(key, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%s: %q is not IP:port", key, value)
	}
	return nil
}
