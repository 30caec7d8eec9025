package chivecommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveconf"
)

// endpointRow is one row of the output of "endpoint list".
type endpointRow struct {
	Name  string          `json:"name"`
	Zone  string          `json:"zone"`
	Group string          `json:"group"`
	Open  bool            `json:"open"`
	State string          `json:"state"`
	Load  *chivelink.Load `json:"load,omitempty"`
}

func (o *options) endpointCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "endpoint", Short: "Drain and list endpoints"}
	cmd.AddCommand(
		o.changeCommand("drain ENDPOINT", "Let an endpoint finish its requests and accept no new ones", "  chiveyoke endpoint drain draft-1", chiveconf.KindDrain),
		o.changeCommand("undrain ENDPOINT", "Let a drained endpoint accept new requests again", "  chiveyoke endpoint undrain draft-1", chiveconf.KindUndrain),
		o.endpointListCommand(),
	)
	return cmd
}

func (o *options) endpointListCommand() *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List the endpoints with their load", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := o.fetchEndpointRows(cmd)
			if err != nil {
				return err
			}
			return o.print(cmd, rows, func(w io.Writer) {
				for _, r := range rows {
					_, _ = fmt.Fprintf(w, "%-20s %-12s %-16s %-8s %s\n", r.Name, r.Zone, r.Group, r.State, formatLoad(r.Load))
				}
			})
		},
	}
}

// fetchEndpointRows combines the sheet and the head in force with the status that
// each process reports. Serving endpoints that are drained, or whose availability
// zone is out, have the state "closed".
func (o *options) fetchEndpointRows(cmd *cobra.Command) ([]endpointRow, error) {
	sheet, head, err := o.fetchConfig(cmd)
	if err != nil {
		return nil, err
	}
	nodes, err := o.client().Nodes(cmd.Context())
	if err != nil {
		return nil, err
	}
	statuses := map[string]chiveoperator.NodeStatus{}
	for _, n := range nodes.Nodes {
		statuses[n.Node.Name] = n
	}
	rows := make([]endpointRow, 0, len(sheet.Endpoints))
	for _, e := range sheet.Endpoints {
		open := !head.IsZoneOut(e.Zone) && !head.IsEndpointDraining(e.Name)
		status := statuses[e.Name]
		row := endpointRow{Name: e.Name, Zone: e.Zone, Group: e.Group, Open: open, State: status.State, Load: status.Load}
		if !open && status.State == "serving" {
			row.State = "closed"
		}
		rows = append(rows, row)
	}
	return rows, nil
}

func formatLoad(l *chivelink.Load) string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf("%d running, %d waiting, limit %d, step %v", l.Running, l.Waiting, l.Limit, l.MeanStepTime)
}
