package chivesync

import (
	"time"

	"github.com/chiveyoke/chiveyoke/internal/peer/chivelink"
)

// maxAlerts bounds the alerts that are kept; more are dropped.
const maxAlerts = 1024

// alert is a group whose ranks wait to be set.
type alert struct {
	group string
	// receivedAt is when this process receivedAt of it, expiresAt when it is forgotten.
	receivedAt, expiresAt time.Time
}

// AddAlert notes that a group waits and wakes those that wait for a change.
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

// Alerts returns the alerts that are not forgotten yet.
func (s *Syncer) Alerts() []chivelink.Alert {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []chivelink.Alert
	for id, a := range s.alerts {
		left := time.Until(a.expiresAt)
		if left <= 0 {
			delete(s.alerts, id)
			continue
		}
		list = append(list, chivelink.Alert{Group: a.group, ID: id, TTL: left})
	}
	return list
}

// HasAlertSince reports whether an alert of the group was heard after a time.
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
