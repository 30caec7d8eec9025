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
	// maxLogLineBytes is the longest line of a log, in bytes; longer ones are cut.
	maxLogLineBytes = 1 << 20
	// contextWindow is how far from a request what its process believed is told.
	contextWindow = 5 * time.Second
)

// A LogLine is one line of a process's log.
type LogLine struct {
	Time      time.Time      `json:"time"`
	Process   string         `json:"process"`
	Component string         `json:"part"`
	Text      string         `json:"text"`
	Fields    map[string]any `json:"fields,omitempty"`
	// Request says that the line is about the request itself.
	Request bool `json:"request"`
}

// A RequestReport is what logs tell of one request.
type RequestReport struct {
	Request string    `json:"request"`
	Lines   []LogLine `json:"lines"`
	// Cause is that of its last failure; it is empty for a request that was
	// served.
	Cause string `json:"cause,omitempty"`
	// Skipped counts the lines that could not be read.
	Skipped int `json:"skipped"`
}

func (o *options) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "explain REQUEST [LOG ...]",
		Short:   "Tell the story of a request from the logs of any processes",
		Long:    "Tell the story of a request from the logs of any processes, given as files or on standard input.",
		Example: "  chiveyoke explain 9c41d07be2a35f68 entry-*.log\n  cat *.log | chiveyoke explain 9c41d07be2a35f68",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var lines []LogLine
			skipped := 0
			err := forEachLog(args[1:], cmd.InOrStdin(), func(r io.Reader) error {
				more, bad, err := readLog(r)
				lines, skipped = append(lines, more...), skipped+bad
				return err
			})
			if err != nil {
				return usagef("%v", err)
			}
			story := Explain(args[0], lines)
			story.Skipped = skipped
			if err := o.print(cmd, story, func(w io.Writer) { story.print(w) }); err != nil {
				return err
			}
			if len(story.Lines) == 0 {
				return &exitError{code: ExitUnknown, text: fmt.Sprintf("no line tells of request %s", args[0])}
			}
			return nil
		},
	}
}

// forEachLog reads files, or standard input where there are none.
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

// readLog returns the lines of a log and the number of those that are torn or
// foreign.
func readLog(r io.Reader) (lines []LogLine, skipped int, err error) {
	in := bufio.NewReaderSize(r, maxLogLineBytes)
	for {
		text, err := in.ReadSlice('\n')
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

// parseLine reads one line. What stands before its first brace is passed over,
// so that lines with a prefix of a log collector are read, too.
func parseLine(text []byte) (LogLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return LogLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return LogLine{}, false
	}
	take := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	l := LogLine{Process: take("process"), Component: take("prefix"), Text: take("msg")}
	at, err := time.Parse(time.RFC3339Nano, take("time"))
	delete(fields, "level")
	l.Time, l.Fields = at, fields
	return l, err == nil && l.Text != ""
}

// Explain picks the lines about a request, and what its processes noted within a
// few seconds about the runners that it met, about the store and about the
// fleet.
func Explain(request string, lines []LogLine) *RequestReport {
	story := &RequestReport{Request: request}
	subjects, processes := map[string]bool{}, map[string]bool{}
	var first, last time.Time
	for _, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		processes[l.Process] = true
		if runner, ok := l.Fields["runner"].(string); ok && runner != "" {
			subjects[runner] = true
		}
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	story.Lines = append(story.Lines, lastStoreLines(lines, processes, first.Add(-contextWindow))...)
	for _, l := range lines {
		l.Request = l.Fields["request"] == request
		near := processes[l.Process] && !l.Time.Before(first.Add(-contextWindow)) && !l.Time.After(last.Add(contextWindow))
		if l.Request || near && l.isContext(subjects) {
			story.Lines = append(story.Lines, l)
		}
	}
	sort.SliceStable(story.Lines, func(i, j int) bool { return story.Lines[i].Time.Before(story.Lines[j].Time) })
	for _, l := range story.Lines {
		if cause, ok := l.Fields["cause"].(string); ok && l.Request {
			story.Cause = cause
		}
	}
	return story
}

// lastStoreLines returns what each process last noted of the store before a time: an
// outage may have begun long before the request.
func lastStoreLines(lines []LogLine, processes map[string]bool, at time.Time) []LogLine {
	last := map[string]LogLine{}
	for _, l := range lines {
		if processes[l.Process] && l.Component == componentStore && l.Time.Before(at) && !l.Time.Before(last[l.Process].Time) {
			last[l.Process] = l
		}
	}
	list := make([]LogLine, 0, len(last))
	for _, l := range last {
		list = append(list, l)
	}
	return list
}

// componentStore is the part of a process that follows the store's tables.
const componentStore = "store"

// isContext reports whether a line about no request may explain one.
func (l *LogLine) isContext(subjects map[string]bool) bool {
	if _, other := l.Fields["request"]; other {
		return false
	}
	runner, ok := l.Fields["runner"].(string)
	return !ok || subjects[runner]
}

func (s *RequestReport) print(w io.Writer) {
	for _, l := range s.Lines {
		mark := " "
		if l.Request {
			mark = "*"
		}
		_, _ = fmt.Fprintf(w, "%s %s %-16s %-6s %s%s\n", mark, l.Time.UTC().Format(timeOfDayFormat), l.Process, l.Component, l.Text, l.formatFields())
	}
	if s.Cause != "" {
		_, _ = fmt.Fprintf(w, "cause: %s\n", s.Cause)
	}
	if s.Skipped > 0 {
		_, _ = fmt.Fprintf(w, "%d lines could not be read\n", s.Skipped)
	}
}

// formatFields returns the fields of a line in the order of their names.
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
