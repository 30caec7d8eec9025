// Package chivecommand implements the operators' command line.
package chivecommand

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/user"
	"strings"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

// Exit codes of the command line.
const (
	ExitOK = 0
	// ExitRejected means that a change was refused, that a check failed or that
	// a comparison found differences.
	ExitRejected = 1
	// ExitUsage means that the arguments, a file or the connection to the
	// gateways is at fault.
	ExitUsage = 2
	// ExitUnknown means that a change may have been accepted, that an accepted
	// change is not in force everywhere in time, or that no log line mentions a
	// request.
	ExitUnknown = 3
)

// Environment variables that replace flags that are not set.
const (
	envGateways = "CHIVEYOKE_GATEWAYS"
	envToken    = "CHIVEYOKE_TOKEN"
)

// exitError makes the command exit with a code. An empty text means that the
// command has already printed its output and Main prints nothing more.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.text
}

// options holds the values of the flags that all commands share.
type options struct {
	gateways []string
	token    string
	output   string
	author   string
}

// New returns the root command with all its subcommands.
func New() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "chiveyoke",
		Short:         "Operate chiveyoke, a load balancer for expert-parallel model groups",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != "text" && o.output != "json" {
				return usagef("output %q is not text or json", o.output)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&o.gateways, "gateway", splitEnv(envGateways), "admin addresses of gateways (IP:port), tried in order (or "+envGateways+")")
	flags.StringVar(&o.token, "token", "", "operator token (or "+envToken+")")
	flags.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
	flags.StringVar(&o.author, "author", defaultAuthor(), "name of the author that is recorded with changes")
	root.AddCommand(o.sheetCommand(), o.zoneCommand(), o.endpointCommand(), o.statusCommand(), o.timelineCommand(), o.explainCommand(), o.configCommand(), o.keyCommand(), o.certCommand())
	return root
}

// Main runs the command line with the arguments, without the program's name, and
// returns its exit code. It prints errors to stderr.
func Main(args []string, stdout, stderr io.Writer) int {
	root := New()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	if text := err.Error(); text != "" {
		_, _ = fmt.Fprintln(stderr, "chiveyoke: "+text)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var rejected *chiveoperator.RejectedError
	if !errors.As(err, &rejected) {
		return ExitUsage
	}
	if rejected.Verdict == "not-run" {
		return ExitRejected
	}
	return ExitUnknown
}

func usagef(format string, args ...any) error {
	return &exitError{code: ExitUsage, text: fmt.Sprintf(format, args...)}
}

func rejectedf(format string, args ...any) error {
	return &exitError{code: ExitRejected, text: fmt.Sprintf(format, args...)}
}

func splitEnv(name string) []string {
	value := os.Getenv(name)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// client returns a client for the gateways that the flags name.
func (o *options) client() *chiveoperator.Client {
	token := o.token
	if token == "" {
		token = os.Getenv(envToken)
	}
	return chiveoperator.NewClient(o.gateways, token)
}

// newChange returns a change with a new ID that is based on the version base.
func (o *options) newChange(kind chiveconf.ChangeKind, subject string, base uint64) chiveconf.Change {
	return chiveconf.Change{ID: uuid.NewString(), Author: o.author, Kind: kind, Subject: subject, BaseVersion: base}
}

// print writes v as JSON to the command's output, or calls text to write it as
// text, depending on the output format.
func (o *options) print(cmd *cobra.Command, v any, text func(w io.Writer)) error {
	if o.output == "text" {
		text(cmd.OutOrStdout())
		return nil
	}
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
