// Package chivesetting implements the settings of the daemons: YAML files with
// overrides from the environment.
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

// envPrefix stands before the names of environment variables.
const envPrefix = "CHIVEYOKE_"

// A Checker reports the first setting that is missing or absurd.
type Checker interface {
	Check() error
}

// Load reads a YAML file into settings that hold the defaults, then applies
// environment variables and checks the result. An unknown key or a bad value is
// an error that names the file, the line and the key.
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

// Decode reads YAML text as Load does.
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

// withPosition puts the line and column before the text of a YAML error.
func withPosition(err error) error {
	var at yaml.Error
	if !asYAMLError(err, &at) || at.GetToken() == nil || at.GetToken().Position == nil {
		return fmt.Errorf(" %w", err)
	}
	p := at.GetToken().Position
	return fmt.Errorf("%d:%d: %s", p.Line, p.Column, at.GetMessage())
}

// A Duration is a time.Duration that is written as "250ms" or "3s".
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
