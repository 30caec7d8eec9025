package chiveconf

import (
	"fmt"
	"slices"
	"time"
)

// A ChangeKind says what a change does.
type ChangeKind string

// The kinds of changes.
const (
	KindSheet   ChangeKind = "sheet"
	KindZoneOut ChangeKind = "out"
	KindZoneIn  ChangeKind = "in"
	KindDrain   ChangeKind = "drain"
	KindUndrain ChangeKind = "undrain"
)

// A Change is what an operator asks for.
type Change struct {
	// ID is minted by the operator's client; the same ID is accepted once.
	ID     string     `json:"id"`
	Author string     `json:"author"`
	Kind   ChangeKind `json:"kind"`
	// Subject is the sheet's digest, the availability zone or the endpoint.
	Subject string `json:"subject"`
	// BaseVersion is the version that the operator saw.
	BaseVersion uint64 `json:"base"`
}

// Check returns an error where a field is missing or unknown.
func (c *Change) Check() error {
	if c.ID == "" || c.Author == "" || c.Subject == "" {
		return fmt.Errorf("change %q needs an id, an author and a subject", c.Kind)
	}
	switch c.Kind {
	case KindSheet, KindZoneOut, KindZoneIn, KindDrain, KindUndrain:
		return nil
	}
	return fmt.Errorf("change kind %q is unknown", c.Kind)
}

// A ConflictError says whose change came between the operator's look and the
// operator's change.
type ConflictError struct {
	BaseVersion uint64
	Winner      LogEntry
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner.ID == "" {
		return fmt.Sprintf("version %d is too old to change; look again", e.BaseVersion)
	}
	return fmt.Sprintf("version %d by %s (%s %s) came before this change, which was made on version %d",
		e.Winner.Version, e.Winner.Author, e.Winner.Kind, e.Winner.Subject, e.BaseVersion)
}

// topic returns what two changes must share to be in conflict.
func topic(k ChangeKind, subject string) string {
	switch k {
	case KindSheet:
		return "sheet"
	case KindZoneOut, KindZoneIn:
		return "zone/" + subject
	default:
		return "endpoint/" + subject
	}
}

// Next returns the head that follows h under the change. It returns h itself
// where the log holds the change already, and a *ConflictError where another
// change of the same topic was accepted after the change's base.
func Next(h *Head, c *Change, now time.Time) (*Head, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if h == nil {
		h = &Head{}
	}
	if _, ok := h.LogEntry(c.ID); ok {
		return h, nil
	}
	if err := checkConflict(h, c); err != nil {
		return nil, err
	}
	n := h.clone()
	n.Version++
	apply(n, c)
	n.Log = append(n.Log, LogEntry{ID: c.ID, Author: c.Author, Kind: c.Kind, Subject: c.Subject, Version: n.Version, Time: now})
	if len(n.Log) > maxLog {
		n.Log = slices.Clone(n.Log[len(n.Log)-maxLog:])
	}
	return n, n.Check()
}

func checkConflict(h *Head, c *Change) error {
	if len(h.Log) == maxLog && c.BaseVersion+1 < h.Log[0].Version {
		return &ConflictError{BaseVersion: c.BaseVersion}
	}
	for i := len(h.Log) - 1; i >= 0; i-- {
		e := h.Log[i]
		if e.Version > c.BaseVersion && topic(e.Kind, e.Subject) == topic(c.Kind, c.Subject) {
			return &ConflictError{BaseVersion: c.BaseVersion, Winner: e}
		}
	}
	return nil
}

func apply(h *Head, c *Change) {
	switch c.Kind {
	case KindSheet:
		h.Digest = c.Subject
	case KindZoneOut:
		h.OutZones = include(h.OutZones, c.Subject)
	case KindZoneIn:
		h.OutZones = exclude(h.OutZones, c.Subject)
	case KindDrain:
		h.DrainingEndpoints = include(h.DrainingEndpoints, c.Subject)
	case KindUndrain:
		h.DrainingEndpoints = exclude(h.DrainingEndpoints, c.Subject)
	}
}

func include(list []string, name string) []string {
	i, found := slices.BinarySearch(list, name)
	if found {
		return list
	}
	return slices.Insert(list, i, name)
}

func exclude(list []string, name string) []string {
	return slices.DeleteFunc(list, func(s string) bool { return s == name })
}
