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

// A RequestKind is what a request of a load is.
type RequestKind string

// The kinds of requests.
const (
	// KindChat is a generation request.
	KindChat RequestKind = "chat"
	// KindOrder is a call that must not be repeated, without a key.
	KindOrder RequestKind = "order"
	// KindKeyed is such a call under a key.
	KindKeyed RequestKind = "keyed"
)

// A Record is one request of a load with every attempt that its caller made.
type Record struct {
	Kind     RequestKind
	Body     string
	Tokens   uint64
	Attempts []*Result
	// StartedAt and EndedAt are the times of the first attempt's start and of the last
	// one's end.
	StartedAt, EndedAt time.Time
}

// WaitTime returns the time to the first token, or all the time that the caller
// spent where it got no answer.
func (r *Record) WaitTime() time.Duration {
	last := r.LastAttempt()
	if !last.Complete {
		return r.EndedAt.Sub(r.StartedAt)
	}
	return r.EndedAt.Sub(r.StartedAt) - last.TotalTime + last.FirstTokenTime
}

// LastAttempt returns the caller's last attempt.
func (r *Record) LastAttempt() *Result {
	return r.Attempts[len(r.Attempts)-1]
}

// Served reports whether the caller has its answer.
func (r *Record) Served() bool {
	return r.LastAttempt().Complete
}

// A LoadSettings says what a load sends.
type LoadSettings struct {
	// Callers is the number of callers that send one request after another.
	Callers int
	// MinTokens and MaxTokens bound the length of answers.
	MinTokens, MaxTokens uint64
	// RetryWindow is how long a caller comes back for the same request.
	RetryWindow time.Duration
	// OrderFraction is the part of requests that are orders, half of them under a key.
	OrderFraction float64
	// Seed seeds the callers' choices.
	Seed uint64
}

// A Load is a set of callers that send until told to stop.
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

// orderInterval is the time between two orders of one caller, so that the load on
// services stays small.
const orderInterval = 5 * time.Millisecond

// StartLoad starts a load. Stop ends it.
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

// Sent returns the number of requests sent so far.
func (l *Load) Sent() int {
	return int(l.sent.Load())
}

// Stop lets every caller finish its request and returns the record.
func (l *Load) Stop() []*Record {
	l.cancel()
	l.callers.Wait()
	return l.records
}

// runCaller is one caller.
func (l *Load) runCaller(ctx, sending context.Context, i int) {
	r := rand.New(rand.NewPCG(l.settings.Seed, uint64(i)))
	workspaces := l.fleet.Sheet.Workspaces
	caller := l.fleet.NewCaller(workspaces[i%len(workspaces)].Name)
	defer caller.Close()
	for n := 0; sending.Err() == nil; n++ {
		record := l.newRecord(r, i, n)
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

func (l *Load) newRecord(r *rand.Rand, i, n int) *Record {
	s := l.settings
	record := &Record{Kind: KindChat, Body: fmt.Sprintf("Request %d of caller %d.", n, i)}
	record.Tokens = s.MinTokens + r.Uint64N(s.MaxTokens-s.MinTokens+1)
	if l.service != "" && r.Float64() < s.OrderFraction {
		record.Kind = KindOrder
		if r.IntN(2) == 0 {
			record.Kind = KindKeyed
		}
		record.Body = fmt.Sprintf(`{"order":"%d-%d"}`, i, n)
	}
	return record
}

// sendWithRetries sends a request and comes back while that is safe and the caller has
// patience.
func (l *Load) sendWithRetries(ctx context.Context, c *Caller, r *Record) {
	r.StartedAt = time.Now()
	defer func() { r.EndedAt = time.Now() }()
	until := r.StartedAt.Add(l.settings.RetryWindow)
	for {
		result := l.sendOnce(ctx, c, r)
		r.Attempts = append(r.Attempts, result)
		if result.Complete || !mayRetry(r.Kind, result) || time.Now().After(until) || ctx.Err() != nil {
			return
		}
		c.ExpireAddresses()
		time.Sleep(min(max(result.RetryAfter, 50*time.Millisecond), time.Until(until)))
	}
}

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

// mayRetry reports whether a caller may send the request again.
func mayRetry(k RequestKind, r *Result) bool {
	return k != KindOrder || r.Verdict == chiveverdict.NotRun
}
