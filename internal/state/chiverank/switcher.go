package chiverank

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveguard"
)

const (
	// orderTimeout bounds one attempt at an order. The transport below may send
	// the order several times within it.
	orderTimeout = 130 * time.Millisecond
	// warnAfterTries is the number of unanswered attempts after which a warning
	// is logged.
	warnAfterTries = 4
	// reportTimeout bounds reading one report.
	reportTimeout = 250 * time.Millisecond
	// orderRetryPause is the pause between two attempts at an order.
	orderRetryPause = 10 * time.Millisecond
	// prepareTimeout bounds sending Prepare to all ranks, and then waiting until
	// they have copied their experts.
	prepareTimeout = 8 * time.Second
	// reportInterval is the pause between two polls of ranks that are copying, or whose
	// reports may be out of date.
	reportInterval = 25 * time.Millisecond
	// maxReportAge is the age that a report may have, with the time that an order takes.
	maxReportAge = 300 * time.Millisecond
	// leadTime is the least time between a report and the pass at which the map changes: a
	// successor takes over from a suspended switcher in this time, so that the group does
	// not stand meanwhile. leadPasses is the least number of passes, and slowLeadPasses
	// that number if a pass takes at least slowPassTime, which is enough to arm all ranks;
	// maxLeadPasses bounds it. It is doubled up to leadDoublings times while the hold
	// arrives after that pass has begun.
	leadTime       = 170 * time.Millisecond
	leadPasses     = 2
	slowLeadPasses = 1
	slowPassTime   = 150 * time.Millisecond
	maxLeadPasses  = 5
	leadDoublings  = 5
	// confirmTimeout bounds the attempts until a rank confirms an order other than
	// Prepare. If a rank does not confirm Arm, the change is rolled back.
	confirmTimeout = 6 * time.Second
	// blockedTime is how long a rollback fails if each rank may belong to the round of a
	// change. The orders of that round have arrived by then, and the group would otherwise
	// stand for good.
	blockedTime = 15 * time.Second
	// tokenSeqBits is the number of low bits of a token that hold TokenSeq; the
	// bits above hold the fencing token of the lease.
	tokenSeqBits = 20
	// holderStride separates the ranks that hold a group in the first rounds of
	// successive leaseholders.
	holderStride = 3
)

// Switcher changes the expert map of one group. A pass must never begin while two
// ranks use different maps. The group is therefore held before the pass of the
// change until every rank has confirmed that it is armed. A switcher that stops
// in between leaves the group held; the next leaseholder completes the change or rolls
// it back with Recover.
//
// An order that was not answered may be carried out seconds later, and an earlier
// leaseholder may still send orders. Not all ranks check tokens, so that neither may
// do harm without them: each round holds the group by another rank, so that a late Go
// of an earlier round releases another hold, and a rollback prepares a newer version
// on every rank, so that a late Arm finds its version no longer prepared.
type Switcher struct {
	Ranks Ranks
	Lease Lease
	Log   *log.Logger
	// Group is the name of the group, for logs and errors.
	Group string
	// TokenSeq counts the tokens issued under one fencing token of the lease. It
	// must outlive the switcher if the same fencing token may be used again.
	TokenSeq *int64
	// CurrentLayout returns the experts that the ranks use, per layer and rank.
	CurrentLayout func(ctx context.Context, members []Member) ([][][]int, error)
	// Watch is called before the group is held or released; the function that it returns
	// is called once the switcher has stopped, with whether it has released the group. nil
	// means that nobody watches.
	Watch func() (end func(released bool))
	// OnHeld is called when the group is held for a change, before a rank is armed. It may
	// be nil.
	OnHeld func(Round)
	// KnownRound returns the round that another leaseholder has last told of; nil means
	// that there is none.
	KnownRound func() Round
	// SincePulse returns the time since another leaseholder has last told that it holds a
	// group; nil means that there is none.
	SincePulse func() time.Duration
	// OnTakeover is called when the change of an earlier leaseholder was completed or
	// rolled back. It may be nil.
	OnTakeover func(Takeover)

	// released holds the ranks that the last rollback found holding the group and whose
	// holds it releases. A Go of an earlier round may still arrive there, so that the next
	// change holds the group by another rank.
	released []Member
	// blockedAt is when a rollback first found no rank to hold the group, zero if none did
	// since the group was settled.
	blockedAt time.Time
	// minPass is the least pass of the next change in minEpoch. A Go of an earlier round
	// before such a pass can no longer arrive, also if the group stands idle.
	minPass, minEpoch int64
}

// watch calls Watch.
func (s *Switcher) watch() (end func(released bool)) {
	if s.Watch == nil {
		return func(bool) {}
	}
	return s.Watch()
}

// nextToken returns a token above all earlier ones. It fails if the lease is not
// held.
func (s *Switcher) nextToken() (int64, error) {
	fence, held := s.Lease.Held()
	if !held {
		return 0, Error.New("lease on group %s is not held", s.Group)
	}
	if err := checkFence(s.Group, fence); err != nil {
		return 0, Error.Wrap(err)
	}
	*s.TokenSeq++
	return int64(fence)<<tokenSeqBits | *s.TokenSeq, nil
}

// Switch makes all ranks use a map and returns its version. members are all ranks
// of the group in the given epoch, ordered by rank. layout lists the experts per
// layer and rank. copyTime is the least time that copying the experts takes; no
// rank is polled before. passTime is the recent duration of a pass, 0 if unknown. An urgent
// change leaves no more than leadPasses passes for a successor to take over. If a
// rank cannot be armed, the change is rolled back and the error returned.
func (s *Switcher) Switch(ctx context.Context, members []Member, epoch int64, layout [][][]int, copyTime, passTime time.Duration, urgent bool) (version int64, err error) {
	token, err := s.nextToken()
	for range s.released {
		if err == nil && slices.Contains(s.released, roundHolder(members, token, nil)) {
			token, err = s.nextToken()
		}
	}
	if err != nil {
		return 0, err
	}
	// Tokens only increase, so the token also serves as the version of the map.
	order := Order{Op: Prepare, Token: token, Epoch: epoch, Version: token, Map: layout}
	if err := s.orderAll(ctx, members, order, prepareTimeout); err != nil {
		return 0, err
	}
	pass, err := s.awaitPrepared(ctx, members, epoch, token, copyTime)
	if err != nil {
		return 0, err
	}
	released := false
	end := s.watch()
	defer func() { end(released) }()
	order.Map = nil
	holder := roundHolder(members, token, nil)
	pass, err = s.holdAhead(ctx, holder, order, pass, leadFor(passTime, urgent))
	if err != nil {
		return 0, err
	}
	if s.OnHeld != nil {
		s.OnHeld(Round{Version: token, Pass: pass})
	}
	order.Op, order.Pass = Arm, pass
	if err := s.orderAll(ctx, members, order, confirmTimeout); err != nil {
		s.Log.Warn("Rolling back the map change: a rank could not be armed.", "group", s.Group, "version", token, "pass", pass, "error", err)
		_, _, rollbackErr := s.Recover(ctx, members)
		released = rollbackErr == nil
		return 0, errors.Join(err, rollbackErr)
	}
	order.Op = Go
	if err := s.orderUntilConfirmed(ctx, holder, order, confirmTimeout); err != nil && !errors.Is(err, ErrConflict) {
		return 0, err
	}
	released = true
	return token, nil
}

// leadFor returns the number of passes from a report to the change for a duration of
// passes, 0 if unknown.
func leadFor(passTime time.Duration, urgent bool) int64 {
	switch {
	case passTime >= slowPassTime:
		return slowLeadPasses
	case passTime <= 0 || urgent:
		return leadPasses
	}
	return int64(max(leadPasses, min(maxLeadPasses, (leadTime+passTime-1)/passTime)))
}

// roundHolder returns the rank that holds the group in the round of a token.
// Successive tokens have different ranks. It avoids the given ranks if the group
// has others.
func roundHolder(members []Member, token int64, avoid []Member) Member {
	n := uint64(len(members))
	first := (uint64(token>>tokenSeqBits)*holderStride + uint64(token)) % n
	for i := range n {
		if m := members[(first+i)%n]; !slices.Contains(avoid, m) {
			return m
		}
	}
	return members[first]
}

// earlierHolders returns the ranks that held the group in the rounds of the versions that
// ranks report. A Go of these rounds may still arrive there.
func earlierHolders(members []Member, reports []*Report) []Member {
	var list []Member
	for _, r := range reports {
		for _, version := range []int64{r.Map, r.Prepared, r.Armed} {
			if m := roundHolder(members, version, nil); version != 0 && !slices.Contains(list, m) {
				list = append(list, m)
			}
		}
	}
	return list
}

// rollbackHolder returns the rank that holds the group in a rollback. It avoids those that
// hold the group and those of the rounds that ranks report. In small groups it makes do
// without the rounds that are over. It fails if no rank is left: the hold could then be
// taken for that of the change that is being rolled back.
func rollbackHolder(members []Member, token int64, held []Member, reports []*Report) (Member, error) {
	all := slices.Concat(held, earlierHolders(members, reports))
	if m := roundHolder(members, token, all); !slices.Contains(all, m) {
		return m, nil
	}
	avoid := slices.Clone(held)
	for _, r := range reports {
		if r.Prepared != 0 && slices.ContainsFunc(reports, func(o *Report) bool { return o.Map != r.Prepared }) {
			avoid = append(avoid, roundHolder(members, r.Prepared, nil))
		}
	}
	m := roundHolder(members, token, avoid)
	if slices.Contains(avoid, m) {
		return Member{}, Error.New("no rank of %d may hold the group for a rollback", len(members))
	}
	return m, nil
}

// awaitPrepared waits until all ranks have copied the experts of a version. It
// returns the highest pass reported. It fails when the group is not open in the
// epoch, or when a rank is not prepared in time.
func (s *Switcher) awaitPrepared(ctx context.Context, members []Member, epoch, version int64, copyTime time.Duration) (int64, error) {
	if err := chiveclock.Sleep(ctx, copyTime); err != nil {
		return 0, err
	}
	ready := make([]bool, len(members))
	deadline := time.Now().Add(prepareTimeout)
	var pass int64
	for {
		reports := s.readReports(ctx, members, ready)
		pending := 0
		for i, r := range reports {
			switch {
			case ready[i]:
			case r == nil:
				pending++
			case r.Epoch != epoch || !r.Open:
				return 0, Error.New("group %s is not open or changed its epoch: it is in epoch %d, want %d", s.Group, r.Epoch, epoch)
			default:
				pass = max(pass, r.Pass)
				if ready[i] = r.Prepared == version; !ready[i] {
					pending++
				}
			}
		}
		if pending == 0 {
			return pass, nil
		}
		if time.Now().After(deadline) {
			return 0, Error.New("%d ranks of group %s did not copy their experts in time", pending, s.Group)
		}
		if err := chiveclock.Sleep(ctx, reportInterval); err != nil {
			return 0, err
		}
	}
}

// holdAhead makes the rank m hold the group lead passes after the given one, and
// returns the pass before which it is held. It tries later passes while the
// chosen one has begun already.
func (s *Switcher) holdAhead(ctx context.Context, m Member, o Order, pass, lead int64) (int64, error) {
	o.Op = Hold
	for range leadDoublings + 1 {
		o.Pass = pass + lead
		if o.Epoch == s.minEpoch {
			o.Pass = max(o.Pass, s.minPass)
		}
		lead *= 2
		err := s.orderUntilConfirmed(ctx, m, o, confirmTimeout)
		if err == nil {
			return o.Pass, nil
		}
		if !errors.Is(err, ErrConflict) {
			return 0, err
		}
		if r, err := s.report(ctx, m); err == nil {
			pass = max(pass, r.Pass)
		}
	}
	return 0, Error.New("group %s could not be held: every hold was refused", s.Group)
}

// rollback stops the group, disarms all ranks and releases every hold. reports are
// the reports of all ranks. Every rank must confirm, because a rank that did not
// could still carry out a delayed Arm; until then the group stays held. It fails if
// the group has moved on since the reports.
func (s *Switcher) rollback(ctx context.Context, members []Member, reports []*Report) error {
	token, err := s.nextToken()
	if err != nil {
		return err
	}
	pass := lastPass(reports)
	var holders []Member
	for i, r := range reports {
		if r.Held >= 0 {
			holders = append(holders, members[i])
		}
	}
	s.released = holders
	s.skipPasses(reports[0].Epoch, pass)
	// The pass must be the next one: before a later one, the group could begin the
	// pass of a change that is being rolled back.
	holder, err := rollbackHolder(members, token, holders, reports)
	if err != nil {
		if s.blockedAt.IsZero() {
			s.blockedAt = time.Now()
		}
		if time.Since(s.blockedAt) < blockedTime {
			return err
		}
		s.Log.Warn("Rolling back by a rank of an earlier round.", "group", s.Group, "error", err)
		holder = roundHolder(members, token, holders)
	}
	o := Order{Op: Hold, Token: token, Epoch: reports[0].Epoch, Pass: pass + 1}
	// The layout may be read before the hold is confirmed: the hold is refused unless
	// the pass of the reports is still the last that has begun.
	var reading sync.WaitGroup
	var layout [][][]int
	var readErr error
	reading.Go(func() {
		readErr = chiveguard.Call("reading of the layout", func() (err error) {
			layout, err = s.CurrentLayout(ctx, members)
			return err
		})
	})
	holdErr := s.orderUntilConfirmed(ctx, holder, o, confirmTimeout)
	reading.Wait()
	if err := cmp.Or(holdErr, readErr); err != nil {
		return err
	}
	o.Map = layout
	if err := s.forAll(members, func(m Member) error { return s.disarm(ctx, m, o) }); err != nil {
		return err
	}
	o.Op, o.Map = Go, nil
	return s.forAll(members, func(m Member) error {
		release := o
		if m != holder {
			release.Pass = reports[m.Rank].Held
		}
		if release.Pass < 0 {
			return nil
		}
		err := s.orderUntilConfirmed(ctx, m, release, confirmTimeout)
		if errors.Is(err, ErrConflict) {
			return nil
		}
		return err
	})
}

// skipPasses leaves out the passes for which rounds that are over may have held the group,
// with the given pass as the last that has begun.
func (s *Switcher) skipPasses(epoch, pass int64) {
	s.minEpoch, s.minPass = epoch, pass+maxLeadPasses+1
}

// disarm disarms a rank and prepares the map of o on it, under the token of o as the
// version. A rank refuses that while it is armed, and afterwards no longer arms an
// older version, so that both are repeated until the rank reports the new version.
func (s *Switcher) disarm(ctx context.Context, m Member, o Order) error {
	deadline := time.Now().Add(confirmTimeout)
	prepare := o
	prepare.Op, prepare.Version = Prepare, o.Token
	for {
		if o.Version != 0 {
			o.Op, o.Map = Disarm, nil
			if err := s.orderUntilConfirmed(ctx, m, o, confirmTimeout); err != nil {
				return err
			}
		}
		err := s.orderUntilConfirmed(ctx, m, prepare, confirmTimeout)
		if err != nil && !errors.Is(err, ErrConflict) {
			return err
		}
		r, reportErr := s.report(ctx, m)
		switch {
		case reportErr != nil:
		case s.superseded(r):
			return fmt.Errorf("%w: the rank has a map of a later leaseholder", ErrFenced)
		case r.Prepared == prepare.Version && r.Armed == 0:
			return nil
		default:
			o.Version = r.Armed
		}
		if time.Now().After(deadline) {
			return Error.New("rank %d of group %s could not be disarmed in time: %v", m.Rank, s.Group, errors.Join(err, reportErr))
		}
		if err := chiveclock.Sleep(ctx, orderRetryPause); err != nil {
			return err
		}
	}
}

// superseded reports whether a rank has a map of a later leaseholder, and tells the
// lease.
func (s *Switcher) superseded(r Report) bool {
	fence, _ := s.Lease.Held()
	newest := r.newestFence()
	if newest <= fence {
		return false
	}
	s.Lease.Supersede(newest)
	return true
}

// report reads the report of a rank. It returns an error for a version that no leaseholder can have
// issued: fencing tokens only increase, and all later leaseholders would have to go beyond it.
func (s *Switcher) report(ctx context.Context, m Member) (Report, error) {
	r, err := s.Ranks.Report(ctx, m)
	if err != nil {
		return r, err
	}
	if fence, _ := s.Lease.Held(); fence != 0 && r.newestFence() > fence+maxFenceLead {
		return r, Error.New("rank %d of group %s reports a version that no leaseholder has issued: map %d, prepared %d, armed %d",
			m.Rank, s.Group, r.Map, r.Prepared, r.Armed)
	}
	return r, nil
}

// readReports reads the reports of the ranks that are not skipped. The entry of a
// rank that was skipped or did not answer is nil.
func (s *Switcher) readReports(ctx context.Context, members []Member, skip []bool) []*Report {
	list := make([]*Report, len(members))
	var readers sync.WaitGroup
	for i, m := range members {
		if skip[i] {
			continue
		}
		chiveguard.Go(&readers, s.Log, "reading of a report", func() {
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			r, err := s.report(ctx, m)
			if err != nil {
				s.Log.Debug("Cannot read the report of a rank.", "group", s.Group, "rank", m.Rank, "error", err)
				return
			}
			list[i] = &r
		})
	}
	readers.Wait()
	return list
}

// orderAll sends an order to all ranks in parallel and waits until each has
// confirmed it. It returns the error of the lowest rank that failed.
func (s *Switcher) orderAll(ctx context.Context, members []Member, o Order, timeout time.Duration) error {
	return s.forAll(members, func(m Member) error { return s.orderUntilConfirmed(ctx, m, o, timeout) })
}

// forAll calls f for all ranks in parallel. It returns the error of the lowest rank
// that failed.
func (s *Switcher) forAll(members []Member, f func(Member) error) error {
	errs := make([]error, len(members))
	var senders sync.WaitGroup
	for i, m := range members {
		senders.Go(func() { errs[i] = chiveguard.Call("order", func() error { return f(m) }) })
	}
	senders.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("rank %d of group %s: %w", members[i].Rank, s.Group, err)
		}
	}
	return nil
}

// orderUntilConfirmed sends an order to one rank until the rank confirms or
// refuses it, the timeout has passed, or the lease under which the order's token
// was issued is no longer held.
func (s *Switcher) orderUntilConfirmed(ctx context.Context, m Member, o Order, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for tries := 1; ; tries++ {
		if fence, held := s.Lease.Held(); !held || int64(fence) != o.Token>>tokenSeqBits {
			return Error.New("lease on group %s is no longer held", s.Group)
		}
		tryCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := s.Ranks.Order(tryCtx, m, o)
		cancel()
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrFenced) {
			return err
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return err
		}
		if tries == warnAfterTries {
			s.Log.Warn("Rank does not answer an order, retrying.", "group", s.Group, "rank", m.Rank, "order", o.Op, "token", o.Token, "error", err)
		}
		if err := chiveclock.Sleep(ctx, orderRetryPause); err != nil {
			return err
		}
	}
}
