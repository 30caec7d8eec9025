package chiverank

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

const (
	// orderTimeout bounds one try of an order, which the way to the rank may repeat
	// within it; after quietTries without an answer that is logged.
	orderTimeout   = 130 * time.Millisecond
	warnAfterTries = 4
	// reportTimeout bounds the reading of a report.
	reportTimeout = 250 * time.Millisecond
	// orderRetryPause is the pause between two tries of an order.
	orderRetryPause = 10 * time.Millisecond
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 8 * time.Second
	// reportInterval is the pause between two looks at ranks that copy.
	reportInterval = 25 * time.Millisecond
	// minLeadPasses is the number of passes between the last reported and the one at
	// which the map changes; it doubles while passes go by too fast.
	minLeadPasses = 2
	leadDoublings = 5
	// confirmTimeout is how long arms are tried before the change is undone.
	confirmTimeout = 6 * time.Second
	// tokenSeqBits makes room for the rounds of one lease in a token.
	tokenSeqBits = 20
)

// A Switcher changes the expert map of one group. A pass may never begin while
// two ranks have different maps, so the group is held at the pass of the change
// before any rank is armed for it, and let go once all ranks have confirmed. A
// switcher that stops half-way leaves the group held; the next leaseholder
// undoes or finishes the change.
type Switcher struct {
	Ranks Ranks
	Lease Lease
	Log   *log.Logger
	// Group names the group.
	Group string
	// TokenSeq counts the tokens that were given under one fence. It must outlive
	// the switcher where the same fence is held again.
	TokenSeq *int64
}

// nextToken returns a nextToken above all earlier ones, or an error without the lease.
func (s *Switcher) nextToken() (int64, error) {
	fence, held := s.Lease.Held()
	if !held {
		return 0, Error.New("lease on group %s is not held", s.Group)
	}
	*s.TokenSeq++
	return int64(fence)<<tokenSeqBits | *s.TokenSeq, nil
}

// Switch makes a map the one that all ranks use. Members are all ranks of the
// group in one epoch, in their order. Copies is how long copying the experts
// takes at least.
func (s *Switcher) Switch(ctx context.Context, members []Member, epoch int64, layout [][][]int, copies time.Duration) (version int64, err error) {
	token, err := s.nextToken()
	if err != nil {
		return 0, err
	}
	// Tokens only grow, so that each serves as the version of its map, too.
	order := Order{Op: Prepare, Token: token, Epoch: epoch, Version: token, Map: layout}
	if err := s.orderAll(ctx, members, order, prepareTimeout); err != nil {
		return 0, err
	}
	pass, err := s.awaitPrepared(ctx, members, epoch, token, copies)
	if err != nil {
		return 0, err
	}
	order.Map = nil
	pass, err = s.holdAhead(ctx, members[0], order, pass)
	if err != nil {
		return 0, err
	}
	order.Op, order.Pass = Arm, pass
	if err := s.orderAll(ctx, members, order, confirmTimeout); err != nil {
		s.Log.Warn("Map change is undone.", "group", s.Group, "version", token, "pass", pass, "error", err)
		if undone := s.rollback(ctx, members, epoch, token, pass); undone != nil {
			return 0, fmt.Errorf("%w; and then: %w", err, undone)
		}
		return 0, err
	}
	order.Op = Go
	if err := s.orderUntilConfirmed(ctx, members[0], order, confirmTimeout); err != nil && !errors.Is(err, ErrConflict) {
		return 0, err
	}
	return token, nil
}

// awaitPrepared waits until all ranks have copied their experts. It returns the
// newest pass seen.
func (s *Switcher) awaitPrepared(ctx context.Context, members []Member, epoch, version int64, copies time.Duration) (int64, error) {
	if err := chiveclock.Sleep(ctx, copies); err != nil {
		return 0, err
	}
	ready := make([]bool, len(members))
	until := time.Now().Add(prepareTimeout)
	var pass int64
	for {
		reports := s.readReports(ctx, members, ready)
		left := 0
		for i, r := range reports {
			switch {
			case ready[i]:
			case r == nil:
				left++
			case r.Epoch != epoch || !r.Open:
				return 0, Error.New("group %s is in epoch %d, not %d, or broken", s.Group, r.Epoch, epoch)
			default:
				pass = max(pass, r.Pass)
				if ready[i] = r.Prepared == version; !ready[i] {
					left++
				}
			}
		}
		if left == 0 {
			return pass, nil
		}
		if time.Now().After(until) {
			return 0, Error.New("%d ranks of group %s did not copy their experts", left, s.Group)
		}
		if err := chiveclock.Sleep(ctx, reportInterval); err != nil {
			return 0, err
		}
	}
}

// holdAhead holds the group a few passes ahead.
func (s *Switcher) holdAhead(ctx context.Context, m Member, o Order, pass int64) (int64, error) {
	o.Op = Hold
	for lead := int64(minLeadPasses); lead <= minLeadPasses<<leadDoublings; lead *= 2 {
		o.Pass = pass + lead
		err := s.orderUntilConfirmed(ctx, m, o, confirmTimeout)
		if err == nil {
			return o.Pass, nil
		}
		if !errors.Is(err, ErrConflict) {
			return 0, err
		}
		if r, err := s.Ranks.Report(ctx, m); err == nil {
			pass = max(pass, r.Pass)
		}
	}
	return 0, Error.New("group %s could not be held", s.Group)
}

// rollback takes a change back that some ranks may be armed for, and lets the group
// go. Each rank must confirm, since a rank that does not could still carry out
// an arm that is late; until then the group stays held.
func (s *Switcher) rollback(ctx context.Context, members []Member, epoch, version, pass int64) error {
	token, err := s.nextToken()
	if err != nil {
		return err
	}
	o := Order{Op: Hold, Token: token, Epoch: epoch, Version: version, Pass: pass}
	// The hold is confirmed under the new token first: then no older order lets
	// the group go while ranks are being disarmed.
	if err := s.orderUntilConfirmed(ctx, members[0], o, confirmTimeout); err != nil {
		return err
	}
	o.Op = Disarm
	if err := s.orderAll(ctx, members, o, confirmTimeout); err != nil {
		return err
	}
	o.Op = Go
	if err := s.orderUntilConfirmed(ctx, members[0], o, confirmTimeout); err != nil && !errors.Is(err, ErrConflict) {
		return err
	}
	return nil
}

// Recover undoes a change that another leaseholder left half-way. It reports
// whether the group is settled: all ranks in one epoch, none held or armed.
func (s *Switcher) Recover(ctx context.Context, members []Member) (settled bool, reports []*Report, err error) {
	reports = s.readReports(ctx, members, make([]bool, len(members)))
	held, armed := int64(-1), int64(0)
	for i, r := range reports {
		if r == nil {
			return false, reports, Error.New("rank %d of group %s does not report", members[i].Rank, s.Group)
		}
		if !r.Open || r.Epoch != reports[0].Epoch {
			return false, reports, nil
		}
		held, armed = max(held, r.Held), max(armed, r.Armed)
	}
	if held >= 0 {
		s.Log.Warn("Group is held half-way through a change.", "group", s.Group, "pass", held, "armed", armed)
		return false, reports, s.rollback(ctx, members, reports[0].Epoch, armed, held)
	}
	return armed == 0, reports, nil
}

// readReports reads the state of the ranks that are not skipped; those that do not
// answer have none.
func (s *Switcher) readReports(ctx context.Context, members []Member, skip []bool) []*Report {
	list := make([]*Report, len(members))
	var reading sync.WaitGroup
	for i, m := range members {
		if skip[i] {
			continue
		}
		reading.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r, err := s.Ranks.Report(ctx, m)
			if err != nil {
				s.Log.Debug("Rank does not report.", "group", s.Group, "rank", m.Rank, "error", err)
				return
			}
			list[i] = &r
		})
	}
	reading.Wait()
	return list
}

// orderAll sends an order to every rank until each has confirmed it.
func (s *Switcher) orderAll(ctx context.Context, members []Member, o Order, limit time.Duration) error {
	failures := make([]error, len(members))
	var sending sync.WaitGroup
	for i, m := range members {
		sending.Go(func() { failures[i] = s.orderUntilConfirmed(ctx, m, o, limit) })
	}
	sending.Wait()
	for i, err := range failures {
		if err != nil {
			return fmt.Errorf("rank %d of group %s: %w", members[i].Rank, s.Group, err)
		}
	}
	return nil
}

// orderUntilConfirmed sends an order to one rank until it is confirmed or refused.
func (s *Switcher) orderUntilConfirmed(ctx context.Context, m Member, o Order, limit time.Duration) error {
	until := time.Now().Add(limit)
	for tries := 1; ; tries++ {
		if fence, held := s.Lease.Held(); !held || int64(fence) != o.Token>>tokenSeqBits {
			return Error.New("lease on group %s has lapsed", s.Group)
		}
		each, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.Ranks.Order(each, m, o)
		cancel()
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrFenced) {
			return err
		}
		if ctx.Err() != nil || time.Now().After(until) {
			return err
		}
		if tries == warnAfterTries {
			s.Log.Warn("Order is not answered.", "group", s.Group, "rank", m.Rank, "order", o.Op, "token", o.Token, "error", err)
		}
		if err := chiveclock.Sleep(ctx, orderRetryPause); err != nil {
			return err
		}
	}
}
