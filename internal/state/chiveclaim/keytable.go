// Package chiveclaim implements at-most-once execution of requests with an
// idempotency key. Bindings in the platform's table decide which endpoint may run a
// request, and the key table of its agent ensures that it is run only once.
package chiveclaim

// DefaultMaxKeys is the default of KeyTable.MaxKeys.
const DefaultMaxKeys = 100_000

// Decision determines how a request with an idempotency key is handled.
type Decision uint8

// The decisions.
const (
	// Run means that the request is the first with its key and must be run.
	Run Decision = iota + 1
	// Wait means that the first request is still running. The caller waits for
	// Entry.Done.
	Wait
	// Replay means that Entry.Answer is to be returned without running the
	// request.
	Replay
	// Unknown means that the first request may have run but has no answer.
	Unknown
	// Mismatch means that the key was first used with a different request.
	Mismatch
	// NeverRun means that this incarnation has promised never to run the request.
	NeverRun
	// Full means that the table holds MaxKeys keys and takes no new one.
	Full
)

// Entry is the state of one key in a KeyTable.
type Entry[A any] struct {
	// Digest is the digest of the first request with the key.
	Digest string
	// Done is closed when the first request has ended or was canceled.
	Done chan struct{}
	// Answer is the answer of the first request, or nil if there is none. It must
	// not be read before Done is closed.
	Answer *A

	neverRun bool
}

// KeyTable holds the idempotency keys that one incarnation of an agent has seen.
// Its zero value is empty and ready to use. It is not safe for concurrent use, but
// other goroutines may read an Entry after its Done is closed.
type KeyTable[A any] struct {
	// MaxKeys is the largest number of keys in the table; 0 means DefaultMaxKeys.
	MaxKeys int

	entries map[string]*Entry[A]
	running int
}

// Begin decides how a request with the key and digest is handled. It adds the key
// if it is new. The entry is nil for Full and Mismatch.
func (t *KeyTable[A]) Begin(key, digest string) (Decision, *Entry[A]) {
	e, ok := t.entries[key]
	switch {
	case !ok && len(t.entries) >= t.maxKeys():
		return Full, nil
	case !ok:
		return Run, t.add(key, digest)
	case e.neverRun:
		return NeverRun, e
	case e.Digest != digest:
		return Mismatch, nil
	case !e.isDone():
		return Wait, e
	case e.Answer != nil:
		return Replay, e
	}
	return Unknown, e
}

// Finish ends the running request with the key and records its answer.
func (t *KeyTable[A]) Finish(key string, answer *A) {
	e := t.entries[key]
	e.Answer = answer
	t.running--
	close(e.Done)
}

// Fail ends the running request with the key without an answer. The request may
// have run.
func (t *KeyTable[A]) Fail(key string) {
	t.Finish(key, nil)
}

// Cancel removes the key of a request that did not run and will not run, as if it
// had not begun.
func (t *KeyTable[A]) Cancel(key string) {
	e := t.entries[key]
	delete(t.entries, key)
	t.running--
	close(e.Done)
}

// PromiseNotToRun ends a request that did not run. Begin then returns NeverRun for
// its key, so that another endpoint may run the request.
func (t *KeyTable[A]) PromiseNotToRun(key string) {
	t.entries[key].neverRun = true
	t.Finish(key, nil)
}

// Clear removes all keys, which is safe only if the agent then takes on a new
// incarnation. It returns false and removes none while a request is running.
func (t *KeyTable[A]) Clear() bool {
	if t.running > 0 {
		return false
	}
	clear(t.entries)
	return true
}

// Len returns the number of keys in the table.
func (t *KeyTable[A]) Len() int {
	return len(t.entries)
}

func (t *KeyTable[A]) maxKeys() int {
	if t.MaxKeys == 0 {
		return DefaultMaxKeys
	}
	return t.MaxKeys
}

func (t *KeyTable[A]) add(key, digest string) *Entry[A] {
	if t.entries == nil {
		t.entries = map[string]*Entry[A]{}
	}
	e := &Entry[A]{Digest: digest, Done: make(chan struct{})}
	t.entries[key] = e
	t.running++
	return e
}

func (e *Entry[A]) isDone() bool {
	select {
	case <-e.Done:
		return true
	default:
		return false
	}
}
