package chivemesh

import (
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveboot"
	"github.com/chiveyoke/chiveyoke/internal/state/chivefleet"
)

// TestConfirmed has two entry VMs report to each other over a network that delays
// and loses datagrams, each with a clock of its own, and checks that a lent
// confirmation is never newer than the real one.
func TestConfirmed(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 11))
		start := chiveboot.Now()
		m := &Mesh{Log: log.New(io.Discard), peers: map[string]*Peer{"b": {Entry: chivefleet.Entry{Name: "b"}}}}
		// The peer's clock is ahead by skew; confirmed is by the local clock.
		skew := chiveboot.Moment(r.Int64N(int64(time.Hour)))
		var received, receivedAt chiveboot.Moment
		confirmed := start
		now := start
		for range 200 {
			now = now.Add(time.Duration(r.Int64N(int64(time.Second))))
			if r.IntN(3) == 0 {
				confirmed = max(confirmed, now.Add(-time.Duration(r.Int64N(int64(time.Second)))))
			}
			if r.IntN(2) == 0 {
				// A report of ours arrives after a delay.
				received, receivedAt = now, now.Add(time.Duration(r.Int64N(int64(3*time.Second))))
				now = receivedAt
			}
			if received == 0 {
				continue
			}
			report := &Report{
				From: "b", Boot: 1, Sent: now + skew, Echo: received, Kept: now.Sub(receivedAt), Version: 3, Age: now.Sub(confirmed),
			}
			// Its answer may arrive at any later time, which the receiver cannot know.
			m.take(report)
			if got := m.peers["b"].Confirmed; got > confirmed {
				t.Fatalf("seed %d: lent confirmation is %v newer than the real one", seed, got.Sub(confirmed))
			}
		}
	}
}

// TestTake passes over reports that are old, of strangers or of an earlier
// process.
func TestTake(t *testing.T) {
	m := &Mesh{Log: log.New(io.Discard), peers: map[string]*Peer{"b": {Entry: chivefleet.Entry{Name: "b"}}}}
	tests := []struct {
		give   string
		report Report
		want   bool
	}{
		{"a stranger", Report{From: "c", Boot: 1, Sent: 5}, false},
		{"the first", Report{From: "b", Boot: 1, Sent: 5, Echo: 1, Version: 2}, true},
		{"the same again", Report{From: "b", Boot: 1, Sent: 5}, false},
		{"an older one", Report{From: "b", Boot: 1, Sent: 4}, false},
		{"a newer one", Report{From: "b", Boot: 1, Sent: 6, Echo: 2, Version: 2}, true},
		{"a new process", Report{From: "b", Boot: 2, Sent: 1, Version: 2}, true},
	}
	for _, tt := range tests {
		if got := m.take(&tt.report); got != tt.want {
			t.Errorf("%s: taken is %t", tt.give, got)
		}
	}
	if m.peers["b"].Confirmed != 0 {
		t.Error("what an earlier process confirmed is kept")
	}
}

// FuzzDecode feeds datagrams of strangers.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("\xa2dfromabdboot\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decode(data); err == nil && (r.From == "" || r.Boot == 0 || r.Age < 0) {
			t.Errorf("took %+v", r)
		}
	})
}
