package chiveentry

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/run/chivehub"
)

// TestLostAnswerIsMissedSoon guards against calls for the runners' table that wait so long for
// a change that a lost answer is missed after runners have drained (DRAIN).
func TestLostAnswerIsMissedSoon(t *testing.T) {
	d := &Daemon{settings: Settings{Tables: Tables{Operators: "o", Runners: "r", System: "s"}}, log: log.New(io.Discard), tracker: NewTracker(nil, log.New(io.Discard))}
	for _, f := range d.followers(t.Context()) {
		if wait := f.Wait(); f.Table != "s" && wait > chivehub.LongPollWait {
			t.Errorf("calls for table %s wait %v, want at most %v", f.Table, wait, chivehub.LongPollWait)
		}
	}
}
