package chiverank

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// Recover completes or rolls back a change that another leaseholder left unfinished. It
// returns the reports of all ranks and whether the group is settled: open, all
// ranks in one epoch, none held or armed. It fails if a rank does not report, or has
// a map of a later leaseholder.
func (s *Switcher) Recover(ctx context.Context, members []Member) (settled bool, reports []*Report, err error) {
	for range recoverTries {
		settled, reports, err = s.recoverOnce(ctx, members)
		if !errors.Is(err, ErrConflict) {
			break
		}
	}
	return settled, reports, err
}

// recoverTries is the number of attempts to recover a group. A rollback is refused if a
// pass begins after the reports, until the group stands.
const recoverTries = 4

// recoverOnce makes one attempt of Recover. The error wraps ErrConflict if the group has
// moved on since the reports.
func (s *Switcher) recoverOnce(ctx context.Context, members []Member) (settled bool, reports []*Report, err error) {
	start := chiveclock.Now()
	reports, open, err := s.readSince(ctx, members)
	if err != nil || !open {
		return false, reports, err
	}
	if s.minEpoch != reports[0].Epoch && anyVersion(reports) {
		// Rounds of earlier leaseholders are not known. Each has prepared a version.
		s.skipPasses(reports[0].Epoch, lastPass(reports))
	}
	if settledOrArmed(reports) {
		s.blockedAt = time.Time{}
		return reports[0].Armed == 0, reports, nil
	}
	end := s.watch()
	defer func() { end(err == nil) }()
	if u, ok := findUnfinished(members, reports, s.knownRound()); ok {
		s.Log.Warn("Group is held by an unfinished map change, completing it.", "group", s.Group, "version", u.Version, "pass", u.Pass)
		err := s.complete(ctx, members, reports[0].Epoch, u)
		if err == nil {
			s.tellTakeover(Takeover{Completed: true, Version: u.Version, Spent: chiveclock.Since(start)})
			return false, reports, nil
		}
		s.Log.Warn("Unfinished map change could not be completed.", "group", s.Group, "version", u.Version, "error", err)
		if reports, open, err = s.readGroup(ctx, members); err != nil || !open || settledOrArmed(reports) {
			return false, reports, err
		}
	}
	s.Log.Warn("Group is held by an unfinished map change, rolling back.", "group", s.Group, "pass", reports[0].Pass, "armed", reports[0].Armed)
	if err := s.rollback(ctx, members, reports); err != nil {
		return false, reports, err
	}
	s.tellTakeover(Takeover{Version: reports[0].Prepared, Spent: chiveclock.Since(start)})
	return false, reports, nil
}

// readSince reads the reports of all ranks as readGroup does, again while they show a group
// that is not held but may be from before the hold that a silent leaseholder has told of.
func (s *Switcher) readSince(ctx context.Context, members []Member) (reports []*Report, open bool, err error) {
	for {
		recent := s.SincePulse != nil && s.SincePulse() <= maxReportAge
		reports, open, err = s.readGroup(ctx, members)
		if !recent || err != nil || !open || !settledOrArmed(reports) {
			return reports, open, err
		}
		if err := chiveclock.Sleep(ctx, reportInterval); err != nil {
			return reports, false, err
		}
	}
}

// readGroup reads the reports of all ranks. It returns whether the group is open, with
// all ranks in one epoch, and fails if a rank does not report, or has a map of a later
// leaseholder.
func (s *Switcher) readGroup(ctx context.Context, members []Member) (reports []*Report, open bool, err error) {
	reports = s.readReports(ctx, members, make([]bool, len(members)))
	for i, r := range reports {
		if r == nil {
			return reports, false, Error.New("no report from rank %d of group %s", members[i].Rank, s.Group)
		}
		if !r.Open || r.Epoch != reports[0].Epoch {
			return reports, false, nil
		}
		if s.superseded(*r) {
			return reports, false, fmt.Errorf("rank %d of group %s: %w: it has a map of a later leaseholder", members[i].Rank, s.Group, ErrFenced)
		}
	}
	return reports, true, nil
}

// anyVersion reports whether a rank has had a map other than the first one.
func anyVersion(reports []*Report) bool {
	return slices.ContainsFunc(reports, func(r *Report) bool { return r.Map != 0 || r.Prepared != 0 || r.Armed != 0 })
}

// lastPass returns the last pass that a rank has reported.
func lastPass(reports []*Report) int64 {
	var pass int64
	for _, r := range reports {
		pass = max(pass, r.Pass)
	}
	return pass
}

// settledOrArmed reports whether no rank holds the group and all are armed for the same
// version or none is.
func settledOrArmed(reports []*Report) bool {
	return !slices.ContainsFunc(reports, func(r *Report) bool { return r.Held >= 0 || r.Armed != reports[0].Armed })
}

// Round is the round of a change in which a rank holds the group.
type Round struct {
	// Version is the version of the map, Pass the pass before which the group is held.
	Version int64 `cbor:"version"`
	Pass    int64 `cbor:"pass"`
}

// unfinished is a change whose leaseholder stopped after all ranks had prepared its map
// and one of them held the group.
type unfinished struct {
	Round
	// holder is the rank that holds the group.
	holder Member
	// armed is set if all ranks are armed.
	armed bool
}

// findUnfinished returns the change that reports show, and whether it can be completed.
// That needs all ranks to have the version prepared, and no other to be armed, and the
// group to be held by the rank of the round of this version alone. Any other hold is part
// of a rollback.
//
// A late order of another round may have made this rank hold the group, but not before
// the first rank is armed, since Arm is sent only once the hold is confirmed, nor before
// all are, since Go is sent only then. So the hold names the pass of the change if some
// ranks are armed, the pass does not matter if all are, and if none is, the leaseholder
// must have told it in known.
func findUnfinished(members []Member, reports []*Report, known Round) (unfinished, bool) {
	version := reports[0].Prepared
	if version == 0 {
		return unfinished{}, false
	}
	u := unfinished{Round: Round{Version: version, Pass: -1}, holder: roundHolder(members, version, nil)}
	armed := 0
	for i, r := range reports {
		if r.Map == version || r.Map != reports[0].Map || r.Prepared != version || r.Armed != 0 && r.Armed != version {
			return unfinished{}, false
		}
		if r.Armed == version {
			armed++
		}
		if r.Held < 0 {
			continue
		}
		if members[i] != u.holder {
			return unfinished{}, false
		}
		u.Pass = r.Held
	}
	u.armed = armed == len(reports)
	return u, u.Pass >= 0 && (armed > 0 || u.Round == known)
}

// knownRound returns the result of KnownRound.
func (s *Switcher) knownRound() Round {
	if s.KnownRound == nil {
		return Round{}
	}
	return s.KnownRound()
}

// complete arms all ranks for an unfinished change, unless they are, and releases the
// group. The orders are those that the earlier leaseholder sent or would have sent, so that
// its late and repeated ones do no harm, nor does it do harm that several successors
// complete the same change. A rank refuses to be armed if the change was rolled back meanwhile or its
// pass has begun; the group is then not released. A rollback that begins meanwhile has a
// hold of its own until all ranks have a newer version prepared.
func (s *Switcher) complete(ctx context.Context, members []Member, epoch int64, u unfinished) error {
	token, err := s.nextToken()
	if err != nil {
		return err
	}
	o := Order{Op: Arm, Token: token, Epoch: epoch, Version: u.Version, Pass: u.Pass}
	if !u.armed {
		if err := s.orderAll(ctx, members, o, completeTimeout); err != nil {
			return err
		}
	}
	o.Op = Go
	err = s.orderUntilConfirmed(ctx, u.holder, o, confirmTimeout)
	if errors.Is(err, ErrConflict) {
		// The earlier leaseholder or another successor has released the group.
		return nil
	}
	return err
}

// completeTimeout bounds the attempts to arm the ranks for a change of an earlier
// leaseholder. A rank that does not answer for as long has to be waited for in a
// rollback, too.
const completeTimeout = 600 * time.Millisecond

// Takeover describes how the change of an earlier leaseholder ended.
type Takeover struct {
	// Completed is set if the change was completed, otherwise it was rolled back.
	Completed bool
	// Version is the version of the map that was prepared.
	Version int64
	// Spent is the time from reading the ranks until the group was released.
	Spent time.Duration
}

// tellTakeover calls OnTakeover.
func (s *Switcher) tellTakeover(t Takeover) {
	if s.OnTakeover != nil {
		s.OnTakeover(t)
	}
}
