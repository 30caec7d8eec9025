package chivecommand

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
	"github.com/chiveyoke/chiveyoke/internal/state/chivesheet"
)

// zoneRow is one row of the output of "zone list".
type zoneRow struct {
	Name      string `json:"name"`
	Out       bool   `json:"out"`
	Endpoints int    `json:"endpoints"`
}

func (o *options) zoneCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "List availability zones and take them out of service or back in"}
	cmd.AddCommand(
		o.changeCommand("out ZONE", "Take an availability zone out of service: it gets no new work", "  chiveyoke zone out palermo --wait 10s", chiveconf.KindZoneOut),
		o.changeCommand("in ZONE", "Take an availability zone back into service", "  chiveyoke zone in palermo", chiveconf.KindZoneIn),
		o.zoneListCommand(),
	)
	return cmd
}

// changeCommand returns a command that asks for a change of the given kind to the
// availability zone or endpoint that its argument names.
func (o *options) changeCommand(use, short, example string, kind chiveconf.ChangeKind) *cobra.Command {
	var base int64
	var wait time.Duration
	cmd := &cobra.Command{
		Use: use, Short: short, Example: example, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := o.client()
			version, err := baseVersion(cmd.Context(), client, base)
			if err != nil {
				return err
			}
			head, err := client.Change(cmd.Context(), o.newChange(kind, args[0], version))
			if err != nil {
				return err
			}
			return o.printAccepted(cmd, client, head, wait)
		},
	}
	cmd.Flags().Int64Var(&base, "base", -1, "version that the change is based on; refused if the same zone or endpoint has changed since (default: the version in force)")
	cmd.Flags().DurationVar(&wait, "wait", 0, "maximum time to wait until the version is in force in every process; 0 does not wait")
	return cmd
}

func (o *options) zoneListCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the availability zones", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			sheet, head, err := o.fetchConfig(cmd)
			if err != nil {
				return err
			}
			rows := make([]zoneRow, 0, len(sheet.Zones))
			for _, z := range sheet.Zones {
				row := zoneRow{Name: z.Name, Out: head.IsZoneOut(z.Name)}
				for _, e := range sheet.Endpoints {
					if e.Zone == z.Name {
						row.Endpoints++
					}
				}
				rows = append(rows, row)
			}
			return o.print(cmd, rows, func(w io.Writer) {
				for _, r := range rows {
					_, _ = fmt.Fprintf(w, "%-24s %-4s %4d endpoints\n", r.Name, zoneState(r.Out), r.Endpoints)
				}
			})
		},
	}
}

func zoneState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// fetchConfig returns the sheet and the head in force at a gateway.
func (o *options) fetchConfig(cmd *cobra.Command) (*chivesheet.Sheet, *chiveconf.Head, error) {
	client := o.client()
	head, err := client.Head(cmd.Context())
	if err != nil {
		return nil, nil, err
	}
	raw, err := client.Sheet(cmd.Context())
	if err != nil {
		return nil, nil, err
	}
	sheet, err := chivesheet.Parse(raw)
	return sheet, head, err
}
