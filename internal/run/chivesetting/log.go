package chivesetting

import (
	"errors"
	"fmt"
	"io"

	"github.com/charmbracelet/log"
	"github.com/goccy/go-yaml"
)

// Log holds the settings of a daemon's log.
type Log struct {
	// Level is "debug", "info", "warn" or "error".
	Level string `yaml:"level" env:"LEVEL"`
	// Format is "text", "json" or "logfmt".
	Format string `yaml:"format" env:"FORMAT"`
}

// NewLog returns a Log that holds the defaults.
func NewLog() Log {
	return Log{Level: "info", Format: "text"}
}

var logFormatters = map[string]log.Formatter{
	"text":   log.TextFormatter,
	"json":   log.JSONFormatter,
	"logfmt": log.LogfmtFormatter,
}

// Check implements Checker. It returns an error for an unknown level or format.
func (l *Log) Check() error {
	if _, err := log.ParseLevel(l.Level); err != nil {
		return fmt.Errorf("log.level: %q is not debug, info, warn or error", l.Level)
	}
	if _, ok := logFormatters[l.Format]; !ok {
		return fmt.Errorf("log.format: %q is not text, json or logfmt", l.Format)
	}
	return nil
}

// Logger returns a new logger that writes lines with the prefix to w. An unknown
// level counts as info.
func (l *Log) Logger(w io.Writer, prefix string) *log.Logger {
	level, err := log.ParseLevel(l.Level)
	if err != nil {
		level = log.InfoLevel
	}
	return log.NewWithOptions(w, log.Options{
		Prefix:          prefix,
		Level:           level,
		Formatter:       logFormatters[l.Format],
		ReportTimestamp: true,
	})
}

// asYAMLError is errors.As for errors of the YAML package.
func asYAMLError(err error, target *yaml.Error) bool {
	return errors.As(err, target)
}
