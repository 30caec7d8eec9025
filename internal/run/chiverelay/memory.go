package chiverelay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivebudget"
	"github.com/chiveyoke/chiveyoke/internal/run/chivedoor"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// requestSize is the memory of a request that waits for its runner, without its body and
// answer, in bytes: stacks, buffers of two connections, and headers.
const requestSize = 32 << 10

// errClosed is the cause of requests whose connection was closed for others as they arrived.
var errClosed = errs.New("connection was closed to make room")

// ordinaryHeadSize is what requestSize has for the head of a request, in bytes.
const ordinaryHeadSize = 8 << 10

// Memory counts the bytes that a process holds for its callers: bodies, buffered answers and
// events, and requestSize for each request. The zero value sets no limit but on answers.
type Memory struct {
	Budget chivebudget.Budget

	// held is the number of bytes that are held, slowHeld of those that slow callers hold up.
	held, slowHeld atomic.Int64
	// answers is the number of bytes beyond freeAnswerSize each of answers that are being
	// read.
	answers atomic.Int64
	// cuts and refusals count the callers that were cut and the requests that were refused.
	cuts, refusals atomic.Int64

	mu sync.Mutex
	// slow holds the callers that a write has blocked for and that have not read all since.
	slow map[*holding]bool
}

// MemoryCounts holds what a Memory has counted.
type MemoryCounts struct {
	// Held is the number of bytes that are held, Slow the number of callers that read
	// slowly now.
	Held int64
	Slow int
	// SlowHeld is the number of bytes that slow callers hold up.
	SlowHeld int64
	// Cuts and Refusals count the callers that were cut and the requests that were refused
	// since the start.
	Cuts, Refusals int64
}

// Counts returns what is held now and what was counted since the start.
func (m *Memory) Counts() MemoryCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemoryCounts{Held: m.held.Load(), Slow: len(m.slow), SlowHeld: m.slowHeld.Load(), Cuts: m.cuts.Load(), Refusals: m.refusals.Load()}
}

// maxAnswers returns the number of bytes beyond freeAnswerSize each that answers may take
// together while they are being read.
func (m *Memory) maxAnswers() int64 {
	if !m.Budget.Limited() {
		return maxBufferedSize
	}
	return min(maxBufferedSize, m.Budget.Total/2)
}

// holding is what a Memory counts for one request. Its methods may be called concurrently.
type holding struct {
	memory *Memory
	log    *log.Logger
	id     string
	// conn is the connection of the caller, nil if it is not known. arriving is the same if it came
	// through a door, which counts the request until begin; bodySize is the memory of its body.
	conn     net.Conn
	arriving *chivedoor.Conn
	bodySize int64
	// interrupt ends a write to the caller, cancel the work on its request; cancel is set
	// before the caller can be slow.
	interrupt func()
	cancel    context.CancelFunc

	held atomic.Int64
	// heldUp is the number of those bytes that the caller keeps by not reading, without
	// requestSize and the body. It changes under mu.
	heldUp atomic.Int64
	// readAt is when the caller last read something after it was slow.
	readAt atomic.Int64
	// cut is set once the caller has been cut.
	cut atomic.Bool

	mu sync.Mutex
	// slow reports whether the caller is registered as slow.
	slow bool
}

// newHolding returns the count of what is held for the exchange.
func (x *exchange) newHolding() *holding {
	h := &holding{memory: &x.relay.Memory, log: x.relay.Log}
	// It is missing where the relay is not served with WithConn.
	h.conn, h.arriving = ConnOf(x.r.Context()), chivedoor.ConnOf(x.r.Context())
	h.interrupt = func() {
		// Only the writers of tests do not support deadlines.
		_ = http.NewResponseController(x.w).SetWriteDeadline(time.Unix(1, 0))
	}
	return h
}

// admit counts a request that needs more bytes beside requestSize later. It returns false,
// and counts a refusal, if they do not fit.
func (h *holding) admit(more int64) bool {
	m := h.memory
	if !m.Budget.Admits(m.held.Load(), requestSize+more) {
		m.refusals.Add(1)
		return false
	}
	if h.arriving == nil {
		h.add(requestSize)
	}
	return true
}

// addBody counts n bytes of a request that was not sent yet. It returns false, and counts a
// refusal, if they do not fit.
func (h *holding) addBody(n int64) bool {
	m := h.memory
	if h.arriving != nil && h.arriving.Hold(n) {
		h.bodySize += n
		return true
	}
	if h.arriving != nil || !m.Budget.Admits(m.held.Load(), n) {
		m.refusals.Add(1)
		return false
	}
	h.add(n)
	return true
}

// begin takes over the count of a request that has arrived whole from the door of its connection. It
// returns false, and counts a refusal, if it does not fit, and an error if the connection was closed.
func (h *holding) begin() (fits bool, err error) {
	if h.arriving == nil {
		return true, nil
	}
	m := h.memory
	held, ok := h.arriving.Begin()
	if !ok {
		return false, errClosed
	}
	// The head is copied for the runner.
	n := requestSize + h.bodySize + max(0, 2*(held-h.bodySize)-ordinaryHeadSize)
	if !m.Budget.Admits(m.held.Load(), n) {
		m.refusals.Add(1)
		return false, nil
	}
	h.add(n)
	return true, nil
}

// add counts n bytes, or gives them back if n is negative.
func (h *holding) add(n int64) {
	if h.memory.Budget.Limited() {
		h.held.Add(n)
		h.memory.held.Add(n)
	}
}

// addAnswer is add for bytes that wait for the caller.
func (h *holding) addAnswer(n int64) {
	if !h.memory.Budget.Limited() {
		return
	}
	h.add(n)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heldUp.Add(n)
	if h.slow {
		h.memory.slowHeld.Add(n)
	}
}

// take counts n bytes of an answer. If the budget or the share of slow callers is spent, it
// cuts slow callers, and returns false if that does not make room.
func (h *holding) take(n int64) bool {
	h.addAnswer(n)
	return h.memory.makeRoom()
}

// noteSlow registers the caller as one that reads slowly, unless it is registered.
func (h *holding) noteSlow() {
	h.setSlow(true)
	h.memory.makeRoom()
}

// setSlow registers the caller as slow, or as one that has read all. A caller that was cut stays
// registered until its bytes are given back.
func (h *holding) setSlow(slow bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slow != slow && (slow || !h.cut.Load()) {
		h.register(slow)
	}
}

// register adds the caller to the slow ones, or removes it. The caller of it must hold mu.
func (h *holding) register(slow bool) {
	m := h.memory
	h.slow = slow
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slow {
		m.slowHeld.Add(-h.heldUp.Load())
		delete(m.slow, h)
		return
	}
	h.noteRead()
	m.slowHeld.Add(h.heldUp.Load())
	if m.slow == nil {
		m.slow = map[*holding]bool{}
	}
	m.slow[h] = true
}

// noteRead records that the caller reads.
func (h *holding) noteRead() {
	h.readAt.Store(int64(chiveclock.Now()))
}

// release gives back all bytes. The connection of the caller is not touched afterwards.
func (h *holding) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.slow {
		h.register(false)
	}
	h.heldUp.Store(0)
	h.memory.held.Add(-h.held.Swap(0))
}

// makeRoom cuts slow callers until the bytes that are held, without those of callers that have
// been cut, are within the budget and its share for slow callers. It reports whether they are.
func (m *Memory) makeRoom() bool {
	if m.Budget.Excess(m.held.Load(), m.slowHeld.Load()) == 0 {
		return true
	}
	cut, ok := m.cutSlow()
	for _, c := range cut {
		c.holding.log.Warn("Caller reads too slowly and was cut, the memory for callers is spent.", "request", c.holding.id,
			"held", c.Held, "idle", formatMillis(c.Idle), "budget", m.Budget.Total)
	}
	return ok
}

// cutRecord describes a caller when it was cut.
type cutRecord struct {
	chivebudget.SlowCaller
	holding *holding
}

// cutSlow cuts slow callers as makeRoom does. It returns those that it has cut, and whether there
// is room then.
func (m *Memory) cutSlow() (cut []cutRecord, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var cutHeld, cutHeldUp int64
	now := chiveclock.Now()
	var list []*holding
	var callers []chivebudget.SlowCaller
	for h := range m.slow {
		heldUp := h.heldUp.Load()
		switch {
		case h.cut.Load():
			cutHeld, cutHeldUp = cutHeld+h.held.Load(), cutHeldUp+heldUp
		case heldUp > 0:
			// To cut others would free nothing.
			list = append(list, h)
			callers = append(callers, chivebudget.SlowCaller{Held: heldUp, Idle: now.Sub(chiveclock.Moment(h.readAt.Load()))})
		}
	}
	// Another goroutine may have made room meanwhile.
	excess := m.Budget.Excess(m.held.Load()-cutHeld, m.slowHeld.Load()-cutHeldUp)
	for _, i := range chivebudget.Cut(callers, excess) {
		excess -= callers[i].Held
		m.cuts.Add(1)
		list[i].cutCaller()
		cut = append(cut, cutRecord{callers[i], list[i]})
	}
	return cut, excess <= 0
}

// cutCaller ends the work on the request and resets the connection of the caller, so that what
// the kernel holds for it is discarded, too.
func (h *holding) cutCaller() {
	h.cut.Store(true)
	if tcp, ok := h.conn.(interface{ SetLinger(sec int) error }); ok {
		// It fails only if the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	h.interrupt()
	h.cancel()
}

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// WithConn returns a context from which the relay knows the connection of a caller. It has the
// type of http.Server.ConnContext.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the caller's connection that WithConn has added to a context, or nil.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}
