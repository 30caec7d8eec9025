package chivecommand

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiveoperator"
	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// timeOfDayFormat is the layout of times in text output.
const timeOfDayFormat = "15:04:05.000000"

func (o *options) timelineCommand() *cobra.Command {
	var filter chivetime.Filter
	var svgPath string
	cmd := &cobra.Command{
		Use:   "timeline",
		Short: "Print the events of all processes in order of time",
		Example: "  chiveyoke timeline --kind config\n  chiveyoke timeline --subject 1c2e7a1e-7c3b-4a55-9b53-0b8d8d2f0c11\n" +
			"  chiveyoke timeline --picture timeline.svg",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := o.client().Events(cmd.Context(), filter)
			if err != nil {
				return err
			}
			if svgPath != "" {
				return writeSVG(svgPath, t.Events)
			}
			return o.print(cmd, t, func(w io.Writer) { printTimeline(w, t) })
		},
	}
	cmd.Flags().StringVar(&filter.Kind, "kind", "", "only events of this kind: request, config, leave, cold, boot, order, map, lease, alert, store")
	cmd.Flags().StringVar(&filter.Subject, "subject", "", "only events about this request, endpoint, group or version")
	cmd.Flags().StringVar(&svgPath, "picture", "", "write an SVG drawing to this file instead of printing")
	return cmd
}

func printTimeline(w io.Writer, t *chiveoperator.Timeline) {
	for _, e := range t.Events {
		at := time.Unix(0, e.Timestamp.Wall).UTC().Format(timeOfDayFormat)
		_, _ = fmt.Fprintf(w, "%s %-16s %-8s %-38s %s\n", at, e.Process, e.Kind, e.Subject, e.Text)
	}
	for _, name := range t.Missing {
		_, _ = fmt.Fprintf(w, "no answer from %s\n", name)
	}
}

// writeSVG draws the events to a file.
func writeSVG(path string, events []chivetime.Event) error {
	f, err := os.Create(path)
	if err != nil {
		return usagef("%v", err)
	}
	if err := chivetime.WriteSVG(f, events); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
