package chivemesh

import (
	"errors"

	"github.com/chiveyoke/chiveyoke/internal/state/chiveclock"
)

// senderState holds the identity, the times and the configuration version from the
// headers of another entry VM's messages. The zero value means that no message has
// arrived.
type senderState struct {
	name string
	boot uint64
	// lastSentAt is when the last message was sent, by the sender's clock. heardAt is
	// when it arrived, by the local clock.
	lastSentAt chiveclock.Moment
	heardAt    chiveclock.Moment
	// configVersion is the version of the sender's configuration. configConfirmedAt is
	// a moment of the local clock at which it was the newest, or 0. It is never later
	// than the true moment, regardless of message delays.
	configVersion     int64
	configConfirmedAt chiveclock.Moment
	// ignored is why the last echoed reading was ignored, or nil.
	ignored error
}

// accept stores the header of a message to the process with the incarnation self. It returns
// false for a message that is out of order. ignored is the reason if the echoed reading of the
// clock is ignored for another reason than the one before from the same process, else nil.
func (s *senderState) accept(h *Header, self uint64, now chiveclock.Moment) (ok bool, ignored error) {
	same := h.From == s.name && h.Boot == s.boot
	if same && h.SentAt <= s.lastSentAt {
		return false, nil
	}
	if !same {
		s.ignored = nil
	}
	if !same || h.ConfigVersion != s.configVersion {
		s.configConfirmedAt = 0
	}
	s.name, s.boot, s.lastSentAt, s.heardAt, s.configVersion = h.From, h.Boot, h.SentAt, now, h.ConfigVersion
	echoed, err := h.Echo.moment(self, now)
	if err != nil && !errors.Is(err, s.ignored) {
		ignored = err
	}
	s.ignored = err
	// This message was sent at least EchoDelay after the echoed one, and the
	// configuration was the newest ConfigAge before that. The sum is thus a lower
	// bound by the local clock, regardless of how long the datagrams took.
	if err == nil && h.ConfigVersion > 0 {
		s.configConfirmedAt = max(s.configConfirmedAt, min(echoed.Add(h.EchoDelay), now).Add(-h.ConfigAge))
	}
	return true, ignored
}

// confirmation returns a moment at which the sender knew the given version of the
// configuration to be the newest, or 0 if it has another version.
func (s *senderState) confirmation(version int64) chiveclock.Moment {
	if s.configVersion != version {
		return 0
	}
	return s.configConfirmedAt
}

// replyHeader returns the header h completed for a message to the sender that is sent
// at the time now.
func (s *senderState) replyHeader(h Header, now chiveclock.Moment) Header {
	h.SentAt = now
	if h.ConfigVersion > 0 {
		h.ConfigAge = now.Sub(h.configConfirmedAt)
	}
	h.Echo, h.EchoDelay = Reading{}, 0
	if s.boot != 0 {
		h.Echo, h.EchoDelay = Reading{Boot: s.boot, At: s.lastSentAt}, h.SentAt.Sub(s.heardAt)
	}
	return h
}
