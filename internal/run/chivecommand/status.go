package chivecommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

func (o *options) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show every process with its state and version; exits 1 where one is missing or behind", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			nodes, err := o.client().Nodes(cmd.Context())
			if err != nil {
				return err
			}
			err = o.print(cmd, nodes, func(w io.Writer) {
				for _, n := range nodes.Nodes {
					_, _ = fmt.Fprintf(w, "%-20s %-8s %-12s %-9s version %-5d %s%s\n",
						n.Node.Name, n.Node.Role, n.Node.Zone, n.State, n.ConfigVersion, formatLoad(n.Load), n.Error)
				}
			})
			if err != nil {
				return err
			}
			if up := countInForce(nodes, nodes.Version); up < len(nodes.Nodes) {
				return rejectedf("version %d is in force in %d of %d processes", nodes.Version, up, len(nodes.Nodes))
			}
			return nil
		},
	}
}
