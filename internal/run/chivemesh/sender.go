package chivemesh

import "github.com/chiveyoke/chiveyoke/internal/state/chiveclock"

// sender is what is known of the entry VM that sent messages. Its zero value has
// heard none.
type sender struct {
	name string
	boot uint64
	// sent is the sender's clock in its last message, heard when that arrived.
	sent  chiveclock.Moment
	heard chiveclock.Moment
	// version is that of its configuration, and confirmed a moment of the local
	// clock at which that was the newest, however long messages took.
	version   int64
	confirmed chiveclock.Moment
}

// take notes the stamp of a message. It returns false for one that is out of
// order.
func (s *sender) take(t *Stamp, now chiveclock.Moment) bool {
	same := t.From == s.name && t.Boot == s.boot
	if same && t.Sent <= s.sent {
		return false
	}
	if !same || t.Version != s.version {
		s.confirmed = 0
	}
	s.name, s.boot, s.sent, s.heard, s.version = t.From, t.Boot, t.Sent, now, t.Version
	// The echoed message was sent before the peer answered, so that the peer's
	// confirmation is at least as new as this moment of the local clock, however
	// long the datagrams took.
	if t.Echo != 0 && t.Version > 0 {
		s.confirmed = max(s.confirmed, t.Echo.Add(t.Kept-t.Age))
	}
	return true
}

// lent returns when the sender knew a version to be the newest, or 0.
func (s *sender) lent(version int64) chiveclock.Moment {
	if s.version != version {
		return 0
	}
	return s.confirmed
}

// stamp returns the stamp of a message that is sent back at a moment.
func (s *sender) stamp(t Stamp, now chiveclock.Moment) Stamp {
	t.Sent = now
	t.Echo, t.Kept = s.sent, 0
	if s.sent != 0 {
		t.Kept = t.Sent.Sub(s.heard)
	}
	return t
}
