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
	// pending is the number of lines that wait for a slow reader at most.
	pending = 512
	// ratePeriod and rateLines bound the volume: lines in each period.
	ratePeriod = time.Second
	rateLines  = 150
)

// A Writer passes lines on in the background and leaves out those beyond its
// bounds. It counts what it leaves out.
type Writer struct {
	out   io.Writer
	lines chan []byte
	// left counts the lines left out since the last note.
	left  atomic.Int64
	sent  atomic.Int64
	ended chan struct{}
}

// NewWriter returns a new Writer.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, pending), ended: make(chan struct{})}
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if w.sent.Add(1) > rateLines {
		w.left.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.left.Add(1)
	}
	return len(line), nil
}

// Run writes lines until the context ends, and then those that still wait.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.ended)
	tick := time.NewTicker(ratePeriod)
	defer tick.Stop()
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-tick.C:
			w.sent.Store(0)
			w.note()
		case <-ctx.Done():
			w.flush()
			return nil
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			w.note()
			return
		}
	}
}

// note writes how many lines were left out.
func (w *Writer) note() {
	if n := w.left.Swap(0); n > 0 {
		w.write(fmt.Appendf(nil, `{"level":"warn","prefix":"log","msg":"Lines were left out.","count":%d}`+"\n", n))
	}
}

// write passes a line on. A line that cannot be written is counted: there is no
// other place to report it.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.left.Add(1)
	}
}
