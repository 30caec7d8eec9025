package chivesetting

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"time"
)

// A Gateway holds the settings of a gateway.
type Gateway struct {
	// Name identifies the process; it is the VM's name.
	Name string `yaml:"name" env:"NAME"`
	// Zone is the availability zone of the VM.
	Zone string `yaml:"zone" env:"ZONE"`
	// Caller, Admin and Link are addresses, as IP:port: for callers, for
	// operators and health checks, and for other processes of the system.
	Caller string `yaml:"caller" env:"CALLER"`
	Admin  string `yaml:"admin" env:"ADMIN"`
	Link   string `yaml:"link" env:"LINK"`
	Keys   Keys   `yaml:"keys" envPrefix:"KEYS_"`
	Table  Table  `yaml:"table" envPrefix:"TABLE_"`
	Object Object `yaml:"object" envPrefix:"OBJECT_"`
	// VMs is the URL of the platform's VM list.
	VMs string `yaml:"vms" env:"VMS"`
	// Operators holds the digests of the operators' tokens.
	Operators []string `yaml:"operators" env:"OPERATORS"`
	// Lifetime is how long a caller may keep an answer of addresses.
	Lifetime Duration `yaml:"lifetime" env:"LIFETIME"`
	// Timeout is the deadline of a request that states none.
	Timeout Duration `yaml:"timeout" env:"TIMEOUT"`
	// Plan is the time between two plans of a group's expert map; 0 plans none.
	Plan Duration `yaml:"plan" env:"PLAN"`
	// Lease is the time without a renewal after which a duty's lease lapses.
	Lease Duration `yaml:"lease" env:"LEASE"`
	// Grace is how long a stopping gateway waits for its streams.
	Grace Duration `yaml:"grace" env:"GRACE"`
	Log   Log      `yaml:"log" envPrefix:"LOG_"`
}

// NewGateway returns a new Gateway with the defaults.
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

// Check implements Checker.Check.
func (g *Gateway) Check() error {
	for _, d := range g.Operators {
		if !digestPattern.MatchString(d) {
			return fmt.Errorf("operators: %q is not sha256: and 64 hex digits", d)
		}
	}
	if g.Lifetime <= 0 || g.Timeout <= 0 || g.Grace <= 0 || g.Lease <= 0 || g.Plan < 0 {
		return errors.New("lifetime, timeout, grace and lease must be above 0, and plan not below")
	}
	return errors.Join(
		checkPresent("name", g.Name), checkPresent("zone", g.Zone), checkPresent("vms", g.VMs),
		checkAddress("caller", g.Caller), checkAddress("admin", g.Admin), checkAddress("link", g.Link),
		g.Keys.Check(), checkPresent("table.url", g.Table.URL), checkPresent("object.url", g.Object.URL), g.Log.Check(),
	)
}

// Keys holds the paths of the PEM files for mutual TLS.
type Keys struct {
	Cert  string `yaml:"cert" env:"CERT"`
	Key   string `yaml:"key" env:"KEY"`
	Roots string `yaml:"roots" env:"ROOTS"`
}

// Check implements Checker.Check.
func (k *Keys) Check() error {
	return errors.Join(checkPresent("keys.cert", k.Cert), checkPresent("keys.key", k.Key), checkPresent("keys.roots", k.Roots))
}

// A Table holds how the platform's table is reached.
type Table struct {
	URL    string `yaml:"url" env:"URL"`
	Name   string `yaml:"name" env:"NAME"`
	Region string `yaml:"region" env:"REGION"`
	Access string `yaml:"access" env:"ACCESS"`
	Secret string `yaml:"secret" env:"SECRET"`
}

// An Object holds how the platform's object store is reached.
type Object struct {
	URL    string `yaml:"url" env:"URL"`
	Bucket string `yaml:"bucket" env:"BUCKET"`
	Region string `yaml:"region" env:"REGION"`
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
