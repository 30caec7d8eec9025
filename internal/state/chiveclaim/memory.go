// Package chiveclaim implements at-most-once runs of requests that carry an
// idempotency key.
package chiveclaim

// DefaultMaxKeys is the number of keys that a Memory keeps by default.
const DefaultMaxKeys = 100_000

// A Decision says what is to be done with a request under a key.
type Decision uint8

// The decisions.
const (
	// Run means that the request is the first under its key and is to be run.
	Run Decision = iota + 1
	// Wait means that the first request is running; its end is to be awaited.
	Wait
	// Replay means that the answer of the first request is known.
	Replay
	// Unknown means that the first request may have run and has no answer.
	Unknown
	// Mismatch means that the key was used with another request.
	Mismatch
	// NeverRun means that this incarnation promised never to run the request.
	NeverRun
	// Full means that no further key can be kept.
	Full
)

// An Entry is what a Memory knows of one key.
type Entry[A any] struct {
	// Digest is that of the first request.
	Digest string
	// Done is closed when the first request has ended.
	Done chan struct{}
	// Answer is the answer of the first request, or nil where none is known.
	Answer *A

	never bool
}

// KeyTable keeps the keys that one incarnation of an agent has run. Its zero
// value is empty. It is not safe for concurrent use; an Entry may be read by
// others after Ended is closed.
type KeyTable[A any] struct {
	// MaxKeys is the number of keys that are kept; 0 means DefaultSize.
	MaxKeys int

	entries map[string]*Entry[A]
	running int
}

// Begin decides on a request under a key.
func (m *KeyTable[A]) Begin(key, digest string) (Decision, *Entry[A]) {
	e, ok := m.entries[key]
	switch {
	case !ok && len(m.entries) >= m.size():
		return Full, nil
	case !ok:
		return Run, m.add(key, digest)
	case e.never:
		return NeverRun, e
	case e.Digest != digest:
		return Mismatch, nil
	case !e.hasEnded():
		return Wait, e
	case e.Answer != nil:
		return Replay, e
	}
	return Unknown, e
}

// Finish records the answer of the request that runs under a key.
func (m *KeyTable[A]) Finish(key string, answer *A) {
	e := m.entries[key]
	e.Answer = answer
	m.running--
	close(e.Done)
}

// Fail records that the request under a key may have run without an answer.
func (m *KeyTable[A]) Fail(key string) {
	m.Finish(key, nil)
}

// Cancel takes back the Begin of a request that did not and will not run.
func (m *KeyTable[A]) Cancel(key string) {
	e := m.entries[key]
	delete(m.entries, key)
	m.running--
	close(e.Done)
}

// PromiseNotToRun records that the request under a key did not run and that no later
// one will in this incarnation, so that another endpoint may run it.
func (m *KeyTable[A]) PromiseNotToRun(key string) {
	m.entries[key].never = true
	m.Finish(key, nil)
}

// Clear drops all keys, which a new incarnation may do. It returns false and
// drops none while a request runs.
func (m *KeyTable[A]) Clear() bool {
	if m.running > 0 {
		return false
	}
	clear(m.entries)
	return true
}

// Len returns the number of keys.
func (m *KeyTable[A]) Len() int {
	return len(m.entries)
}

func (m *KeyTable[A]) size() int {
	if m.MaxKeys == 0 {
		return DefaultMaxKeys
	}
	return m.MaxKeys
}

func (m *KeyTable[A]) add(key, digest string) *Entry[A] {
	if m.entries == nil {
		m.entries = map[string]*Entry[A]{}
	}
	e := &Entry[A]{Digest: digest, Done: make(chan struct{})}
	m.entries[key] = e
	m.running++
	return e
}

func (e *Entry[A]) hasEnded() bool {
	select {
	case <-e.Done:
		return true
	default:
		return false
	}
}
