package chivelink

import (
	"errors"
	"fmt"
	"time"
)

// Call asks an agent to run one attempt of a request.
type Call struct {
	// ID identifies the request and is the same in all its attempts.
	ID string `cbor:"id"`
	// Attempt is the number of the attempt, from 1.
	Attempt   uint32 `cbor:"attempt"`
	Workspace string `cbor:"workspace"`
	Endpoint  string `cbor:"endpoint"`
	// Boot is the incarnation of the agent that Key is bound to. It is ignored in a
	// call without a key.
	Boot uint64 `cbor:"boot,omitempty"`
	// Method, Path and ContentType are the HTTP method, path with query, and content
	// type of a call to a plain service. Method is empty for a generation request.
	Method      string `cbor:"method,omitempty"`
	Path        string `cbor:"path,omitempty"`
	ContentType string `cbor:"type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	// Key is the idempotency key, or empty. RequestDigest is the digest of the
	// request, by which an agent recognizes another request under the same key.
	Key           string `cbor:"key,omitempty"`
	RequestDigest string `cbor:"digest,omitempty"`
	// FinalRefusal asks the agent, if it refuses the call without running it, never
	// to run a request under Key in this incarnation. The key may then be bound to
	// another endpoint.
	FinalRefusal bool `cbor:"promise,omitempty"`
	// MaxQueueTime is how long the call may be queued, and Timeout how long it may
	// take in all.
	MaxQueueTime time.Duration `cbor:"wait"`
	Timeout      time.Duration `cbor:"timeout"`
	// Cost is the expected number of tokens, or 1 for a call to a plain service.
	Cost uint64 `cbor:"cost"`
	// Gateway is the name of the sending gateway. WorkspaceRate is the service that
	// the workspace has recently had through it, in cost per second.
	Gateway       string  `cbor:"from"`
	WorkspaceRate float64 `cbor:"level"`
	// NoQueue asks for a refusal if the call would have to be queued.
	NoQueue bool `cbor:"probe,omitempty"`
	// Offset is the number of tokens that the caller already has, and PartialText
	// is their text.
	Offset      uint64 `cbor:"offset,omitempty"`
	PartialText string `cbor:"partial,omitempty"`
	// ConfigVersion is the version of the configuration in force at the gateway.
	ConfigVersion uint64 `cbor:"version"`
}

// Check returns an error if the id, workspace or endpoint is missing, the timeout
// is not positive or the queue time is negative.
func (c *Call) Check() error {
	if c.ID == "" || c.Workspace == "" || c.Endpoint == "" {
		return errors.New("call needs an id, a workspace and an endpoint")
	}
	if c.Timeout <= 0 || c.MaxQueueTime < 0 {
		return fmt.Errorf("call %s has an invalid timeout %v or queue time %v", c.ID, c.Timeout, c.MaxQueueTime)
	}
	return nil
}

// Generates reports whether the call is a generation request.
func (c *Call) Generates() bool {
	return c.Method == ""
}
