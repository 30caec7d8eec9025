// Package chivesetting implements the settings of the daemons, which are read from
// YAML files and overridden by environment variables.
package chivesetting

import (
	"bytes"
	"fmt"
	"os"
	"time"

	"github.com/caarlos0/env/v11"
	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("settings")

// envPrefix is the prefix of all environment variables that override settings.
const envPrefix = "CHIVEYOKE_"

// Checker validates settings.
type Checker interface {
	// Check returns an error that names the settings that are missing or invalid.
	Check() error
}

// Load reads a YAML file into settings, which hold the defaults, then applies
// environment variables and checks the result. It returns an error that names the
// file if the file cannot be read, a key is unknown, or a value is missing or
// invalid. Errors of YAML also state the line and column.
func Load(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := Decode(data, settings); err != nil {
		return Error.New("%s:%v", path, err)
	}
	return nil
}

// Decode reads settings from YAML text and the environment, as Load does from a
// file. Its errors begin with a position or a space and are meant to follow
// "FILE:".
func Decode(data []byte, settings Checker) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(settings); err != nil {
		return withPosition(err)
	}
	if err := env.ParseWithOptions(settings, env.Options{Prefix: envPrefix}); err != nil {
		return fmt.Errorf(" environment: %w", err)
	}
	if err := settings.Check(); err != nil {
		return fmt.Errorf(" %w", err)
	}
	return nil
}

// withPosition prefixes the text of a YAML error with its line and column, if it
// has them.
func withPosition(err error) error {
	var yamlErr yaml.Error
	if !asYAMLError(err, &yamlErr) || yamlErr.GetToken() == nil || yamlErr.GetToken().Position == nil {
		return fmt.Errorf(" %w", err)
	}
	p := yamlErr.GetToken().Position
	return fmt.Errorf("%d:%d: %s", p.Line, p.Column, yamlErr.GetMessage())
}

// Duration is a time.Duration whose text form is the one that time.ParseDuration
// accepts, such as "250ms" or "3s".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}
