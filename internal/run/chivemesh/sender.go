package chivemesh

import "github.com/chiveyoke/chiveyoke/internal/state/chiveclock"

// senderState is what is known of the entry VM that sent messages. Its zero value has
// heard none.
type senderState struct {
	name string
	boot uint64
	// lastSentAt is the sender's clock in its last message, heard when that arrived.
	lastSentAt chiveclock.Moment
	heardAt    chiveclock.Moment
	// configVersion is that of its configuration, and confirmed a moment of the local
	// clock at which that was the newest, however long messages took.
	configVersion     int64
	configConfirmedAt chiveclock.Moment
}

// accept notes the stamp of a message. It returns false for one that is out of
// order.
func (s *senderState) accept(t *Header, now chiveclock.Moment) bool {
	same := t.From == s.name && t.Boot == s.boot
	if same && t.SentAt <= s.lastSentAt {
		return false
	}
	if !same || t.ConfigVersion != s.configVersion {
		s.configConfirmedAt = 0
	}
	s.name, s.boot, s.lastSentAt, s.heardAt, s.configVersion = t.From, t.Boot, t.SentAt, now, t.ConfigVersion
	// The echoed message was sent before the peer answered, so that the peer's
	// confirmation is at least as new as this moment of the local clock, however
	// long the datagrams took.
	if t.EchoedSentAt != 0 && t.ConfigVersion > 0 {
		s.configConfirmedAt = max(s.configConfirmedAt, t.EchoedSentAt.Add(t.EchoDelay-t.ConfigAge))
	}
	return true
}

// confirmation returns when the sender knew a version to be the newest, or 0.
func (s *senderState) confirmation(version int64) chiveclock.Moment {
	if s.configVersion != version {
		return 0
	}
	return s.configConfirmedAt
}

// replyHeader returns the replyHeader of a message that is sent back at a moment.
func (s *senderState) replyHeader(t Header, now chiveclock.Moment) Header {
	t.SentAt = now
	t.EchoedSentAt, t.EchoDelay = s.lastSentAt, 0
	if s.lastSentAt != 0 {
		t.EchoDelay = t.SentAt.Sub(s.heardAt)
	}
	return t
}
