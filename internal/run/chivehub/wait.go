package chivehub

import (
	"context"
	"errors"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chivefollow"
)

// waitScope is the scope of the calls to the store that wait for a change. Its context ends
// when they are to wait no longer.
type waitScope struct {
	ctx context.Context
	end context.CancelFunc
}

// errWaitEnded is returned by a call to the store whose wait was ended.
var errWaitEnded = errors.New("the wait for changes was ended")

// waitForChanges calls the store for the changes of a table. If EndWaits is called
// meanwhile, it gives up the call and returns errWaitEnded.
func (s *Source) waitForChanges(ctx context.Context, name string, after chivefollow.Position, wait time.Duration) (chivefollow.Page, error) {
	if wait <= 0 {
		return s.callChanges(ctx, name, after, 0)
	}
	scope := s.currentWaits()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(scope.ctx, cancel)
	defer stop()
	page, err := s.callChanges(waiting, name, after, wait)
	if err == nil || scope.ctx.Err() == nil {
		return page, err
	}
	return chivefollow.Page{}, errWaitEnded
}

// callChanges calls the store once for the changes of a table. The bound of ctx covers all
// calls and waits of a step of the follower, and leaves a call without an answer for too long.
func (s *Source) callChanges(ctx context.Context, name string, after chivefollow.Position, wait time.Duration) (chivefollow.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+chivefollow.CallMargin)
	defer cancel()
	return s.Store.Changes(ctx, name, after, wait)
}

// currentWaits returns the scope of a call that begins now.
func (s *Source) currentWaits() *waitScope {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waits == nil {
		s.waits = &waitScope{}
		s.waits.ctx, s.waits.end = context.WithCancel(context.Background())
	}
	return s.waits
}

// EndWaits ends the waits of all calls to the store, which then ask again at once. It is
// called when it is known that their answers may be out of date or never come, whatever
// time is left of their waits. cause says why, for the log.
func (s *Source) EndWaits(cause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Logged also if a failed call has ended the waits a moment ago.
	s.cancelWaits()
	s.logEndOfWaits(cause)
}

// endWaits ends the waits as EndWaits does, and logs that only if calls have begun to wait
// since the last time. The caller must hold s.mu.
func (s *Source) endWaits(cause string) {
	if s.cancelWaits() {
		s.logEndOfWaits(cause)
	}
}

// cancelWaits ends the scope of all calls, and reports whether there was one. The caller must
// hold s.mu.
func (s *Source) cancelWaits() bool {
	if s.waits == nil {
		return false
	}
	s.waits.end()
	s.waits = nil
	return true
}

func (s *Source) logEndOfWaits(cause string) {
	s.Log.Info("Asking the store again for all tables.", "cause", cause)
}
