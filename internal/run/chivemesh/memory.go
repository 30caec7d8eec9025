package chivemesh

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/policy/chivequota"
	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// RetryMemory connects a Mesh with the retry budgets of its entry VM, which must outlive the
// process: the members of a zone remember what each has used, and tell a process that starts
// again. The zero value remembers nothing.
type RetryMemory struct {
	// Span is the length of the window of the budgets.
	Span time.Duration
	// Use returns what this entry VM has used, or nil if that is not known yet.
	Use func() *chivequota.RetryUse
	// OnFormer is called with what a neighbour remembers of the process before this one.
	OnFormer func(*chivequota.FormerUse)

	// uses holds what is remembered, by the name of the entry VM.
	uses map[string]*rememberedUse
}

// rememberedUse is what is remembered of the retries of an entry VM.
type rememberedUse struct {
	// boot is its current process, which was heard first at bootAt.
	boot   uint64
	bootAt chiveclock.Moment
	// latest is what it told last, at latestAt, former what the process before told last, at
	// formerAt. Both moments are 0 if nothing was told.
	latest, former     *chivequota.RetryUse
	latestAt, formerAt chiveclock.Moment
}

// note records what a process tells, which is nil if it does not know yet.
func (r *RetryMemory) note(name string, boot uint64, use *chivequota.RetryUse, now chiveclock.Moment) {
	if r.Span == 0 {
		return
	}
	u := r.uses[name]
	if u == nil {
		if r.uses == nil {
			r.uses = map[string]*rememberedUse{}
		}
		u = &rememberedUse{boot: boot, bootAt: now}
		r.uses[name] = u
	}
	if boot != u.boot {
		if u.latestAt != 0 {
			u.former, u.formerAt = u.latest, u.latestAt
		}
		u.boot, u.bootAt, u.latest, u.latestAt = boot, now, nil, 0
	}
	if use != nil {
		u.latest, u.latestAt = use, now
	}
}

// formerOf returns what is remembered of the process before the current one of an entry VM, or
// nil if that one does not need it any more or nothing can be said. listeningSince is when this
// entry VM began to listen.
func (r *RetryMemory) formerOf(name string, listeningSince, now chiveclock.Moment) *chivequota.FormerUse {
	u := r.uses[name]
	if u == nil || now.Sub(u.bootAt) >= r.Span {
		return nil
	}
	if u.formerAt != 0 {
		return &chivequota.FormerUse{RetryUse: *u.former, Age: now.Sub(u.formerAt)}
	}
	own := r.Use()
	if own == nil || u.bootAt.Sub(listeningSince) < r.Span {
		return nil
	}
	return &chivequota.FormerUse{RetryUse: chivequota.RetryUse{Sharers: own.Sharers}, Age: r.Span}
}

// prune forgets what no process can need any more.
func (r *RetryMemory) prune(now chiveclock.Moment) {
	for name, u := range r.uses {
		if now.Sub(max(u.bootAt, u.latestAt)) > 2*r.Span {
			delete(r.uses, name)
		}
	}
}
