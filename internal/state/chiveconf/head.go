// Package chiveconf implements the configuration in force. It consists of one
// head row, which is replaced by compare-and-swap, and the sheet that the head
// refers to by its digest.
package chiveconf

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// maxLogEntries is the number of accepted changes that a head keeps.
const maxLogEntries = 64

// Head is the row that defines the configuration in force.
type Head struct {
	// Version starts at 1 and grows by one with every accepted change.
	Version uint64 `cbor:"version" json:"version"`
	// Digest is the digest of the sheet, as "sha256:" and 64 hex digits.
	Digest string `cbor:"digest" json:"digest"`
	// OutZones holds the availability zones taken out of service, sorted.
	OutZones []string `cbor:"out,omitempty" json:"out,omitempty"`
	// DrainingEndpoints holds the endpoints that take no new work, sorted.
	DrainingEndpoints []string `cbor:"drain,omitempty" json:"drain,omitempty"`
	// Log holds the last accepted changes, oldest first.
	Log []LogEntry `cbor:"log,omitempty" json:"log,omitempty"`
}

// LogEntry is an accepted change in the log of a head.
type LogEntry struct {
	ID      string     `cbor:"id" json:"id"`
	Author  string     `cbor:"author" json:"author"`
	Kind    ChangeKind `cbor:"kind" json:"kind"`
	Subject string     `cbor:"subject" json:"subject"`
	Version uint64     `cbor:"version" json:"version"`
	Time    time.Time  `cbor:"time" json:"time"`
}

// Check returns an error if the version is 0, the digest is empty or the log is
// too long.
func (h *Head) Check() error {
	if h.Version == 0 {
		return errors.New("head has version 0")
	}
	if h.Digest == "" {
		return errors.New("head names no sheet")
	}
	if len(h.Log) > maxLogEntries {
		return fmt.Errorf("head has %d log entries, more than %d", len(h.Log), maxLogEntries)
	}
	return nil
}

// LogEntry returns the log entry of the change with the ID.
func (h *Head) LogEntry(id string) (LogEntry, bool) {
	for _, e := range h.Log {
		if e.ID == id {
			return e, true
		}
	}
	return LogEntry{}, false
}

// IsZoneOut reports whether the availability zone is taken out of service.
func (h *Head) IsZoneOut(zone string) bool {
	return slices.Contains(h.OutZones, zone)
}

// IsEndpointDraining reports whether the endpoint is draining and takes no new
// work.
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
