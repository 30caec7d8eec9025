package chiveproof

import (
	"context"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// mapDutyHolder returns the process that holds the map duty of a group according
// to the timeline. It returns "" if there is none or if it is not running.
func (s *scriptState) mapDutyHolder(ctx context.Context, group string) string {
	timeline, err := s.fleet.Operator().Events(ctx, chivetime.Filter{Kind: "lease", Subject: group})
	if err != nil {
		return ""
	}
	holder := ""
	for _, e := range timeline.Events {
		if strings.Contains(e.Text, "held: true") {
			holder = e.Process
		} else if e.Process == holder {
			holder = ""
		}
	}
	if p := s.fleet.Processes[holder]; p == nil || !p.Running() {
		return ""
	}
	return holder
}

// events KIND SUBJECT TEXT [N] waits until the timeline has at least N events
// (default 1) of a kind and subject whose text contains TEXT.
func cmdEvents(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	ctx, cancel := waitContext()
	defer cancel()
	minEvents := 1
	if len(args) > 3 {
		minEvents = parseInt(ts, args[3])
	}
	ts.Check(s.fleet.WaitFor(ctx, "event "+args[2], func() bool {
		timeline, err := s.fleet.Operator().Events(ctx, chivetime.Filter{Kind: args[0], Subject: args[1]})
		if err != nil {
			return false
		}
		n := 0
		for _, e := range timeline.Events {
			if strings.Contains(e.Text, args[2]) {
				n++
			}
		}
		return n >= minEvents
	}))
}
