package chiveharness

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chiveverdict"
)

// RequestKind is the kind of a request of a load.
type RequestKind string

// Kinds of requests.
const (
	// KindChat is a generation request.
	KindChat RequestKind = "chat"
	// KindOrder is a non-idempotent call of a service without an idempotency key.
	KindOrder RequestKind = "order"
	// KindKeyed is a non-idempotent call of a service with an idempotency key.
	KindKeyed RequestKind = "keyed"
)

// Record holds a request of a load and all attempts of its caller.
type Record struct {
	Kind RequestKind
	// Body is the prompt of a generation request or the JSON body of an order. It is
	// unique within a load.
	Body string
	// Tokens is the requested length of the answer to a generation request.
	Tokens   uint64
	Attempts []*Result
	// StartedAt is the start of the first attempt, EndedAt the end of the last.
	StartedAt, EndedAt time.Time
}

// WaitTime returns the time from the first attempt to the first token of the answer, or
// to the end of the last attempt if there is no complete answer.
func (r *Record) WaitTime() time.Duration {
	last := r.LastAttempt()
	if !last.Complete {
		return r.EndedAt.Sub(r.StartedAt)
	}
	return r.EndedAt.Sub(r.StartedAt) - last.TotalTime + last.FirstTokenTime
}

// LastAttempt returns the result of the last attempt.
func (r *Record) LastAttempt() *Result {
	return r.Attempts[len(r.Attempts)-1]
}

// Served reports whether the caller got a complete answer.
func (r *Record) Served() bool {
	return r.LastAttempt().Complete
}

// LoadSettings describes the requests of a load.
type LoadSettings struct {
	// Callers is the number of concurrent callers. Each sends one request at a time.
	Callers int
	// MinTokens and MaxTokens bound the length of answers, in tokens.
	MinTokens, MaxTokens uint64
	// RetryWindow is how long a caller retries a request.
	RetryWindow time.Duration
	// OrderFraction is the fraction of requests that are orders, half of them with an
	// idempotency key.
	OrderFraction float64
	// Seed is the seed of the callers' random choices.
	Seed uint64
}

// Load is a set of callers that send requests until Stop.
type Load struct {
	fleet    *Fleet
	settings LoadSettings
	model    string
	service  string
	cancel   context.CancelFunc
	callers  sync.WaitGroup
	sent     atomic.Int64

	mu      sync.Mutex
	records []*Record
}

// orderInterval is the pause of a caller after an order. It keeps the load on services
// small.
const orderInterval = 5 * time.Millisecond

// StartLoad starts a load on the first model and the first service of the sheet, with
// callers of all workspaces in turn.
func (f *Fleet) StartLoad(ctx context.Context, s LoadSettings) *Load {
	sending, cancel := context.WithCancel(ctx)
	l := &Load{fleet: f, settings: s, model: f.Sheet.Groups[0].Model, cancel: cancel}
	if len(f.Sheet.Services) > 0 {
		l.service = f.Sheet.Services[0].Name
	}
	for i := range s.Callers {
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			l.runCaller(ctx, sending, i)
		}()
	}
	return l
}

// Sent returns the number of requests started so far.
func (l *Load) Sent() int {
	return int(l.sent.Load())
}

// Stop waits until every caller has finished its request and returns all records.
func (l *Load) Stop() []*Record {
	l.cancel()
	l.callers.Wait()
	return l.records
}

// runCaller sends requests as caller i until sending ends. Requests use ctx, so the last
// one is finished.
func (l *Load) runCaller(ctx, sending context.Context, i int) {
	rng := rand.New(rand.NewPCG(l.settings.Seed, uint64(i)))
	workspaces := l.fleet.Sheet.Workspaces
	caller := l.fleet.NewCaller(workspaces[i%len(workspaces)].Name)
	defer caller.Close()
	for n := 0; sending.Err() == nil; n++ {
		record := l.newRecord(rng, i, n)
		l.sent.Add(1)
		l.sendWithRetries(ctx, caller, record)
		l.mu.Lock()
		l.records = append(l.records, record)
		l.mu.Unlock()
		if record.Kind != KindChat {
			time.Sleep(orderInterval)
		}
	}
}

// newRecord returns request n of caller i.
func (l *Load) newRecord(rng *rand.Rand, i, n int) *Record {
	s := l.settings
	record := &Record{Kind: KindChat, Body: fmt.Sprintf("Request %d of caller %d.", n, i)}
	record.Tokens = s.MinTokens + rng.Uint64N(s.MaxTokens-s.MinTokens+1)
	if l.service != "" && rng.Float64() < s.OrderFraction {
		record.Kind = KindOrder
		if rng.IntN(2) == 0 {
			record.Kind = KindKeyed
		}
		record.Body = fmt.Sprintf(`{"order":"%d-%d"}`, i, n)
	}
	return record
}

// sendWithRetries sends a request until it is answered, the retry window ends or mayRetry
// forbids another attempt.
func (l *Load) sendWithRetries(ctx context.Context, c *Caller, r *Record) {
	r.StartedAt = time.Now()
	defer func() { r.EndedAt = time.Now() }()
	deadline := r.StartedAt.Add(l.settings.RetryWindow)
	for {
		result := l.sendOnce(ctx, c, r)
		r.Attempts = append(r.Attempts, result)
		if result.Complete || !mayRetry(r.Kind, result) || time.Now().After(deadline) || ctx.Err() != nil {
			return
		}
		c.ExpireAddresses()
		time.Sleep(min(max(result.RetryAfter, 50*time.Millisecond), time.Until(deadline)))
	}
}

// sendOnce makes one attempt of a request.
func (l *Load) sendOnce(ctx context.Context, c *Caller, r *Record) *Result {
	switch r.Kind {
	case KindChat:
		return c.Generate(ctx, l.model, r.Body, r.Tokens)
	case KindKeyed:
		return c.Post(ctx, l.service, "/orders", r.Body, "key-"+r.Body)
	default:
		return c.Post(ctx, l.service, "/orders", r.Body, "")
	}
}

// mayRetry reports whether a caller may send a request again. An order without a key may
// be sent again only if it did not run.
func mayRetry(k RequestKind, r *Result) bool {
	return k != KindOrder || r.Verdict == chiveverdict.NotRun
}
