package chivecommand

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/run/chivesetting"
)

func (o *options) configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check the settings of daemons"}
	check := &cobra.Command{
		Use:     "check gateway|agent FILE",
		Short:   "Check a settings file without starting a daemon",
		Example: "  chiveyoke config check gateway examples/ferraro/gateway.yaml",
		Args:    cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings := map[string]chivesetting.Checker{"gateway": chivesetting.NewGateway(), "agent": chivesetting.NewAgent()}[args[0]]
			if settings == nil {
				return usagef("%q is not gateway or agent", args[0])
			}
			if err := chivesetting.Load(args[1], settings); err != nil {
				return rejectedf("%v", err)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: valid\n", args[1])
			return err
		},
	}
	cmd.AddCommand(check)
	return cmd
}
