package chivecommand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// maxLogLineBytes is the size of the read buffer. Longer lines are read in
	// pieces, which usually do not parse and are skipped.
	maxLogLineBytes = 1 << 20
	// contextWindow is the time before the first and after the last line of a
	// request from which further lines of its processes are included.
	contextWindow = 5 * time.Second
)

// LogLine is one parsed line of a process's log.
type LogLine struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	// Component is the part of the process that logged the line, such as "store".
	Component string `json:"part"`
	Text      string `json:"text"`
	// Fields holds the line's other fields.
	Fields map[string]any `json:"fields,omitempty"`
	// Request is true for a line about the request itself, and false for one that
	// gives context.
	Request bool `json:"request"`
}

// RequestReport holds what logs say about one request.
type RequestReport struct {
	// Request is the request's ID.
	Request string `json:"request"`
	// Lines holds the selected lines, oldest first.
	Lines []LogLine `json:"lines"`
	// Cause is the cause of the request's last failure. It is empty for a request
	// that was served.
	Cause string `json:"cause,omitempty"`
	// Skipped is the number of log lines that could not be parsed.
	Skipped int `json:"skipped"`
}

func (o *options) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain REQUEST [LOG ...]",
		Short:   "Show what process logs say about a request",
		Long:    "Show what process logs say about a request. The logs are given as files or on standard input, and may come from any processes.",
		Example: "  chiveyoke explain 9c41d07be2a35f68 entry-*.log\n  cat *.log | chiveyoke explain 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []LogLine
			skipped := 0
			err := forEachLog(args[1:], cmd.InOrStdin(), func(r io.Reader) error {
				more, unreadable, err := readLog(r)
				lines, skipped = append(lines, more...), skipped+unreadable
				return err
			})
			if err != nil {
				return usagef("%v", err)
			}
			report := Explain(args[0], lines)
			report.Skipped = skipped
			if err := o.print(cmd, report, func(w io.Writer) { report.print(w) }); err != nil {
				return err
			}
			if len(report.Lines) == 0 {
				return &exitError{code: ExitUnknown, text: fmt.Sprintf("no log line mentions request %s", args[0])}
			}
			return nil
		},
	}
}

// forEachLog calls read with each file, or with standard input if there are no
// paths. It stops at the first error, which it returns with the file's path.
func forEachLog(paths []string, stdin io.Reader, read func(io.Reader) error) error {
	if len(paths) == 0 {
		return read(stdin)
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		err = errors.Join(read(f), f.Close())
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

// readLog parses a log. It returns the lines that parse and the number of
// non-empty lines that do not, such as incomplete ones or those of other programs.
func readLog(r io.Reader) (lines []LogLine, skipped int, err error) {
	buffered := bufio.NewReaderSize(r, maxLogLineBytes)
	for {
		text, err := buffered.ReadSlice('\n')
		if line, ok := parseLine(text); ok {
			lines = append(lines, line)
		} else if len(bytes.TrimSpace(text)) > 0 {
			skipped++
		}
		switch {
		case errors.Is(err, io.EOF):
			return lines, skipped, nil
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return lines, skipped, err
		}
	}
}

// parseLine parses one line of a JSON log. It ignores everything before the first
// brace, so that it accepts lines with a prefix added by a log collector. It
// reports false if there is no JSON object, valid time or message.
func parseLine(text []byte) (LogLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return LogLine{}, false
	}
	remove := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	l := LogLine{Process: remove("process"), Component: remove("prefix"), Text: remove("msg")}
	logged, err := time.Parse(time.RFC3339Nano, remove("time"))
	delete(fields, "level")
	l.Time, l.Fields = logged, fields
	return l, err == nil && l.Text != ""
}

// Explain selects the lines about a request, ordered by time. To these it adds
// lines that the same processes logged within contextWindow of the request and
// that name no other request and no runner that the request did not use, and the
// last line about the store that each of them logged before that window.
func Explain(request string, lines []LogLine) *RequestReport {
	report := &RequestReport{Request: request}
	runners, processes := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		processes[l.Process] = true
		if runner, ok := l.Fields["runner"].(string); ok && runner != "" {
			runners[runner] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	report.Lines = append(report.Lines, lastStoreLines(lines, processes, first.Add(-contextWindow))...)
	for _, l := range lines {
		l.Request = l.Fields["request"] == request
		inWindow := processes[l.Process] && !l.Time.Before(first.Add(-contextWindow)) && !l.Time.After(last.Add(contextWindow))
		if l.Request || inWindow && l.isContext(runners) {
			report.Lines = append(report.Lines, l)
		}
	}
	sort.SliceStable(report.Lines, func(i, j int) bool { return report.Lines[i].Time.Before(report.Lines[j].Time) })
	for _, l := range report.Lines {
		if cause, ok := l.Fields["cause"].(string); ok && l.Request {
			report.Cause = cause
		}
	}
	return report
}

// lastStoreLines returns the last line about the store that each of the processes
// logged before a time: an outage may have begun long before the request.
func lastStoreLines(lines []LogLine, processes map[string]bool, before time.Time) []LogLine {
	last := map[string]LogLine{}
	for _, l := range lines {
		if processes[l.Process] && l.Component == componentStore && l.Time.Before(before) && !l.Time.Before(last[l.Process].Time) {
			last[l.Process] = l
		}
	}
	list := make([]LogLine, 0, len(last))
	for _, l := range last {
		list = append(list, l)
	}
	return list
}

// componentStore is the log prefix of the component that reads the store's tables.
const componentStore = "store"

// isContext reports whether a line may explain a request that used the runners:
// it names no request, and no runner but these.
func (l *LogLine) isContext(runners map[string]bool) bool {
	if _, hasRequest := l.Fields["request"]; hasRequest {
		return false
	}
	runner, ok := l.Fields["runner"].(string)
	return !ok || runners[runner]
}

// print writes the report as text. Lines about the request itself are marked with
// an asterisk.
func (r *RequestReport) print(w io.Writer) {
	for _, l := range r.Lines {
		marker := " "
		if l.Request {
			marker = "*"
		}
		_, _ = fmt.Fprintf(w, "%s %s %-16s %-6s %s%s\n", marker, l.Time.UTC().Format(timeOfDayFormat), l.Process, l.Component, l.Text, l.formatFields())
	}
	if r.Cause != "" {
		_, _ = fmt.Fprintf(w, "cause: %s\n", r.Cause)
	}
	if r.Skipped > 0 {
		_, _ = fmt.Fprintf(w, "%d log lines could not be parsed\n", r.Skipped)
	}
}

// formatFields formats the line's fields, sorted by name, without the request and
// without empty ones.
func (l *LogLine) formatFields() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, name := range names {
		if l.Fields[name] != "" && name != "request" {
			_, _ = fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
		}
	}
	return b.String()
}
