// Package chiveconf implements the configuration in force: one head row that
// is replaced by compare-and-set and the sheet that it names.
package chiveconf

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxLog is the number of changes that a head remembers.
const maxLog = 64

// A Head is the row that decides which configuration is in force.
type Head struct {
	// Version grows by one with every accepted change, from 1.
	Version uint64 `cbor:"version" json:"version"`
	// Digest names the sheet object, as "sha256:" and 64 hex digits.
	Digest string `cbor:"digest" json:"digest"`
	// OutZones holds the availability zones taken out, sorted.
	OutZones []string `cbor:"out,omitempty" json:"out,omitempty"`
	// DrainingEndpoints holds the endpoints that take no new work, sorted.
	DrainingEndpoints []string `cbor:"drain,omitempty" json:"drain,omitempty"`
	// Log holds the last accepted changes, oldest first.
	Log []LogEntry `cbor:"log,omitempty" json:"log,omitempty"`
}

// An LogEntry is an accepted change in the log of a head.
type LogEntry struct {
	ID      string     `cbor:"id" json:"id"`
	Author  string     `cbor:"author" json:"author"`
	Kind    ChangeKind `cbor:"kind" json:"kind"`
	Subject string     `cbor:"subject" json:"subject"`
	Version uint64     `cbor:"version" json:"version"`
	Time    time.Time  `cbor:"time" json:"time"`
}

// Check returns an error where the head cannot have been accepted.
func (h *Head) Check() error {
	if h.Version == 0 {
		return errors.New("head has version 0")
	}
	if h.Digest == "" {
		return errors.New("head names no sheet")
	}
	if len(h.Log) > maxLog {
		return fmt.Errorf("head has %d log entries, more than %d", len(h.Log), maxLog)
	}
	return nil
}

// LogEntry returns the logged change of that ID.
func (h *Head) LogEntry(id string) (LogEntry, bool) {
	for _, e := range h.Log {
		if e.ID == id {
			return e, true
		}
	}
	return LogEntry{}, false
}

// IsZoneOut reports whether the availability zone is taken out.
func (h *Head) IsZoneOut(zone string) bool {
	return slices.Contains(h.OutZones, zone)
}

// IsEndpointDraining reports whether the endpoint takes no new work.
func (h *Head) IsEndpointDraining(endpoint string) bool {
	return slices.Contains(h.DrainingEndpoints, endpoint)
}

// clone returns a copy that shares no slice with the head.
func (h *Head) clone() *Head {
	c := *h
	c.OutZones = slices.Clone(h.OutZones)
	c.DrainingEndpoints = slices.Clone(h.DrainingEndpoints)
	c.Log = slices.Clone(h.Log)
	return &c
}
