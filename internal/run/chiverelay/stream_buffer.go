package chiverelay

import (
	"sync"

	"github.com/chiveyoke/chiveyoke/internal/peer/chiverunner"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

// blockSize is the size of a block of buffered events in bytes.
const blockSize = 8 << 10

// streamBuffer passes the events of a runner's stream on to a caller. As long as the caller
// keeps up, next reads from the runner. Once a write to the caller has blocked, a goroutine
// reads on into blocks, so that the runner does not have to wait.
type streamBuffer struct {
	holding *holding
	events  *chiverunner.EventReader
	// read returns the next event that the caller lacks. Only one goroutine calls it at a
	// time.
	read func() ([]byte, error)
	// onWaited is called, by the goroutine that reads, when reading has waited for the caller.
	// It may be nil.
	onWaited func()
	// onError is called when read has failed while events may wait for the caller. It may be
	// nil.
	onError func()
	// limit is the number of bytes up to which events are read ahead.
	limit int64

	// done is closed when the goroutine has ended; nil if there is none.
	done chan struct{}

	mu      sync.Mutex
	changed sync.Cond
	// blocks holds the events that were read ahead, size is the capacity of all blocks, with
	// that which is being written.
	blocks [][]byte
	size   int64
	// writing is the capacity of the block that is being written.
	writing int64
	// err is the error that ended the stream.
	err error
	// closed is set when no more events are needed.
	closed bool
}

func newStreamBuffer(h *holding, events *chiverunner.EventReader, read func() ([]byte, error)) *streamBuffer {
	b := &streamBuffer{holding: h, events: events, read: read, limit: h.memory.Budget.PerCaller()}
	b.changed.L = &b.mu
	return b
}

// readOn starts the goroutine that reads ahead. It must be called during a write to the
// caller, of an event that next has returned.
func (b *streamBuffer) readOn() {
	b.done = make(chan struct{})
	// The event that is being written must not be overwritten.
	b.events.Detach()
	go func() {
		defer close(b.done)
		// The write to the caller has blocked since the last event.
		waited := true
		for more := true; more; waited, more = b.awaitRoom() {
			if waited && b.onWaited != nil {
				b.onWaited()
			}
			var event []byte
			err := chiveguard.Call("reading of a stream", func() (err error) {
				event, err = b.read()
				return err
			})
			if err != nil && b.onError != nil {
				b.onError()
			}
			b.push(event, err)
		}
	}()
}

// awaitRoom waits until events may be read ahead. It reports whether it had to wait, and whether
// more events are needed.
func (b *streamBuffer) awaitRoom() (waited, more bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.size >= b.limit && !b.closed {
		waited = true
		b.changed.Wait()
	}
	return waited, !b.closed && b.err == nil
}

// push adds an event, or the error that ends the stream.
func (b *streamBuffer) push(event []byte, err error) {
	if b.store(event, err) > 0 {
		// If it makes no room the caller was cut itself.
		b.holding.memory.makeRoom()
	}
	b.changed.Broadcast()
}

// store adds an event to the blocks and returns by how many bytes these have grown.
func (b *streamBuffer) store(event []byte, err error) (grown int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err != nil {
		b.err = err
		return 0
	}
	if len(b.blocks) == 0 && b.writing == 0 {
		// Until now the caller had nothing to read.
		b.holding.setSlow(true)
	}
	for len(event) > 0 {
		last := len(b.blocks) - 1
		if last < 0 || len(b.blocks[last]) == cap(b.blocks[last]) {
			b.blocks = append(b.blocks, make([]byte, 0, blockSize))
			grown += blockSize
			continue
		}
		n := min(len(event), cap(b.blocks[last])-len(b.blocks[last]))
		b.blocks[last] = append(b.blocks[last], event[:n]...)
		event = event[n:]
	}
	b.size += grown
	b.holding.addAnswer(grown)
	return grown
}

// next returns what to write next, which is valid until the following call, and whether to
// flush it. Its error is that of the stream, once all events have been returned.
func (b *streamBuffer) next() (p []byte, flush bool, err error) {
	if b.done == nil {
		p, err = b.read()
		return p, !b.events.Pending(), err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.freeWritten()
	if len(b.blocks) == 0 {
		// The caller holds nothing up until the runner has sent more.
		b.holding.setSlow(false)
	}
	for len(b.blocks) == 0 && b.err == nil {
		b.changed.Wait()
	}
	if len(b.blocks) == 0 {
		return nil, false, b.err
	}
	p = b.blocks[0]
	b.blocks[0] = nil
	b.blocks = b.blocks[1:]
	b.writing = int64(cap(p))
	return p, true, nil
}

// freeWritten gives back the block that was written. The caller must hold mu.
func (b *streamBuffer) freeWritten() {
	b.size -= b.writing
	b.holding.addAnswer(-b.writing)
	b.writing = 0
	b.changed.Broadcast()
}

// close ends reading ahead and waits until it has ended. The connection to the runner must have
// been closed, or the stream have ended.
func (b *streamBuffer) close() {
	if b.done == nil {
		return
	}
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	<-b.done
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holding.addAnswer(-b.size)
	b.blocks, b.size, b.writing = nil, 0, 0
}
