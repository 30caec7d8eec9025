package chiverelay

import (
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

const (
	// blockedTime is how long a write to a caller blocks until the caller counts as slow.
	blockedTime = 50 * time.Millisecond
	// callerStallTime is how long a caller may read nothing after the deadline of its
	// request.
	callerStallTime = 10 * time.Second
	// writeSize is the number of bytes that are written to a slow caller at a time. Each
	// such write that returns shows that the caller reads.
	writeSize = 8 << 10
	// wholeWriteSize is the number of bytes of a whole response that are written to other
	// callers at a time.
	wholeWriteSize = 64 << 10
)

// errCut is the error of writes to a caller that was cut.
var errCut = errs.New("caller reads too slowly")

// callerWriter writes to a caller and notices when it reads slowly. Its methods other than the
// timer's are called by one goroutine.
type callerWriter struct {
	x *exchange
	// controller is that of the caller's connection.
	controller *http.ResponseController
	// onBlocked is called, at most once and by another goroutine, while a write has blocked
	// for blockedTime and has not returned to its caller. It may be nil.
	onBlocked func()

	// timer fires when a write has blocked; it is nil if memory is not limited.
	timer *time.Timer

	mu sync.Mutex
	// writing is set during a write, slow once a write has blocked.
	writing, slow bool
}

// newCallerWriter returns a writer to the caller of the exchange. It must be closed.
func (x *exchange) newCallerWriter() *callerWriter {
	w := &callerWriter{x: x, controller: http.NewResponseController(x.w)}
	if x.relay.Memory.Budget.Limited() {
		w.timer = time.AfterFunc(time.Hour, func() { chiveguard.Do(x.relay.Log, "blocked write", w.noteBlocked) })
	}
	return w
}

// write writes to the caller, and flushes if flush is set.
func (w *callerWriter) write(p []byte, flush bool) error {
	if w.timer == nil {
		return w.writeNow(p, flush)
	}
	if w.begin() {
		return w.writeSlowly(p, flush)
	}
	w.timer.Reset(blockedTime)
	err := w.writeNow(p, flush)
	w.timer.Stop()
	w.end()
	return err
}

// writeWhole writes a whole response.
func (w *callerWriter) writeWhole(p []byte) error {
	if w.timer == nil {
		return w.writeNow(p, false)
	}
	for {
		n := min(len(p), wholeWriteSize)
		if err := w.write(p[:n], true); err != nil || n == len(p) {
			return err
		}
		p = p[n:]
	}
}

// writeNow writes without regard to time.
func (w *callerWriter) writeNow(p []byte, flush bool) error {
	_, err := w.x.w.Write(p)
	if err == nil && flush {
		err = w.controller.Flush()
	}
	return err
}

// writeSlowly writes to a caller that is slow, and records whenever it has read something.
func (w *callerWriter) writeSlowly(p []byte, flush bool) error {
	defer w.end()
	for len(p) > 0 {
		n := min(len(p), writeSize)
		w.setDeadline()
		if w.x.holding.cut.Load() {
			return errCut
		}
		if err := w.writeNow(p[:n], flush); err != nil {
			return err
		}
		w.x.holding.noteRead()
		p = p[n:]
	}
	return nil
}

// begin begins a write and reports whether the caller is slow.
func (w *callerWriter) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = true
	return w.slow
}

// end ends a write.
func (w *callerWriter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = false
}

// noteBlocked marks the caller as slow if a write is in progress.
func (w *callerWriter) noteBlocked() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.writing && !w.slow {
		w.slow = true
		// A caller that is registered may be cut, by an earlier deadline.
		w.setDeadline()
		w.x.holding.noteSlow()
		if w.onBlocked != nil {
			w.onBlocked()
		}
	}
}

// setDeadline gives the caller time to read: until the deadline of its request, and
// callerStallTime at least.
func (w *callerWriter) setDeadline() {
	// Only the writers of tests do not support deadlines.
	_ = w.controller.SetWriteDeadline(time.Now().Add(max(callerStallTime, chiveclock.Until(w.x.deadline))))
}

// close ends the watch over writes. The connection may then carry another request.
func (w *callerWriter) close() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.slow {
		_ = w.controller.SetWriteDeadline(time.Time{})
	}
}
