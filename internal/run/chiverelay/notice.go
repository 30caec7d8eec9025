package chiverelay

import (
	"math"
	"slices"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

const (
	// noticeMaxAge is how long a notice is kept for an incarnation that is no longer
	// registered: the store may return from an older copy, in which it still is.
	noticeMaxAge = 10 * time.Minute
	// maxPause is the longest pause that a runner may ask for.
	maxPause = time.Hour
	// maxCarriedPause is how much of a pause also holds for other incarnations of the runner's
	// ID: its registration may be that late, above all while the store is away.
	maxCarriedPause = 15 * time.Second
	// pauseRecovery is the time in which the number of requests that a runner may have
	// doubles after its pause.
	pauseRecovery = 2 * time.Second
)

// notice holds what an incarnation of a runner has told this entry VM in its answers.
// It holds until the runner starts again, whatever its registration says.
type notice struct {
	// leaving is set once the runner takes no new requests.
	leaving bool
	// pausedUntil is the moment until which the runner wants no requests from this entry
	// VM, 0 if it has not asked for a pause.
	pausedUntil chiveclock.Moment
	// limit is the number of requests that the runner may have at the end of its pause.
	limit float64
	// receivedAt is when the last answer with a notice arrived.
	receivedAt chiveclock.Moment
}

// NoteLeaving records that a runner said in an answer that it takes no new requests. It
// reports whether this is news.
func (rs *RunnerState) NoteLeaving(i chivefleet.Incarnation) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	n := rs.notices[i]
	news := !n.leaving
	n.leaving, n.receivedAt = true, chiveclock.Now()
	rs.notices[i] = n
	return news
}

// NotePause records that a runner wants no requests from this entry VM for a time, at
// most maxPause. An earlier request for a pause that lasts longer stays in force. It
// returns the pause that is left.
func (rs *RunnerState) NotePause(i chivefleet.Incarnation, d time.Duration) time.Duration {
	now := chiveclock.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	n := rs.notices[i]
	n.pausedUntil, n.receivedAt = max(n.pausedUntil, now.Add(min(d, maxPause))), now
	n.limit = max(1, float64(rs.loads.total(i.ID, now))/2)
	rs.notices[i] = n
	if whichever := anyIncarnation(i.ID); whichever != i {
		c := rs.notices[whichever]
		c.pausedUntil, c.receivedAt = max(c.pausedUntil, now.Add(min(d, maxCarriedPause))), now
		rs.notices[whichever] = c
	}
	return n.pausedUntil.Sub(now)
}

// anyIncarnation is the key of the pauses that whichever incarnation of a runner's ID has asked
// for. An answer does not say which has sent it: a runner may have started again under its ID
// and not be registered anew yet.
func anyIncarnation(id string) chivefleet.Incarnation {
	return chivefleet.Incarnation{ID: id}
}

// pausedUntil returns the moment until which a runner wants no requests, 0 if it has not asked
// for a pause. The caller must hold mu.
func (rs *RunnerState) pausedUntil(i chivefleet.Incarnation) chiveclock.Moment {
	return max(rs.notices[i].pausedUntil, rs.notices[anyIncarnation(i.ID)].pausedUntil)
}

// shortestPause returns the shortest time that is left of the pauses of runners, or 0 if
// one of them has not asked for a pause or there are none. Runners that are leaving do
// not count.
func (rs *RunnerState) shortestPause(runners []*chivefleet.Runner) time.Duration {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if len(rs.notices) == 0 {
		return 0
	}
	now := chiveclock.Now()
	shortest := time.Duration(0)
	for _, r := range runners {
		i := r.Incarnation()
		if rs.notices[i].leaving {
			continue
		}
		left := rs.pausedUntil(i).Sub(now)
		if left <= 0 {
			return 0
		}
		if shortest == 0 || left < shortest {
			shortest = left
		}
	}
	return shortest
}

// limitAfterPause returns how many requests a runner may have, and false if it has not
// asked for a pause. After a pause it begins with half of the requests that were too many,
// so that work does not return in a burst. The caller must hold mu.
func (rs *RunnerState) limitAfterPause(r *chivefleet.Runner, now chiveclock.Moment) (limit int, ok bool) {
	n := rs.notices[r.Incarnation()]
	if n.pausedUntil == 0 {
		return 0, false
	}
	growth := math.Exp2(float64(now.Sub(n.pausedUntil)) / float64(pauseRecovery))
	return int(min(float64(math.MaxInt32), n.limit*growth)), true
}

// NoticeCounts returns the number of incarnations that have said that they are leaving, and
// that of the runners that have asked for a pause which has not ended.
func (rs *RunnerState) NoticeCounts() (leaving, paused int) {
	now := chiveclock.Now()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	pausedIDs := map[string]bool{}
	for i, n := range rs.notices {
		if n.leaving {
			leaving++
		}
		if now < n.pausedUntil {
			pausedIDs[i.ID] = true
		}
	}
	return leaving, len(pausedIDs)
}

// Accepts reports whether a runner takes new requests of this entry VM, by what it has
// said in its answers.
func (rs *RunnerState) Accepts(r *chivefleet.Runner) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.accepts(r)
}

// accepts implements Accepts. The caller must hold mu.
func (rs *RunnerState) accepts(r *chivefleet.Runner) bool {
	if len(rs.notices) == 0 {
		return true
	}
	i := r.Incarnation()
	return !rs.notices[i].leaving && chiveclock.Now() >= rs.pausedUntil(i)
}

// SaysLeaving reports whether a runner has said in an answer that it is leaving.
func (rs *RunnerState) SaysLeaving(r *chivefleet.Runner) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return rs.notices[r.Incarnation()].leaving
}

// accepting returns the runners that take new requests.
func (rs *RunnerState) accepting(runners []*chivefleet.Runner) []*chivefleet.Runner {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return slices.DeleteFunc(runners, func(r *chivefleet.Runner) bool { return !rs.accepts(r) })
}

// pruneNotices drops notices of incarnations that are not registered and have said
// nothing for noticeMaxAge. The caller must hold mu.
func (rs *RunnerState) pruneNotices(known map[chivefleet.Incarnation]bool, now chiveclock.Moment) {
	for i, n := range rs.notices {
		if !known[i] && now.Sub(n.receivedAt) > noticeMaxAge {
			delete(rs.notices, i)
		}
	}
}

// applyNotices records what a runner says in the header of its answer to the request.
func (x *exchange) applyNotices(runner *chivefleet.Runner, r Response) {
	if !r.Misdirected {
		x.applyRate(runner, r)
	}
	x.applyRequests(runner, r)
}

// applyUnreturned records what a runner says in the header of an answer that is late or belongs
// to another request. That it names no rate says nothing of later answers.
func (x *exchange) applyUnreturned(runner *chivefleet.Runner, r Response) {
	if !r.Misdirected && r.Rate != nil {
		x.applyRate(runner, r)
	}
	x.applyRequests(runner, r)
}

// applyRequests records that a runner wants no more requests, for a time or for good.
func (x *exchange) applyRequests(runner *chivefleet.Runner, r Response) {
	if r.Leaving && x.relay.State.NoteLeaving(runner.Incarnation()) {
		x.relay.Log.Info("Runner says that it is leaving.", "runner", runner.ID, "born", runner.StartedAtMillis, "request", x.request.ID)
	}
	if r.MalformedPause != "" {
		x.relay.Log.Warn("Runner asks for a pause of a malformed length.", "runner", runner.ID, "value", r.MalformedPause, "assumed", r.Pause)
	}
	if r.Pause > 0 {
		left := x.relay.State.NotePause(runner.Incarnation(), r.Pause)
		x.relay.Log.Info("Runner asks for a pause.", "runner", runner.ID, "for", formatMillis(r.Pause), "left", formatMillis(left), "request", x.request.ID)
	}
}

// applyRate records the rate that a runner names in the header of an answer. A malformed one
// changes nothing.
func (x *exchange) applyRate(runner *chivefleet.Runner, r Response) {
	if r.MalformedRate != "" {
		x.relay.Log.Warn("Runner names a malformed rate.", "runner", runner.ID, "value", r.MalformedRate)
		if r.Rate == nil {
			return
		}
	}
	if !x.relay.Rates.noteRate(runner.Incarnation(), r.Rate) {
		return
	}
	if r.Rate == nil {
		x.relay.Log.Info("Runner no longer names a rate.", "runner", runner.ID, "request", x.request.ID)
		return
	}
	x.relay.Log.Info("Runner names the rate that it accepts.", "runner", runner.ID, "rate", *r.Rate, "request", x.request.ID)
}

// mayStillSend reports whether a runner that was chosen a moment ago may still get the
// request, and sets the cause if not. Connecting may have taken long.
func (x *exchange) mayStillSend(runner *chivefleet.Runner) bool {
	if x.isExcluded() {
		return false
	}
	if x.relay.State.Accepts(runner) {
		return true
	}
	x.cause = "runner " + runner.ID + " takes no new requests at present"
	return false
}
