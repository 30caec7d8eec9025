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
	cmd := &cobra.Command{Use: "key", Short: "Make keys of callers and tokens of operators"}
	cmd.AddCommand(&cobra.Command{
		Use: "new", Short: "Print a new secret and the digest that sheets and settings hold", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := chivecert.NewSecret()
			return o.print(cmd, s, func(w io.Writer) { _, _ = fmt.Fprintf(w, "secret %s\ndigest %s\n", s.Value, s.Digest) })
		},
	})
	return cmd
}

func (o *options) certCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "cert", Short: "Make the certificates of processes"}
	var dir string
	var life time.Duration
	cmd.PersistentFlags().StringVar(&dir, "dir", ".", "directory of the files")
	authority := &cobra.Command{
		Use: "authority", Short: "Make an authority: ca.pem and ca-key.pem", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := chivecert.NewAuthority(dir, time.Now())
			return err
		},
	}
	issue := &cobra.Command{
		Use: "issue gateway|agent NAME", Short: "Make the certificate of a process: NAME.pem and NAME-key.pem", Args: cobra.ExactArgs(2),
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
			return a.Issue(dir, args[1], role, time.Now(), life)
		},
	}
	issue.Flags().DurationVar(&life, "life", 90*24*time.Hour, "how long the certificate is valid")
	cmd.AddCommand(authority, issue)
	return cmd
}
