package chivescout

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// fakeEngine implements chiverank.Engine. It leaves orders unanswered before the
// attempt number answeredTry, and then returns err.
type fakeEngine struct {
	mu          sync.Mutex
	tries       int
	answeredTry int
	err         error
}

func (e *fakeEngine) Order(ctx context.Context, _ chiverank.Member, _ chiverank.Order) error {
	e.mu.Lock()
	e.tries++
	unanswered := e.tries < e.answeredTry
	e.mu.Unlock()
	if unanswered {
		<-ctx.Done()
		return ctx.Err()
	}
	return e.err
}

func (e *fakeEngine) Report(context.Context, chiverank.Member) (chiverank.Report, error) {
	return chiverank.Report{Epoch: 3, Pass: 7, Open: true, Held: -1}, e.err
}

func (e *fakeEngine) Counts(context.Context, chiverank.Member) (chiverank.ExpertCounts, error) {
	return chiverank.ExpertCounts{Epoch: 3, Chosen: []int64{1, 2}}, e.err
}

func (e *fakeEngine) Experts(context.Context, chiverank.Member) (chiverank.HeldExperts, error) {
	return chiverank.HeldExperts{Epoch: 3, Experts: [][]int{{1}}}, e.err
}

// TestOrder guards against orders that are lost because a rank left an attempt
// unanswered, and against refusals that lose their type on the way, both through a
// scout and directly.
func TestOrder(t *testing.T) {
	tests := []struct {
		give  string
		scout bool
		op    chiverank.Op
		// answeredTry is the first attempt that the rank answers.
		answeredTry int
		err         error
	}{
		{"through a scout", true, chiverank.Arm, 1, nil},
		{"through a scout, the third is answered", true, chiverank.Arm, 3, nil},
		{"through a scout, refused", true, chiverank.Prepare, 1, chiverank.ErrConflict},
		{"through a scout, fenced off", true, chiverank.Disarm, 2, chiverank.ErrFenced},
		{"a hold goes directly", true, chiverank.Hold, 2, nil},
		{"without a scout", false, chiverank.Arm, 2, nil},
		{"without a scout, fenced off", false, chiverank.Arm, 1, chiverank.ErrFenced},
	}
	for _, tt := range tests {
		local, remote := &fakeEngine{answeredTry: tt.answeredTry, err: tt.err}, &fakeEngine{answeredTry: tt.answeredTry, err: tt.err}
		server := httptest.NewServer((&Server{Engine: local}).Handler())
		host, port, err := net.SplitHostPort(server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if !tt.scout {
			server.Close()
		}
		n, err := strconv.Atoi(port)
		if err != nil {
			t.Fatal(err)
		}
		c := NewClient(n, remote)
		m := chiverank.Member{ID: "i", Address: net.JoinHostPort(host, "1")}
		if !tt.scout {
			// The client learns from this call that there is no scout.
			_ = c.Order(t.Context(), m, chiverank.Order{Op: tt.op})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if err := c.Order(ctx, m, chiverank.Order{Op: tt.op, Token: 1}); !errors.Is(err, tt.err) {
			t.Errorf("%s: %v, want %v", tt.give, err, tt.err)
		}
		cancel()
		direct := !tt.scout || tt.op == chiverank.Hold
		if direct != (remote.tries > 0) || direct == (local.tries > 0) {
			t.Errorf("%s: %d attempts through the scout, %d direct", tt.give, local.tries, remote.tries)
		}
		server.Close()
	}
}

// TestRead checks that the report, counts and experts of a rank can be read through
// a scout.
func TestRead(t *testing.T) {
	server := httptest.NewServer((&Server{Engine: &fakeEngine{}}).Handler())
	defer server.Close()
	host, port, err := net.SplitHostPort(server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	n, err := strconv.Atoi(port)
	if err != nil {
		t.Fatal(err)
	}
	c, m := NewClient(n, &fakeEngine{}), chiverank.Member{ID: "i", Address: net.JoinHostPort(host, "1")}
	if r, err := c.Report(t.Context(), m); err != nil || r.Pass != 7 || r.Held != -1 {
		t.Errorf("report %+v, %v", r, err)
	}
	if r, err := c.Counts(t.Context(), m); err != nil || len(r.Chosen) != 2 {
		t.Errorf("counts %+v, %v", r, err)
	}
	if r, err := c.Experts(t.Context(), m); err != nil || len(r.Experts) != 1 {
		t.Errorf("experts %+v, %v", r, err)
	}
}

// TestOrdersToAllRanksUnderLoss checks how long it takes until twelve ranks, which leave
// every second order unanswered, have all confirmed one: a map change waits for the last
// of them, three times. The naive way repeats an order only when an attempt has timed
// out.
func TestOrdersToAllRanksUnderLoss(t *testing.T) {
	naive := func(ctx context.Context, tryTimeout time.Duration, order func(context.Context) error) error {
		for {
			tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
			err := order(tryCtx)
			cancel()
			if err == nil || ctx.Err() != nil {
				return err
			}
		}
	}
	mean := func(send func(context.Context, time.Duration, func(context.Context) error) error) (sum time.Duration) {
		const rounds, ranks = 50, 12
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 2))
			var mu sync.Mutex
			for range rounds {
				start := time.Now()
				var senders sync.WaitGroup
				for range ranks {
					senders.Go(func() {
						_ = send(t.Context(), localTryTimeout, func(ctx context.Context) error {
							mu.Lock()
							lost := rng.IntN(2) == 0
							mu.Unlock()
							if lost {
								<-ctx.Done()
								return ctx.Err()
							}
							time.Sleep(2 * time.Millisecond)
							return nil
						})
					})
				}
				senders.Wait()
				sum += time.Since(start) / rounds
			}
		})
		return sum
	}
	slow, fast := mean(naive), mean(func(ctx context.Context, tryTimeout time.Duration, order func(context.Context) error) error {
		return retryUnanswered(ctx, tryTimeout, localRepeatInterval, order)
	})
	t.Logf("mean time until all ranks have confirmed: %v, naive %v", fast, slow)
	if 2*fast > slow {
		t.Errorf("all ranks have confirmed after %v on average, naive %v, want at most half of it", fast, slow)
	}
}

// parallelCounter counts the parallel attempts at orders that are never answered.
type parallelCounter struct {
	fakeEngine
	mu              sync.Mutex
	running, maxima int
}

func (c *parallelCounter) Order(ctx context.Context, _ chiverank.Member, _ chiverank.Order) error {
	c.mu.Lock()
	c.running++
	c.maxima = max(c.maxima, c.running)
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	return ctx.Err()
}

// TestDirectOrdersAreNotPiledUp guards against an entry VM that runs out of memory when
// hundreds of ranks do not answer and have no scout: each attempt at an order has a copy
// of the expert map, so that few may run at a time for one rank.
func TestDirectOrdersAreNotPiledUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &parallelCounter{}
		c := NewClient(1, engine)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_ = c.orderDirect(ctx, chiverank.Member{}, chiverank.Order{Op: chiverank.Prepare})
		if engine.maxima > 2 {
			t.Errorf("%d attempts at one order ran at a time, want at most 2", engine.maxima)
		}
	})
}
