package chivecommand

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
	"github.com/chiveyoke/chiveyoke/internal/run/chivecert"
)

func (o *options) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Create keys for callers and tokens for operators"}
	cmd.AddCommand(&cobra.Command{
		Use: "new", Short: "Print a new secret, and its digest for the sheet or the settings", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := chivecert.NewSecret()
			return o.print(cmd, s, func(w io.Writer) { _, _ = fmt.Fprintf(w, "secret %s\ndigest %s\n", s.Value, s.Digest) })
		},
	})
	return cmd
}

func (o *options) certCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "cert", Short: "Create the certificates of gateways and agents"}
	var dir string
	var validity time.Duration
	cmd.PersistentFlags().StringVar(&dir, "dir", ".", "directory of the PEM files")
	authority := &cobra.Command{
		Use: "authority", Short: "Create a certificate authority: ca.pem and ca-key.pem", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := chivecert.NewAuthority(dir, time.Now())
			return err
		},
	}
	issue := &cobra.Command{
		Use: "issue gateway|agent NAME", Short: "Create the certificate of a process: NAME.pem and NAME-key.pem", Args: cobra.ExactArgs(2),
		Example: "  chiveyoke cert issue gateway entry-1 --dir keys",
		RunE: func(_ *cobra.Command, args []string) error {
			role := chivelink.Role(args[0])
			if role != chivelink.RoleGateway && role != chivelink.RoleAgent {
				return usagef("%q is not gateway or agent", args[0])
			}
			a, err := chivecert.LoadAuthority(dir)
			if err != nil {
				return err
			}
			return a.Issue(dir, args[1], role, time.Now(), validity)
		},
	}
	issue.Flags().DurationVar(&validity, "life", 90*24*time.Hour, "how long the certificate is valid")
	cmd.AddCommand(authority, issue)
	return cmd
}
