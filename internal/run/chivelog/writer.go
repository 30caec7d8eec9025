// Package chivelog implements log output that never blocks its process and whose
// volume is bounded.
package chivelog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines is the number of lines that wait for a slow reader at most.
	maxPendingLines = 512
	// ratePeriod and rateLines bound the volume: lines in each period.
	ratePeriod        = time.Second
	maxLinesPerPeriod = 150
)

// A Writer passes lines on in the background and leaves out those beyond its
// bounds. It counts what it leaves out.
type Writer struct {
	out     io.Writer
	pending chan []byte
	// dropped counts the lines dropped out since the last note.
	dropped       atomic.Int64
	linesInPeriod atomic.Int64
	done          chan struct{}
}

// NewWriter returns a new Writer.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, pending: make(chan []byte, maxPendingLines), done: make(chan struct{})}
}

// Write implements io.Writer. It never blocks and never fails.
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

// Run writes lines until the context ends, and then those that still wait.
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

// reportDropped writes how many lines were left out.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, `{"level":"warn","prefix":"log","msg":"Lines were left out.","count":%d}`+"\n", n))
	}
}

// writeLine passes a line on. A line that cannot be written is counted: there is no
// other place to report it.
func (w *Writer) writeLine(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
