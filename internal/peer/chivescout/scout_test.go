package chivescout

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiverank"
)

// fakeEngine answers an order only from a given try on.
type fakeEngine struct {
	mu          sync.Mutex
	tries       int
	answeredTry int
	err         error
}

func (e *fakeEngine) Order(ctx context.Context, _ chiverank.Member, _ chiverank.Order) error {
	e.mu.Lock()
	e.tries++
	silent := e.tries < e.answeredTry
	e.mu.Unlock()
	if silent {
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

// TestOrder repeats orders that are not answered, beside the rank and from afar,
// and passes refusals on.
func TestOrder(t *testing.T) {
	tests := []struct {
		give   string
		scout  bool
		op     chiverank.Op
		answer int
		err    error
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
		near, far := &fakeEngine{answeredTry: tt.answer, err: tt.err}, &fakeEngine{answeredTry: tt.answer, err: tt.err}
		server := httptest.NewServer((&Server{Engine: near}).Handler())
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
		c := NewClient(n, far)
		m := chiverank.Member{ID: "i", Address: net.JoinHostPort(host, "1")}
		if !tt.scout {
			// The first call finds that there is no scout.
			_ = c.Order(t.Context(), m, chiverank.Order{Op: tt.op})
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		if err := c.Order(ctx, m, chiverank.Order{Op: tt.op, Token: 1}); !errors.Is(err, tt.err) {
			t.Errorf("%s: %v, want %v", tt.give, err, tt.err)
		}
		cancel()
		direct := !tt.scout || tt.op == chiverank.Hold
		if direct != (far.tries > 0) || direct == (near.tries > 0) {
			t.Errorf("%s: %d tries near, %d far", tt.give, near.tries, far.tries)
		}
		server.Close()
	}
}

// TestRead reads a rank through a scout and directly.
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
