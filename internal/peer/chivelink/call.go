package chivelink

import (
	"errors"
	"fmt"
	"time"
)

// A Call asks an agent to run one attempt of a request.
type Call struct {
	// ID is the request's identity, the same in every attempt.
	ID        string `cbor:"id"`
	Attempt   uint32 `cbor:"attempt"`
	Workspace string `cbor:"workspace"`
	Endpoint  string `cbor:"endpoint"`
	// Boot binds the call to one incarnation of the agent; 0 binds to none.
	Boot uint64 `cbor:"boot,omitempty"`
	// Method and Path are those of a call to a plain service.
	Method      string `cbor:"method,omitempty"`
	Path        string `cbor:"path,omitempty"`
	ContentType string `cbor:"type,omitempty"`
	Body        []byte `cbor:"body,omitempty"`
	// Key is the idempotency key and Digest the digest of what was asked.
	Key           string `cbor:"key,omitempty"`
	RequestDigest string `cbor:"digest,omitempty"`
	// FinalRefusal asks that a refusal under a key be a promise never to run it.
	FinalRefusal bool `cbor:"promise,omitempty"`
	// MaxQueueTime is how long the call may be queued, Timeout how long it may take.
	MaxQueueTime time.Duration `cbor:"wait"`
	Timeout      time.Duration `cbor:"timeout"`
	// Cost is the expected number of tokens.
	Cost uint64 `cbor:"cost"`
	// Gateway names the gateway, and Level is the service that the workspace has
	// had through it lately, in tokens a second.
	Gateway       string  `cbor:"from"`
	WorkspaceRate float64 `cbor:"level"`
	// NoQueue asks for a refusal where the call would have to wait.
	NoQueue bool `cbor:"probe,omitempty"`
	// Offset is the number of tokens that the caller has, and Partial their
	// text.
	Offset      uint64 `cbor:"offset,omitempty"`
	PartialText string `cbor:"partial,omitempty"`
	// ConfigVersion is the configuration version of the gateway.
	ConfigVersion uint64 `cbor:"version"`
}

// Check returns an error where a field is missing or absurd.
func (c *Call) Check() error {
	if c.ID == "" || c.Workspace == "" || c.Endpoint == "" {
		return errors.New("call needs an id, a workspace and an endpoint")
	}
	if c.Timeout <= 0 || c.MaxQueueTime < 0 {
		return fmt.Errorf("call %s has timeout %v and wait %v", c.ID, c.Timeout, c.MaxQueueTime)
	}
	return nil
}

// Generates reports whether the call is a generation request.
func (c *Call) Generates() bool {
	return c.Method == ""
}
