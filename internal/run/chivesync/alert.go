package chivesync

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

// maxAlerts is the number of alerts that a Syncer keeps; further ones are dropped.
const maxAlerts = 1024

// alert records that a rank of a group is held though no coordinator is at work.
type alert struct {
	group string
	// receivedAt is when this process received the alert, and expiresAt when it drops
	// it.
	receivedAt, expiresAt time.Time
}

// AddAlert records an alert. It ignores an alert whose ID is known or whose TTL is
// not positive, and any alert once maxAlerts are kept.
func (s *Syncer) AddAlert(a chivelink.Alert) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.alerts[a.ID]; known || len(s.alerts) >= maxAlerts || a.TTL <= 0 {
		return
	}
	now := time.Now()
	s.alerts[a.ID] = alert{group: a.Group, receivedAt: now, expiresAt: now.Add(a.TTL)}
	s.Ring.Add("alert", a.Group, "A rank waits to be set: %s.", a.ID)
	s.notifyChanged()
}

// Alerts returns the alerts that have not expired, in no particular order.
func (s *Syncer) Alerts() []chivelink.Alert {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []chivelink.Alert
	for id, a := range s.alerts {
		ttl := time.Until(a.expiresAt)
		if ttl <= 0 {
			delete(s.alerts, id)
			continue
		}
		list = append(list, chivelink.Alert{Group: a.group, ID: id, TTL: ttl})
	}
	return list
}

// HasAlertSince reports whether an alert of the group was received after t.
func (s *Syncer) HasAlertSince(group string, t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.alerts {
		if a.group == group && a.receivedAt.After(t) {
			return true
		}
	}
	return false
}
