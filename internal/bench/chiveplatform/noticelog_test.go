package chiveplatform

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestNoticeViolations checks which requests count as violations: the runner r says at
// second 10 that it is leaving, or asks for a pause of 5 s.
func TestNoticeViolations(t *testing.T) {
	start := time.Now()
	second := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	request := func(entry string, s float64, incarnation int) arrival {
		return arrival{id: fmt.Sprintf("%s at %.2f", entry, s), incarnation: incarnation, at: second(s)}
	}
	leaving := []leavingAnswer{{entry: "e", runner: "r", at: second(10)}}
	refused := request("e", 10, 0)
	refused.pause = 5 * time.Second
	three := func(s float64, entry string, incarnation int) (list []arrival) {
		for i := range 3 {
			list = append(list, request(entry, s+float64(i)/100, incarnation))
		}
		return list
	}
	never := func(string, time.Time, time.Time) bool { return false }
	always := func(string, time.Time, time.Time) bool { return true }
	tests := []struct {
		give     string
		arrivals []arrival
		answers  []leavingAnswer
		excused  func(string, time.Time, time.Time) bool
		want     string
	}{
		{"within the bound on drained runners", []arrival{request("e", 11.9, 0)}, leaving, never, ""},
		{"after it", []arrival{request("e", 12.1, 0)}, leaving, never, "reached r from e"},
		{"after it, by another entry VM", []arrival{request("f", 12.1, 0)}, leaving, never, ""},
		{"after it, at the next incarnation", []arrival{request("e", 12.1, 1)}, leaving, never, ""},
		{"after it, restarted since", []arrival{request("e", 12.1, 0)}, leaving, always, ""},
		{"in the first half second of a pause", append(three(10.2, "e", 0), refused), nil, never, ""},
		{"later in a pause", append(three(12, "e", 0), refused), nil, never, "3 requests reached r from e in a pause of 5s"},
		{"two in a pause", append(three(12, "e", 0)[:2], refused), nil, never, ""},
		{"in a pause, from another entry VM", append(three(12, "f", 0), refused), nil, never, ""},
		{"in a pause of the incarnation before", append(three(12, "e", 1), refused), nil, never, ""},
		{"in a pause, with a fault", append(three(12, "e", 0), refused), nil, always, ""},
		{"after a pause", append(three(15.1, "e", 0), refused), nil, never, ""},
	}
	for _, tt := range tests {
		sent := map[string]sending{}
		for _, a := range tt.arrivals {
			entry, _, _ := strings.Cut(a.id, " ")
			sent[a.id] = sending{entry: entry, at: a.at}
		}
		got := strings.Join(noticeViolations("r", tt.arrivals, tt.answers, sent, tt.excused), "; ")
		if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
			t.Errorf("%s: violations %q, want %q", tt.give, got, tt.want)
		}
	}
}

// TestLimitViolation checks which requests count as violations of a limit of one request a
// second, of which a span of 4 s may have eleven.
func TestLimitViolation(t *testing.T) {
	start := time.Now()
	spread := func(entry string, from, to float64, count int, limit float64) (list []arrival) {
		for i := range count {
			s := from + (to-from)*float64(i)/float64(count)
			list = append(list, arrival{id: fmt.Sprintf("%s at %.3f", entry, s), at: start.Add(time.Duration(s * float64(time.Second))), limit: limit})
		}
		return list
	}
	never := func(string, time.Time, time.Time) bool { return false }
	always := func(string, time.Time, time.Time) bool { return true }
	told := spread("e", 0, 1, 1, 1)
	tests := []struct {
		give    string
		list    []arrival
		excused func(string, time.Time, time.Time) bool
		violate bool
	}{
		{"eleven", append(told, spread("e", 10, 13.9, 11, 1)...), never, false},
		{"twelve", append(told, spread("e", 10, 13.9, 12, 1)...), never, true},
		{"twelve, not told before", spread("e", 10, 13.9, 12, 1), never, false},
		{"twelve, from another entry VM", append(told, spread("f", 10, 13.9, 12, 1)...), never, false},
		{"twelve, with a fault", append(told, spread("e", 10, 13.9, 12, 1)...), always, false},
		{"twelve, no limit named", append(told, spread("e", 10, 13.9, 12, 0)...), never, false},
		{"twelve in a longer span", append(told, spread("e", 10, 15, 12, 1)...), never, false},
	}
	for _, tt := range tests {
		sent := map[string]sending{}
		for _, a := range tt.list {
			entry, _, _ := strings.Cut(a.id, " ")
			sent[a.id] = sending{entry: entry, at: a.at}
		}
		found := false
		for _, a := range tt.list {
			found = found || len(limitViolation("r", a, tt.list, sent, tt.excused)) > 0
		}
		if found != tt.violate {
			t.Errorf("%s: violation %t", tt.give, found)
		}
	}
}
