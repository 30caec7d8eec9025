package chiveproof

import (
	"context"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/chiveyoke/chiveyoke/internal/state/chivetime"
)

// holderOf returns the process that holds a group's map duty by its last event.
func (s *state) holderOf(ctx context.Context, group string) string {
	t, err := s.fleet.Operator().Events(ctx, chivetime.Filter{Kind: "lease", Subject: group})
	if err != nil {
		return ""
	}
	holder := ""
	for _, e := range t.Events {
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

// events KIND SUBJECT TEXT [N] waits until N events, 1 by default, hold the
// text.
func cmdEvents(ts *testscript.TestScript, _ bool, args []string) {
	s := of(ts)
	ctx, cancel := bounded()
	defer cancel()
	want := 1
	if len(args) > 3 {
		want = number(ts, args[3])
	}
	ts.Check(s.fleet.WaitFor(ctx, "event "+args[2], func() bool {
		t, err := s.fleet.Operator().Events(ctx, chivetime.Filter{Kind: args[0], Subject: args[1]})
		if err != nil {
			return false
		}
		n := 0
		for _, e := range t.Events {
			if strings.Contains(e.Text, args[2]) {
				n++
			}
		}
		return n >= want
	}))
}
