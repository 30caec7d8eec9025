package chiverunner

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// arrival is a part of a stream that arrives after a silence.
type arrival struct {
	after time.Duration
	text  string
}

// scriptedReader returns parts of a stream one after another, in simulated time.
type scriptedReader struct {
	parts []arrival
	now   chiveclock.Moment
}

// Read implements io.Reader.
func (r *scriptedReader) Read(b []byte) (int, error) {
	if len(r.parts) == 0 {
		return 0, io.EOF
	}
	p := r.parts[0]
	r.parts = r.parts[1:]
	r.now = r.now.Add(p.after)
	return copy(b, p.text), nil
}

// TestStalledEvents checks that events are given up only if fewer than minEventBytes of them arrive
// in eventTime, without its longest silence, and that neither silence nor whole events end a stream. Its twin, a bound on
// the time between two events, ends sound streams.
func TestStalledEvents(t *testing.T) {
	trickle := func(text string, pause time.Duration) (parts []arrival) {
		for _, c := range strings.Split(text, "") {
			parts = append(parts, arrival{pause, c})
		}
		return parts
	}
	event := "id: 1\ndata: a\n\n"
	// packets is an event of 20 packets, one after each pause.
	packets := func(pause time.Duration) (parts []arrival) {
		parts = append(parts, arrival{0, "id: 1\ndata: "})
		for range 20 {
			parts = append(parts, arrival{pause, strings.Repeat("x", 1400)})
		}
		return append(parts, arrival{pause, "\n\n"})
	}
	tests := []struct {
		give  string
		parts []arrival
		// want is the number of events.
		want    int
		stalled bool
	}{
		{"whole events, slowly", []arrival{{0, event}, {time.Minute, event}, {time.Hour, event}}, 3, false},
		{"an event in two parts around a long silence", []arrival{{0, "id: 1\nda"}, {time.Minute, "ta: a\n\n"}}, 1, false},
		{"an event in three parts around a long silence", []arrival{{0, "id: 1\nda"}, {20 * time.Second, "ta"}, {time.Second, ": a\n\n"}}, 1, false},
		{"parts of two events at a time", []arrival{{0, event + "id: 2"}, {30 * time.Second, "\ndata: b\n\nid: 3"}, {30 * time.Second, "\ndata: c\n\n"}}, 3, false},
		{"a byte a second", append([]arrival{{0, event}}, trickle(event, time.Second)...), 1, true},
		{"a byte every ten seconds", trickle(event, 10*time.Second), 0, true},
		{"a long event over a squeezed link", packets(800 * time.Millisecond), 1, false},
		{"a long event over a link that loses most", packets(3 * time.Second), 1, false},
		{"a long event that turns into a trickle", append(packets(time.Second)[:15], trickle(strings.Repeat("x", 20), time.Second)...), 0, true},
		{"blank lines", append([]arrival{{0, event}}, trickle(strings.Repeat("\n", 20), time.Second)...), 1, true},
		{"a byte every 100 ms", trickle(strings.Repeat(event, 20), 100*time.Millisecond), 20, false},
	}
	twinEnds := 0
	for _, tt := range tests {
		for _, p := range tt.parts {
			if !tt.stalled && p.after > eventTime {
				twinEnds++
				break
			}
		}
		source := &scriptedReader{parts: tt.parts, now: 1}
		r := NewEventReader(source)
		r.arrivals.clock = func() chiveclock.Moment { return source.now }
		got := 0
		var err error
		for err == nil {
			if _, err = r.Next(); err == nil {
				got++
			}
		}
		if got != tt.want || errors.Is(err, ErrStalled) != tt.stalled {
			t.Errorf("%s: %d events, want %d; %v", tt.give, got, tt.want, err)
		}
	}
	if twinEnds == 0 {
		t.Error("a bound on the time between two events would do")
	}
}

// TestPending checks that the beginning of an event does not hold back the event before it.
func TestPending(t *testing.T) {
	for _, tt := range []struct {
		give string
		want bool
	}{
		{"data: a\n\n", false},
		{"data: a\n\ndata: b\n", false},
		{"data: a\n\ndata: b\n\n", true},
		{"data: a\n\n\n\n", false},
		{"data: a\n\n\n\n\ndata: b\n", false},
		{"data: a\n\n\r\n\r\ndata: b\n\n", true},
		{"data: a\r\n\r\ndata: b\r\n\r\nda", true},
	} {
		r := NewEventReader(strings.NewReader(tt.give))
		if _, err := r.Next(); err != nil || r.Pending() != tt.want {
			t.Errorf("%q: pending is %t, error %v", tt.give, r.Pending(), err)
		}
	}
}

// TestDetach checks that the last event is not overwritten once the reader was detached.
func TestDetach(t *testing.T) {
	r := NewEventReader(strings.NewReader("data: a\n\ndata: b\n\n"))
	first, err := r.Next()
	if err != nil {
		t.Fatal(err)
	}
	r.Detach()
	if _, err := r.Next(); err != nil || string(first.Raw) != "data: a\n\n" {
		t.Errorf("event is %q, error %v", first.Raw, err)
	}
}
