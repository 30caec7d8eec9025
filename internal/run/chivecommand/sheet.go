package chivecommand

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// waitPollInterval is the time between two queries of whether a version is in force
// in every process.
const waitPollInterval = 200 * time.Millisecond

// sheetReport is the result of checking a sheet, as printed in JSON.
type sheetReport struct {
	File       string            `json:"file"`
	Valid      bool              `json:"valid"`
	Faults     chivesheet.Faults `json:"faults,omitempty"`
	Workspaces int               `json:"workspaces"`
	Zones      int               `json:"zones"`
	// Groups is the number of groups and services.
	Groups    int `json:"groups"`
	Endpoints int `json:"endpoints"`
}

func (o *options) sheetCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "sheet", Short: "Check, apply, show and compare sheets"}
	cmd.AddCommand(o.sheetCheckCommand(), o.sheetApplyCommand(), o.sheetShowCommand(), o.sheetDiffCommand())
	return cmd
}

func (o *options) sheetCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a sheet without contacting a daemon; prints every fault as FILE:ROW:COLUMN: TEXT",
		Example: "  chiveyoke sheet check examples/ferraro/sheet.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readSheet(args[0])
			if err != nil {
				return err
			}
			sheet, err := chivesheet.Parse(raw)
			return o.printSheetReport(cmd, args[0], sheet, err)
		},
	}
}

func readSheet(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return raw, nil
}

// printSheetReport prints the result of parsing a sheet, which is either the sheet
// or an error with its faults. It returns an error if the sheet is invalid.
func (o *options) printSheetReport(cmd *cobra.Command, file string, sheet *chivesheet.Sheet, err error) error {
	report := sheetReport{File: file, Valid: err == nil}
	errors.As(err, &report.Faults)
	if sheet != nil {
		report.Workspaces, report.Zones = len(sheet.Workspaces), len(sheet.Zones)
		report.Groups, report.Endpoints = len(sheet.Groups)+len(sheet.Services), len(sheet.Endpoints)
	}
	printErr := o.print(cmd, report, func(w io.Writer) {
		if report.Valid {
			_, _ = fmt.Fprintf(w, "%s: valid, %d workspaces, %d zones, %d groups and services, %d endpoints\n",
				file, report.Workspaces, report.Zones, report.Groups, report.Endpoints)
		}
		for _, f := range report.Faults {
			_, _ = fmt.Fprintf(w, "%s:%s\n", file, f)
		}
	})
	if printErr != nil || report.Valid {
		return printErr
	}
	return &exitError{code: ExitRejected}
}

func (o *options) sheetApplyCommand() *cobra.Command {
	var base int64
	var wait time.Duration
	cmd := &cobra.Command{
		Use:     "apply FILE",
		Short:   "Check a sheet and put it in force",
		Example: "  chiveyoke sheet apply sheet.csv --wait 10s\n  chiveyoke sheet apply sheet.csv --base 41",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return o.applySheet(cmd, args[0], base, wait)
		},
	}
	cmd.Flags().Int64Var(&base, "base", -1, "version that the sheet is based on; refused if the sheet in force has changed since (default: the version in force)")
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the version is in force in every process; 0 does not wait")
	return cmd
}

func (o *options) applySheet(cmd *cobra.Command, path string, base int64, wait time.Duration) error {
	raw, err := readSheet(path)
	if err != nil {
		return err
	}
	if sheet, err := chivesheet.Parse(raw); err != nil {
		return o.printSheetReport(cmd, path, sheet, err)
	}
	client := o.client()
	version, err := baseVersion(cmd.Context(), client, base)
	if err != nil {
		return err
	}
	head, err := client.Apply(cmd.Context(), o.newChange(chiveconf.KindSheet, "sheet", version), raw)
	if err != nil {
		return err
	}
	return o.printAccepted(cmd, client, head, wait)
}

// baseVersion returns the version that a change is based on: base, or the version
// in force if base is negative.
func baseVersion(ctx context.Context, client *chiveoperator.Client, base int64) (uint64, error) {
	if base >= 0 {
		return uint64(base), nil
	}
	head, err := client.Head(ctx)
	if err != nil {
		return 0, err
	}
	return head.Version, nil
}

// printAccepted prints the version that an accepted change produced. If wait is
// above 0, it first waits at most that long until the version is in force in every
// process, and returns an error if it still is not.
func (o *options) printAccepted(cmd *cobra.Command, client *chiveoperator.Client, head *chiveconf.Head, wait time.Duration) error {
	if wait == 0 {
		return o.print(cmd, head, func(w io.Writer) { _, _ = fmt.Fprintf(w, "version %d accepted\n", head.Version) })
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), wait)
	defer cancel()
	for {
		nodes, err := client.Nodes(ctx)
		if err == nil && countInForce(nodes, head.Version) == len(nodes.Nodes) {
			return o.print(cmd, nodes, func(w io.Writer) {
				_, _ = fmt.Fprintf(w, "version %d in force in %d of %d processes\n", head.Version, len(nodes.Nodes), len(nodes.Nodes))
			})
		}
		select {
		case <-ctx.Done():
			return o.printNotInForce(cmd, nodes, head.Version)
		case <-time.After(waitPollInterval):
		}
	}
}

// printNotInForce prints to stderr the processes that have an older version or did
// not answer, and returns an error that states in how many the version is in force.
func (o *options) printNotInForce(cmd *cobra.Command, nodes *chiveoperator.NodeList, version uint64) error {
	for _, n := range nodes.Nodes {
		if n.ConfigVersion < version {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: version %d %s\n", n.Node.Name, n.ConfigVersion, n.Error)
		}
	}
	return &exitError{code: ExitUnknown, text: fmt.Sprintf("version %d accepted, in force in %d of %d processes so far",
		version, countInForce(nodes, version), len(nodes.Nodes))}
}

// countInForce returns the number of processes in which the version or a newer one
// is in force.
func countInForce(nodes *chiveoperator.NodeList, version uint64) int {
	n := 0
	for _, s := range nodes.Nodes {
		if s.Error == "" && s.ConfigVersion >= version {
			n++
		}
	}
	return n
}

func (o *options) sheetShowCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Print the sheet in force",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := o.client().Sheet(cmd.Context())
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(raw)
			return err
		},
	}
}

func (o *options) sheetDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Print what a sheet would change; exits with 1 if it changes anything",
		Example: "  chiveyoke sheet diff tomorrow.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readSheet(args[0])
			if err != nil {
				return err
			}
			next, err := chivesheet.Parse(raw)
			if err != nil {
				return o.printSheetReport(cmd, args[0], nil, err)
			}
			return o.diffSheet(cmd, next)
		},
	}
}

// diffSheet prints the differences between the sheet in force and next. It returns
// an error if there are any.
func (o *options) diffSheet(cmd *cobra.Command, next *chivesheet.Sheet) error {
	raw, err := o.client().Sheet(cmd.Context())
	if err != nil {
		return err
	}
	old, err := chivesheet.Parse(raw)
	if err != nil {
		return err
	}
	changes := chivesheet.Diff(old, next)
	err = o.print(cmd, changes, func(w io.Writer) {
		for _, c := range changes {
			_, _ = fmt.Fprintln(w, c)
		}
	})
	if err != nil || len(changes) == 0 {
		return err
	}
	return &exitError{code: ExitRejected}
}
