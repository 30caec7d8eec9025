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

// The exit codes.
const (
	ExitOK       = 0
	ExitRejected = 1
	ExitUsage    = 2
	ExitUnknown  = 3
)

// The environment variables that stand in for flags.
const (
	envGateways = "CHIVEYOKE_GATEWAYS"
	envToken    = "CHIVEYOKE_TOKEN"
)

// An exitError ends the command with a code; its text was printed already where
// it is empty.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.text
}

// options holds the flags that all commands share.
type options struct {
	gateways []string
	token    string
	output   string
	author   string
}

// New returns a new root command.
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
	flags.StringSliceVar(&o.gateways, "gateway", splitEnv(envGateways), "admin addresses of gateways, tried in turn (or "+envGateways+")")
	flags.StringVar(&o.token, "token", "", "operator token (or "+envToken+")")
	flags.StringVarP(&o.output, "output", "o", "text", "output format: text or json")
	flags.StringVar(&o.author, "author", defaultAuthor(), "name that changes are logged under")
	root.AddCommand(o.sheetCommand(), o.zoneCommand(), o.endpointCommand(), o.statusCommand(), o.timelineCommand(), o.explainCommand(), o.configCommand(), o.keyCommand(), o.certCommand())
	return root
}

// Main runs the command line and returns its exit code.
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

// client returns a client of the gateways.
func (o *options) client() *chiveoperator.Client {
	token := o.token
	if token == "" {
		token = os.Getenv(envToken)
	}
	return chiveoperator.NewClient(o.gateways, token)
}

// newChange returns a new change on a version.
func (o *options) newChange(kind chiveconf.ChangeKind, subject string, base uint64) chiveconf.Change {
	return chiveconf.Change{ID: uuid.NewString(), Author: o.author, Kind: kind, Subject: subject, BaseVersion: base}
}

// print writes v as JSON, or calls text.
func (o *options) print(cmd *cobra.Command, v any, text func(w io.Writer)) error {
	if o.output == "text" {
		text(cmd.OutOrStdout())
		return nil
	}
	e := json.NewEncoder(cmd.OutOrStdout())
	e.SetIndent("", "  ")
	return e.Encode(v)
}
