// Package chivelog implements log output that never blocks the process and that
// limits the rate of lines.
package chivelog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is the number of lines that may wait for a slow output.
	maxPendingLines = 512
	// At most maxLinesPerPeriod lines are accepted in each ratePeriod.
	ratePeriod        = time.Second
	maxLinesPerPeriod = 150
)

// Writer writes lines to an output in the background. It drops lines above its
// rate limit and lines for which its buffer has no room, and writes how many it
// dropped.
type Writer struct {
	out     io.Writer
	pending chan []byte
	// dropped counts the lines dropped since the last report of their number.
	dropped atomic.Int64
	// linesInPeriod counts the lines passed to Write in the current period.
	linesInPeriod atomic.Int64
	// done is closed when Run returns.
	done chan struct{}
}

// NewWriter returns a new Writer to out. Nothing is written until Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, pending: make(chan []byte, maxPendingLines), done: make(chan struct{})}
}

// Write implements io.Writer. It queues a copy of one line or drops it; it never
// blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if w.linesInPeriod.Add(1) > maxLinesPerPeriod {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.pending <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until the context is done, then those that are still
// queued. It always returns nil.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	tick := time.NewTicker(ratePeriod)
	defer tick.Stop()
	for {
		select {
		case line := <-w.pending:
			w.writeLine(line)
		case <-tick.C:
			w.linesInPeriod.Store(0)
			w.reportDropped()
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

// flush writes all queued lines and reports dropped ones.
func (w *Writer) flush() {
	for {
		select {
		case line := <-w.pending:
			w.writeLine(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// reportDropped writes a line with the number of dropped lines, if there are any.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, `{"level":"warn","prefix":"log","msg":"Lines were dropped.","count":%d}`+"\n", n))
	}
}

// writeLine writes a line to the output. A line that cannot be written counts as
// dropped because there is no other place to report the error.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
