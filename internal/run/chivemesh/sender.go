package chivemesh

import "github.com/chiveyoke/chiveyoke/internal/state/chiveboot"

// sender is what is known of the entry VM that sent messages. Its zero value has
// heard none.
type sender struct {
	name string
	boot uint64
	// sent is the sender's clock in its last message, heard when that arrived.
	sent  chiveboot.Moment
	heard chiveboot.Moment
	// version is that of its configuration, and confirmed a moment of the local
	// clock at which that was the newest, however long messages took.
	version   int64
	confirmed chiveboot.Moment
}

// take notes the stamp of a message. It returns false for one that is out of
// order.
func (s *sender) take(t *Header, now chiveboot.Moment) bool {
	same := t.From == s.name && t.Boot == s.boot
	if same && t.SentAt <= s.sent {
		return false
	}
	if !same || t.ConfigVersion != s.version {
		s.confirmed = 0
	}
	s.name, s.boot, s.sent, s.heard, s.version = t.From, t.Boot, t.SentAt, now, t.ConfigVersion
	// The echoed message was sent before the peer answered, so that the peer's
	// confirmation is at least as new as this moment of the local clock, however
	// long the datagrams took.
	if t.EchoedSentAt != 0 && t.ConfigVersion > 0 {
		s.confirmed = max(s.confirmed, t.EchoedSentAt.Add(t.EchoDelay-t.ConfigAge))
	}
	return true
}

// lent returns when the sender knew a version to be the newest, or 0.
func (s *sender) lent(version int64) chiveboot.Moment {
	if s.version != version {
		return 0
	}
	return s.confirmed
}

// stamp returns the stamp of a message that is sent back at a moment.
func (s *sender) stamp(t Header, now chiveboot.Moment) Header {
	t.SentAt = now
	t.EchoedSentAt, t.EchoDelay = s.sent, 0
	if s.sent != 0 {
		t.EchoDelay = t.SentAt.Sub(s.heard)
	}
	return t
}
